package status

import (
	"encoding/base64"
	"encoding/hex"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/packet"
)

// maxTicketSize is the maximum size of a ticket in bytes (RFC 9175).
const maxTicketSize = 40

// Keys of a query's URL values.
const (
	keyService = "service"
	keyCaller  = "caller"
	keyToken   = "token"
	keyTicket  = "ticket"
)

// ErrQuery reports a query that cannot be parsed.
var ErrQuery = eris.New("query")

// A Query asks how a balancer would route a caller's datagram.
type Query struct {
	// Service is the name of a service.
	Service string
	Caller  netip.AddrPort
	// Token has at most packet.MaxTokenSize bytes and may be empty.
	Token []byte
	// Ticket has at most 40 bytes and is empty if the datagram has none.
	Ticket []byte
}

// ParseQuery returns the query encoded in URL values, with its token in
// hexadecimal digits and its ticket in unpadded base64url. Errors wrap
// ErrQuery.
func ParseQuery(values url.Values) (Query, error) {
	q := Query{
		Service: values.Get(keyService),
	}
	if q.Service == "" {
		return Query{}, eris.Wrap(ErrQuery, "service: the name of a service is needed")
	}
	var err error
	q.Caller, err = netip.ParseAddrPort(values.Get(keyCaller))
	if err != nil {
		return Query{}, eris.Wrapf(ErrQuery, "caller: %q is not an IP address and a port", values.Get(keyCaller))
	}
	q.Token, err = hex.DecodeString(values.Get(keyToken))
	if err != nil || len(q.Token) > packet.MaxTokenSize {
		return Query{}, eris.Wrapf(ErrQuery, "token: %q is not up to %d bytes in hexadecimal digits", values.Get(keyToken), packet.MaxTokenSize)
	}
	q.Ticket, err = base64.RawURLEncoding.DecodeString(values.Get(keyTicket))
	if err != nil || len(q.Ticket) > maxTicketSize {
		return Query{}, eris.Wrapf(ErrQuery, "ticket: %q is not up to %d bytes in unpadded base64url", values.Get(keyTicket), maxTicketSize)
	}
	return q, nil
}

// Values returns the URL values of q, as parsed by ParseQuery.
func (q Query) Values() url.Values {
	values := url.Values{}
	values.Set(keyService, q.Service)
	values.Set(keyCaller, q.Caller.String())
	if len(q.Token) > 0 {
		values.Set(keyToken, hex.EncodeToString(q.Token))
	}
	if len(q.Ticket) > 0 {
		values.Set(keyTicket, base64.RawURLEncoding.EncodeToString(q.Ticket))
	}
	return values
}
