package daemon

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// A packetReader reads datagrams and keeps track of how long they may have waited in the
// socket. It is not safe for concurrent use.
type packetReader struct {
	conn syscall.RawConn
	// busySince is when the first datagram was read since the socket was last empty;
	// zero while it is empty.
	busySince time.Time
	// delayed is the number of datagrams that may have waited while the process did not
	// run, including the last one that was read.
	delayed int
	buffer  []byte
	n       int
	err     error
	// read and tryRead are the functions that Read and TryRead pass to conn.
	read    func(fd uintptr) bool
	tryRead func(fd uintptr) bool
}

// newPacketReader returns a reader of the datagrams of a socket.
func newPacketReader(c *net.UDPConn) (*packetReader, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "access the socket for packets")
	}
	r := &packetReader{conn: raw}
	r.read = r.readOnce
	r.tryRead = func(fd uintptr) bool {
		r.readOnce(fd)
		return true
	}
	return r, nil
}

// Read waits for a datagram and reads it into buffer.
func (r *packetReader) Read(buffer []byte) (int, error) {
	r.buffer = buffer
	if err := r.conn.Read(r.read); err != nil {
		return 0, err
	}
	return r.n, r.err
}

// TryRead reads a datagram into buffer if one has arrived, and reports whether it did.
func (r *packetReader) TryRead(buffer []byte) (n int, ok bool, err error) {
	r.buffer = buffer
	if err := r.conn.Read(r.tryRead); err != nil {
		return 0, false, err
	}
	if r.busySince.IsZero() {
		return 0, false, nil
	}
	return r.n, r.err == nil, r.err
}

// Waited returns the longest time that the last datagram may have waited at now.
func (r *packetReader) Waited(now time.Time) time.Duration {
	if r.busySince.IsZero() {
		return 0
	}
	return now.Sub(r.busySince)
}

// maxWaitingDatagrams is the maximum number of datagrams in the socket. The kernel doubles
// the size of the buffer, and counts 512 bytes or more for each datagram.
const maxWaitingDatagrams = 2 * packetBufferSize / 512

// MarkDelayed records that the process did not run for a while before the last datagram was
// read: that one, and all until the socket is empty, may have waited.
func (r *packetReader) MarkDelayed() {
	r.delayed = maxWaitingDatagrams
}

// Delayed reports whether the last datagram may have waited while the process did not run.
func (r *packetReader) Delayed() bool {
	return r.delayed > 0
}

// readOnce reads a datagram, and reports whether there was one or an error.
func (r *packetReader) readOnce(fd uintptr) bool {
	for {
		r.n, r.err = unix.Read(int(fd), r.buffer)
		if !errors.Is(r.err, unix.EINTR) {
			break
		}
	}
	if errors.Is(r.err, unix.EAGAIN) {
		r.busySince = time.Time{}
		r.delayed = 0
		return false
	}
	r.delayed = max(r.delayed-1, 0)
	if r.busySince.IsZero() {
		r.busySince = time.Now()
	}
	return true
}
