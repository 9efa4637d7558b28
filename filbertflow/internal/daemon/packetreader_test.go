package daemon

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPacketReader checks that a reader notices that datagrams are waiting, and that
// none are.
func TestPacketReader(t *testing.T) {
	from, to := newEndpoint(t), newEndpoint(t)
	r, err := newPacketReader(to.conn)
	require.NoError(t, err)
	buffer := make([]byte, 10)

	_, ok, err := r.TryRead(buffer)
	require.NoError(t, err)
	require.False(t, ok)

	for _, size := range []int{3, 4, 0} {
		_, err := from.conn.WriteToUDPAddrPort(make([]byte, size), to.address())
		require.NoError(t, err)
	}
	n, err := r.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, 3, n)
	require.Equal(t, time.Second, r.Waited(r.busySince.Add(time.Second)))
	busySince := r.busySince
	n, ok, err = r.TryRead(buffer)
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, 4, n)
	require.Equal(t, busySince, r.busySince)
	n, ok, err = r.TryRead(buffer)
	require.NoError(t, err)
	require.True(t, ok, "an empty datagram is one, too")
	require.Zero(t, n)

	_, ok, err = r.TryRead(buffer)
	require.NoError(t, err)
	require.False(t, ok)
	require.Zero(t, r.Waited(time.Now()))

	require.NoError(t, to.conn.SetReadDeadline(time.Now()))
	_, err = r.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, to.conn.Close())
	_, err = r.Read(buffer)
	require.ErrorIs(t, err, net.ErrClosed)
}

// TestBalancerBehindDoesNotAnswer checks that an inquiry is answered after the packets
// that wait, and not at all if there are too many of them. One of them may show that the
// upstream is alive.
func TestBalancerBehindDoesNotAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		waiting int
		events  int
	}{
		{
			name:    "few packets wait",
			waiting: maxQueuedPackets / 2,
			events:  1,
		},
		{
			name:    "too many packets wait",
			waiting: maxQueuedPackets + 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, client := newDaemon(t), newEndpoint(t)
			h, err := newPacketHandler(d)
			require.NoError(t, err)
			for range test.waiting {
				_, err := client.conn.WriteToUDPAddrPort([]byte("malformed"), d.packets.LocalAddr().(*net.UDPAddr).AddrPort())
				require.NoError(t, err)
			}
			d.queueInquiry(receivedInquiry{})
			h.handleWake()
			require.Equal(t, test.events, d.events.Len())
			require.Equal(t, uint64(min(test.waiting, maxQueuedPackets)), d.counters.malformed.Load())
			require.Equal(t, uint64(1-test.events), d.counters.inquiries[inquiryUnanswered].Load())
		})
	}
}

// TestPacketReaderMarksDelayed checks that datagrams count as delayed after a stall until the
// socket is empty.
func TestPacketReaderMarksDelayed(t *testing.T) {
	from, to := newEndpoint(t), newEndpoint(t)
	r, err := newPacketReader(to.conn)
	require.NoError(t, err)
	buffer := make([]byte, 10)
	for range 2 {
		_, err := from.conn.WriteToUDPAddrPort(buffer, to.address())
		require.NoError(t, err)
	}
	_, err = r.Read(buffer)
	require.NoError(t, err)
	require.False(t, r.Delayed())
	r.MarkDelayed()
	require.True(t, r.Delayed())
	_, ok, err := r.TryRead(buffer)
	require.NoError(t, err)
	require.True(t, ok)
	require.True(t, r.Delayed())
	_, _, err = r.TryRead(buffer)
	require.NoError(t, err)
	require.False(t, r.Delayed())
	_, err = from.conn.WriteToUDPAddrPort(buffer, to.address())
	require.NoError(t, err)
	_, err = r.Read(buffer)
	require.NoError(t, err)
	require.False(t, r.Delayed())
}
