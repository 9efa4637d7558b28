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

		Openings:       uint32(r.SilentOpenings),
		OpeningRepeats: uint32(r.OpeningRetransmissions),
		OpeningSilence: milliseconds(r.OpeningSilence),
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

		SilentOpenings:         int(x.GetOpenings()),
		OpeningRetransmissions: int(x.GetOpeningRepeats()),
		OpeningSilence:         duration(x.GetOpeningSilence()),
	}
}

// NewInquiry returns the message for an inquiry.
func NewInquiry(q *flow.Inquiry) *Inquiry {
	return &Inquiry{
		Ticket:  uint32(q.Ticket),
		Id:      q.ID,
		Silence: milliseconds(q.Silence),
		Remote:  q.Remote,
	}
}

// Decode returns the inquiry of the message.
func (x *Inquiry) Decode() flow.Inquiry {
	return flow.Inquiry{
		Ticket:  directory.Ticket(x.GetTicket()),
		ID:      x.GetId(),
		Silence: duration(x.GetSilence()),
		Remote:  x.GetRemote(),
	}
}

// NewAnswer returns the message for an answer to an inquiry.
func NewAnswer(a *flow.Answer) *Answer {
	return &Answer{
		Ticket: uint32(a.Ticket),
		Id:     a.ID,
		Alive:  a.Alive,
		Age:    milliseconds(a.Age),

		Silent:    a.Silent,
		Unreached: a.Unreached,
	}
}

// Decode returns the answer of the message.
func (x *Answer) Decode() flow.Answer {
	return flow.Answer{
		Ticket: directory.Ticket(x.GetTicket()),
		ID:     x.GetId(),
		Alive:  x.GetAlive(),
		Age:    duration(x.GetAge()),

		Silent:    x.GetSilent(),
		Unreached: x.GetUnreached(),
	}
}

// NewConfirmation returns the message for a confirmation of an inquiry.
func NewConfirmation(c *flow.Confirmation) *Confirmation {
	return &Confirmation{
		Ticket: uint32(c.Ticket),
		Id:     c.ID,
		Scope:  uint32(c.Scope),
	}
}

// Decode returns the confirmation of the message. A scope that this build does not know, or
// none, as from former builds, affects no open flow.
func (x *Confirmation) Decode() flow.Confirmation {
	c := flow.Confirmation{
		Ticket: directory.Ticket(x.GetTicket()),
		ID:     x.GetId(),
	}
	if s := x.GetScope(); s <= uint32(flow.ScopeAll) {
		c.Scope = flow.Scope(s)
	}
	return c
}
