package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/internal/standin"
	"filbertworks.example/filbertworks/packet"
)

// pendingAnswers is the number of received messages that a socket holds.
const pendingAnswers = 64

// errNoAnswer reports a request whose retransmissions all went unanswered.
var errNoAnswer = eris.New("no answer")

// A socket is one caller's source address. It sprays its datagrams over the
// balancers; only its answers are safe for concurrent use.
type socket struct {
	conn      *net.UDPConn
	balancers []netip.AddrPort
	random    *rand.Rand
	// answers is closed with the socket.
	answers    chan *coap.Response
	ackTimeout time.Duration
	id         uint16
}

func newSocket(source netip.Addr, balancers []netip.AddrPort, ackTimeout time.Duration, random *rand.Rand) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source, 0)))
	if err != nil {
		return nil, eris.Wrap(err, "caller")
	}
	s := &socket{
		conn:       conn,
		balancers:  balancers,
		random:     random,
		answers:    make(chan *coap.Response, pendingAnswers),
		ackTimeout: ackTimeout,
		id:         uint16(random.Uint32()),
	}
	go s.read()
	return s, nil
}

func (s *socket) close() {
	_ = s.conn.Close()
}

// exchange sends a confirmable request and returns its answer. The error is
// errNoAnswer, or that of ctx.
func (s *socket) exchange(ctx context.Context, m *message.Message) (*coap.Response, error) {
	t, err := s.transmit(m)
	if err != nil {
		return nil, err
	}
	token := packet.TokenOf(m.Token)
	timer := time.NewTimer(time.Until(t.due))
	defer timer.Stop()
	for {
		select {
		case a, ok := <-s.answers:
			if !ok {
				return nil, errNoAnswer
			}
			if answers(a, token, t.id) {
				return a, nil
			}
		case now := <-timer.C:
			if t.failed(now) {
				return nil, errNoAnswer
			}
			if t.resend(now) {
				s.spray(t.datagram)
			}
			timer.Reset(time.Until(t.due))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answers reports whether a answers the request of a token and message id. An
// answer to an earlier message of the same token is none.
func answers(a *coap.Response, token packet.Token, id uint16) bool {
	if a.Token != token || a.IsEmptyAck() || a.Reset() {
		return false
	}
	return a.Type != message.Acknowledgement || a.Message == id
}

// read passes received messages on until the socket is closed; those beyond
// pendingAnswers are lost, as in a full receive buffer.
func (s *socket) read() {
	defer close(s.answers)
	parser := coap.NewParser()
	for {
		buffer := make([]byte, coap.MaxDatagramSize)
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		a := &coap.Response{}
		if parser.Response(buffer[:n], a) != nil {
			continue
		}
		if a.Type == message.Confirmable {
			s.acknowledge(from, a.Message)
		}
		select {
		case s.answers <- a:
		default:
		}
	}
}

func (s *socket) acknowledge(to netip.AddrPort, id uint16) {
	_, _ = s.conn.WriteToUDPAddrPort(coap.NewWriter().Empty(message.Acknowledgement, id), to)
}

// spray sends a datagram to any balancer.
func (s *socket) spray(datagram []byte) {
	to := s.balancers[s.random.IntN(len(s.balancers))]
	_, _ = s.conn.WriteToUDPAddrPort(datagram, to)
}

// token returns a new token.
func (s *socket) token() message.Token {
	t := make(message.Token, packet.MaxTokenSize)
	for i := range t {
		t[i] = byte(s.random.Uint32())
	}
	return t
}

// transmit sends a message as confirmable with a new message id.
func (s *socket) transmit(m *message.Message) (*transmission, error) {
	s.id++
	m.Type = message.Confirmable
	m.MessageID = int32(s.id)
	datagram, err := standin.Encode(m)
	if err != nil {
		return nil, err
	}
	s.spray(datagram)
	return newTransmission(time.Now(), datagram, s.id, s.ackTimeout, s.random.Float64()), nil
}
