package wire

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
)

// Layout of a verification and of its answer, as offsets in bytes; numbers are big-endian.
const (
	verificationOffsetID    = 1
	verificationOffsetFlows = 5
	// A flow's position is the client's address and port, those of the service, the ticket and
	// the acknowledged sequence number.
	endpointSize             = 6
	positionSize             = 2*endpointSize + 8
	verificationOffsetLater  = 5
	verificationAnswerSize   = verificationOffsetLater + 8
	maxVerificationSize      = verificationOffsetFlows + flow.MaxVerified*positionSize
	verificationFormat       = 0xf9
	verificationAnswerFormat = 0xfa
)

// ErrVerification reports a datagram that is not a verification, or not an answer to one, of this
// format.
var ErrVerification = eris.New("malformed verification")

// AppendVerification appends the datagram for v, whose addresses are IPv4 addresses, to buf.
func AppendVerification(buf []byte, v *flow.Verification) []byte {
	buf = append(buf, verificationFormat)
	buf = binary.BigEndian.AppendUint32(buf, v.ID)
	for i := range v.Flows {
		p := &v.Flows[i]
		buf = appendEndpoint(buf, p.Client)
		buf = appendEndpoint(buf, p.Service)
		buf = binary.BigEndian.AppendUint32(buf, uint32(p.Ticket))
		buf = binary.BigEndian.AppendUint32(buf, p.Acknowledged)
	}
	return buf
}

// IsVerification reports whether data is a verification.
func IsVerification(data []byte) bool {
	return len(data) > 0 && data[0] == verificationFormat
}

// ParseVerification returns the verification of a datagram. The error is ErrVerification.
func ParseVerification(data []byte) (flow.Verification, error) {
	flows := len(data) - verificationOffsetFlows
	if !IsVerification(data) || flows <= 0 || flows%positionSize != 0 || len(data) > maxVerificationSize {
		return flow.Verification{}, ErrVerification
	}
	v := flow.Verification{ID: binary.BigEndian.Uint32(data[verificationOffsetID:])}
	for b := data[verificationOffsetFlows:]; len(b) > 0; b = b[positionSize:] {
		v.Flows = append(v.Flows, flow.Position{
			Client:       parseEndpoint(b),
			Service:      parseEndpoint(b[endpointSize:]),
			Ticket:       directory.Ticket(binary.BigEndian.Uint32(b[2*endpointSize:])),
			Acknowledged: binary.BigEndian.Uint32(b[2*endpointSize+4:]),
		})
	}
	return v, nil
}

// AppendVerificationAnswer appends the datagram for the answer to a verification to buf.
func AppendVerificationAnswer(buf []byte, id uint32, later flow.Later) []byte {
	buf = append(buf, verificationAnswerFormat)
	buf = binary.BigEndian.AppendUint32(buf, id)
	return binary.BigEndian.AppendUint64(buf, uint64(later))
}

// IsVerificationAnswer reports whether data is the answer to a verification.
func IsVerificationAnswer(data []byte) bool {
	return len(data) > 0 && data[0] == verificationAnswerFormat
}

// ParseVerificationAnswer returns the verification's ID and the answer of a datagram. The error is
// ErrVerification.
func ParseVerificationAnswer(data []byte) (id uint32, later flow.Later, err error) {
	if !IsVerificationAnswer(data) || len(data) != verificationAnswerSize {
		return 0, 0, ErrVerification
	}
	return binary.BigEndian.Uint32(data[verificationOffsetID:]), flow.Later(binary.BigEndian.Uint64(data[verificationOffsetLater:])), nil
}

func appendEndpoint(buf []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(buf, ip[:]...), a.Port())
}

func parseEndpoint(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
