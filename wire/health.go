package wire

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
)

// healthFormat is the first byte of a datagram about silent upstreams. It
// differs from the formats of other datagrams between balancers.
const healthFormat = 0xf6

// ErrHealth reports a datagram that is not a Health message of this format.
var ErrHealth = eris.New("malformed health datagram")

// AppendHealth appends the datagram for m to buf.
func AppendHealth(buf []byte, m *Health) ([]byte, error) {
	buf, err := proto.MarshalOptions{}.MarshalAppend(append(buf, healthFormat), m)
	return buf, eris.Wrap(err, "marshal health")
}

// IsHealth reports whether data is a Health message rather than another
// datagram.
func IsHealth(data []byte) bool {
	return len(data) > 0 && data[0] == healthFormat
}

// ParseHealth returns the message of a datagram. The error is ErrHealth.
func ParseHealth(data []byte) (*Health, error) {
	m := &Health{}
	if !IsHealth(data) || proto.Unmarshal(data[1:], m) != nil {
		return nil, ErrHealth
	}
	return m, nil
}

// NewRefutation returns the message for a refutation.
func NewRefutation(r *flow.Refutation) *Refutation {
	return &Refutation{
		Ticket: uint32(r.Ticket),
		Age:    milliseconds(r.Age),
	}
}

// Decode returns the refutation of the message.
func (x *Refutation) Decode() flow.Refutation {
	return flow.Refutation{
		Ticket: directory.Ticket(x.GetTicket()),
		Age:    duration(x.GetAge()),
	}
}

// NewSilence returns the message for a report of a silent upstream.
func NewSilence(r *flow.Report) *Silence {
	return &Silence{
		Ticket:   uint32(r.Ticket),
		Flows:    uint32(r.SilentFlows),
		Repeats:  uint32(r.Retransmissions),
		Silence:  milliseconds(r.Silence),
		Refusals: uint32(r.Refusals),
		Late:     uint32(r.LateRequests),
		Longest:  uint32(r.FlowRetransmissions),
	}
}

// Decode returns the report of the message.
func (x *Silence) Decode() flow.Report {
	return flow.Report{
		Ticket:              directory.Ticket(x.GetTicket()),
		SilentFlows:         int(x.GetFlows()),
		Retransmissions:     int(x.GetRepeats()),
		Silence:             duration(x.GetSilence()),
		Refusals:            int(x.GetRefusals()),
		LateRequests:        int(x.GetLate()),
		FlowRetransmissions: int(x.GetLongest()),
	}
}

// NewInquiry returns the message for an inquiry.
func NewInquiry(q *flow.Inquiry) *Inquiry {
	return &Inquiry{
		Ticket:  uint32(q.Ticket),
		Id:      q.ID,
		Silence: milliseconds(q.Silence),
		Single:  q.Single,
	}
}

// Decode returns the inquiry of the message.
func (x *Inquiry) Decode() flow.Inquiry {
	return flow.Inquiry{
		Ticket:  directory.Ticket(x.GetTicket()),
		ID:      x.GetId(),
		Silence: duration(x.GetSilence()),
		Single:  x.GetSingle(),
	}
}

// NewAnswer returns the message for an answer to an inquiry.
func NewAnswer(a *flow.Answer) *Answer {
	return &Answer{
		Ticket: uint32(a.Ticket),
		Id:     a.ID,
		Alive:  a.Alive,
		Age:    milliseconds(a.Age),
	}
}

// Decode returns the answer of the message.
func (x *Answer) Decode() flow.Answer {
	return flow.Answer{
		Ticket: directory.Ticket(x.GetTicket()),
		ID:     x.GetId(),
		Alive:  x.GetAlive(),
		Age:    duration(x.GetAge()),
	}
}
