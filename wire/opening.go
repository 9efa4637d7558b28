package wire

import (
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
)

// NewFlow returns the message for a flow's ID.
func NewFlow(id *flow.ID) *Flow {
	return &Flow{
		Client:   addressBytes(id.Client),
		Service:  addressBytes(id.Service),
		Sequence: id.Sequence,
	}
}

// Decode returns the flow's ID. It returns false if an address is not an IPv4 address.
func (x *Flow) Decode() (flow.ID, bool) {
	client, err := parseAddress(x.GetClient())
	if err != nil || !client.Addr().Is4() {
		return flow.ID{}, false
	}
	service, err := parseAddress(x.GetService())
	if err != nil || !service.Addr().Is4() {
		return flow.ID{}, false
	}
	return flow.ID{
		Client:   client,
		Service:  service,
		Sequence: x.GetSequence(),
	}, true
}

// NewOpening returns the message for what a balancer knows of a flow's upstream.
func NewOpening(o *flow.Opening) *Opening {
	return &Opening{
		Flow:   NewFlow(&o.Flow),
		Ticket: uint32(o.Ticket),
		Open:   o.Open,
	}
}

// Decode returns what a balancer knows of a flow's upstream. It returns false if an address
// of the flow is not an IPv4 address.
func (x *Opening) Decode() (flow.Opening, bool) {
	id, ok := x.GetFlow().Decode()
	return flow.Opening{
		Flow:   id,
		Ticket: directory.Ticket(x.GetTicket()),
		Open:   x.GetOpen(),
	}, ok
}
