package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/member"
)

// Layout of a heartbeat's header, as offsets in bytes; numbers are big-endian.
// The header is followed by records, the first being the sender's own.
const (
	heartbeatOffsetFormat  = 0
	heartbeatOffsetDigest  = 1
	heartbeatOffsetAge     = 9
	heartbeatOffsetProbe   = 13
	heartbeatOffsetEcho    = 17
	heartbeatOffsetRecords = 21
	// HeartbeatHeaderSize is the size of a heartbeat's header, in bytes.
	HeartbeatHeaderSize = 22
)

// heartbeatFormat is the first byte of a heartbeat; it differs from
// relayFormat.
const heartbeatFormat = 0xf2

// Flags of a record. The lowest bits hold its state.
const (
	recordStateMask = 0x03
	recordSuspected = 0x04
	recordJoining   = 0x08
	recordFlags     = recordStateMask | recordSuspected | recordJoining
)

// ErrHeartbeat reports a datagram that is not a heartbeat of this format.
var ErrHeartbeat = eris.New("malformed heartbeat")

// AppendHeartbeat appends h to buf. Names and zones longer than 255 bytes are
// truncated.
func AppendHeartbeat(buf []byte, h *member.Heartbeat) []byte {
	var b [HeartbeatHeaderSize]byte
	b[heartbeatOffsetFormat] = heartbeatFormat
	binary.BigEndian.PutUint64(b[heartbeatOffsetDigest:], h.Digest)
	binary.BigEndian.PutUint32(b[heartbeatOffsetAge:], h.PlatformAge)
	binary.BigEndian.PutUint32(b[heartbeatOffsetProbe:], h.Probe)
	binary.BigEndian.PutUint32(b[heartbeatOffsetEcho:], h.Echo)
	b[heartbeatOffsetRecords] = byte(len(h.Records))
	buf = append(buf, b[:]...)
	buf = appendRecord(buf, &h.Sender)
	for i := range h.Records {
		buf = appendRecord(buf, &h.Records[i])
	}
	return buf
}

// IsHeartbeat reports whether data is a heartbeat rather than a relay.
func IsHeartbeat(data []byte) bool {
	return len(data) > 0 && data[0] == heartbeatFormat
}

// ParseHeartbeat parses data into h. The error is ErrHeartbeat.
func ParseHeartbeat(data []byte, h *member.Heartbeat) error {
	if len(data) < HeartbeatHeaderSize || !IsHeartbeat(data) || data[heartbeatOffsetRecords] > member.MaxRecords {
		return ErrHeartbeat
	}
	*h = member.Heartbeat{
		Digest:      binary.BigEndian.Uint64(data[heartbeatOffsetDigest:]),
		PlatformAge: binary.BigEndian.Uint32(data[heartbeatOffsetAge:]),
		Probe:       binary.BigEndian.Uint32(data[heartbeatOffsetProbe:]),
		Echo:        binary.BigEndian.Uint32(data[heartbeatOffsetEcho:]),
		Records:     make([]member.Record, data[heartbeatOffsetRecords]),
	}
	d := &decoder{data: data[HeartbeatHeaderSize:]}
	d.record(&h.Sender)
	for i := range h.Records {
		d.record(&h.Records[i])
	}
	if d.failed || len(d.data) > 0 {
		return ErrHeartbeat
	}
	return nil
}

// ParseRecords returns the records of data, which has the layout of
// AppendRecords. The error is ErrHeartbeat.
func ParseRecords(data []byte) ([]member.Record, error) {
	d := &decoder{data: data}
	var records []member.Record
	for len(d.data) > 0 && !d.failed {
		var r member.Record
		d.record(&r)
		records = append(records, r)
	}
	if d.failed {
		return nil, ErrHeartbeat
	}
	return records, nil
}

// AppendRecords appends records to buf.
func AppendRecords(buf []byte, records []member.Record) []byte {
	for i := range records {
		buf = appendRecord(buf, &records[i])
	}
	return buf
}

func appendRecord(buf []byte, r *member.Record) []byte {
	flags := byte(r.State)
	if r.Suspected {
		flags |= recordSuspected
	}
	if r.Joining {
		flags |= recordJoining
	}
	buf = append(buf, flags)
	buf = binary.BigEndian.AppendUint64(buf, r.Incarnation)
	buf = binary.BigEndian.AppendUint32(buf, r.Sequence)
	buf = binary.BigEndian.AppendUint64(buf, uint64(r.Version))
	buf = appendText(buf, r.Name)
	buf = appendText(buf, r.Zone)
	buf = appendAddress(buf, r.Relay)
	buf = appendAddress(buf, r.Control)
	return appendAddress(buf, r.Admin)
}

func appendText(buf []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(buf, byte(len(s))), s...)
}

func appendAddress(buf []byte, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	buf = append(append(buf, byte(len(ip))), ip...)
	return binary.BigEndian.AppendUint16(buf, a.Port())
}

// A decoder reads consecutive values of data. After a failure it returns zero
// values.
type decoder struct {
	data   []byte
	failed bool
}

// address reads an address. An unset address has no bytes and port zero.
func (d *decoder) address() netip.AddrPort {
	ip := d.bytes(int(d.byte()))
	port := uint16(d.number(2))
	if len(ip) == 0 {
		d.failed = d.failed || port != 0
		return netip.AddrPort{}
	}
	a, ok := netip.AddrFromSlice(ip)
	if !ok || a.Is4In6() {
		d.failed = true
	}
	return netip.AddrPortFrom(a, port)
}

func (d *decoder) byte() byte {
	b := d.bytes(1)
	if b == nil {
		return 0
	}
	return b[0]
}

func (d *decoder) bytes(n int) []byte {
	if d.failed || len(d.data) < n {
		d.failed = true
		return nil
	}
	b := d.data[:n]
	d.data = d.data[n:]
	return b
}

func (d *decoder) number(size int) uint64 {
	var n uint64
	for _, b := range d.bytes(size) {
		n = n<<8 | uint64(b)
	}
	return n
}

func (d *decoder) record(r *member.Record) {
	flags := d.byte()
	*r = member.Record{
		State:       member.State(flags & recordStateMask),
		Suspected:   flags&recordSuspected != 0,
		Joining:     flags&recordJoining != 0,
		Incarnation: d.number(8),
		Sequence:    uint32(d.number(4)),
		Version:     config.Version(d.number(8)),
		Name:        d.text(),
		Zone:        d.text(),
		Relay:       d.address(),
		Control:     d.address(),
		Admin:       d.address(),
	}
	if flags&^recordFlags != 0 || r.State > member.Dead {
		d.failed = true
	}
}

func (d *decoder) text() string {
	return string(d.bytes(int(d.byte())))
}
