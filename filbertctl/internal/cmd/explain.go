package cmd

import (
	"io"

	"filbertworks.example/filbertworks/filbertctl/internal/remote"
	"filbertworks.example/filbertworks/status"
)

// An explain asks a balancer where it would send a datagram.
type explain struct {
	Admin   addressFlag `long:"admin" value-name:"IP:PORT" required:"true" description:"The balancer's admin endpoint"`
	Service string      `long:"service" value-name:"NAME" required:"true" description:"Name of the service"`
	Caller  addressFlag `long:"caller" value-name:"IP:PORT" required:"true" description:"The caller's address"`
	Token   hexFlag     `long:"token" value-name:"HEX" description:"The datagram's token"`
	Ticket  ticketFlag  `long:"ticket" value-name:"BASE64URL" description:"The datagram's ticket"`

	config *Config
}

// Execute runs the subcommand.
func (o *explain) Execute([]string) error {
	balancer := remote.NewBalancer(o.config.HTTP, o.Admin.AddrPort)
	e, err := balancer.Explain(o.config.Context, status.Query{
		Service: o.Service,
		Caller:  o.Caller.AddrPort,
		Token:   o.Token.bytes,
		Ticket:  o.Ticket.bytes,
	})
	if err != nil {
		return err
	}
	return o.config.write(e, func(w io.Writer) {
		printf(w, "service   %s\ndecision  %s\nupstream  %s\nkeeper    %s\n",
			e.Service, e.Decision, orNone(e.Upstream), orNone(e.Keeper))
		for i, why := range e.Why {
			printf(w, "%3d. %s\n", i+1, why)
		}
	})
}

// orNone returns text, or "-" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
