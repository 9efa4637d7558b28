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

// maxQueuedResponses is the number of received messages that a socket queues.
const maxQueuedResponses = 64

// errNoAnswer reports a request that was not answered after all retransmissions.
var errNoAnswer = eris.New("no answer")

// A socket is the UDP socket of one caller. It sends each datagram to a randomly
// chosen balancer. Only its channel of responses is safe for concurrent use.
type socket struct {
	conn      *net.UDPConn
	balancers []netip.AddrPort
	random    *rand.Rand
	// responses are the received messages; it is closed when the socket is.
	responses     chan *coap.Response
	ackTimeout    time.Duration
	lastMessageID uint16
}

func newSocket(source netip.Addr, balancers []netip.AddrPort, ackTimeout time.Duration, random *rand.Rand) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(source, 0)))
	if err != nil {
		return nil, eris.Wrap(err, "caller")
	}
	s := &socket{
		conn:          conn,
		balancers:     balancers,
		random:        random,
		responses:     make(chan *coap.Response, maxQueuedResponses),
		ackTimeout:    ackTimeout,
		lastMessageID: uint16(random.Uint32()),
	}
	go s.receive()
	return s, nil
}

func (s *socket) close() {
	_ = s.conn.Close()
}

// exchange sends a confirmable request, retransmits it until it is answered and
// returns the answer. The error is errNoAnswer, that of ctx or that of encoding
// the request.
func (s *socket) exchange(ctx context.Context, m *message.Message) (*coap.Response, error) {
	t, err := s.transmit(m)
	if err != nil {
		return nil, err
	}
	token := packet.TokenOf(m.Token)
	timer := time.NewTimer(time.Until(t.nextTimeout))
	defer timer.Stop()
	for {
		select {
		case a, ok := <-s.responses:
			if !ok {
				return nil, errNoAnswer
			}
			if isResponse(a, token, t.messageID) {
				return a, nil
			}
		case now := <-timer.C:
			if t.failed(now) {
				return nil, errNoAnswer
			}
			if t.retransmit(now) {
				s.sendToRandom(t.datagram)
			}
			timer.Reset(time.Until(t.nextTimeout))
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// isResponse reports whether a is a response to the request with the token and
// message id. An acknowledgement of an earlier message with the same token is
// not.
func isResponse(a *coap.Response, token packet.Token, id uint16) bool {
	if a.Token != token || a.IsEmptyAck() || a.Reset() {
		return false
	}
	return a.Type != message.Acknowledgement || a.MessageID == id
}

// receive queues received messages until the socket is closed. Messages beyond
// maxQueuedResponses are dropped, as with a full receive buffer.
func (s *socket) receive() {
	defer close(s.responses)
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
		if parser.ParseResponse(buffer[:n], a) != nil {
			continue
		}
		if a.Type == message.Confirmable {
			s.acknowledge(from, a.MessageID)
		}
		select {
		case s.responses <- a:
		default:
		}
	}
}

func (s *socket) acknowledge(to netip.AddrPort, id uint16) {
	_, _ = s.conn.WriteToUDPAddrPort(coap.NewWriter().Empty(message.Acknowledgement, id), to)
}

// sendToRandom sends a datagram to a randomly chosen balancer.
func (s *socket) sendToRandom(datagram []byte) {
	to := s.balancers[s.random.IntN(len(s.balancers))]
	_, _ = s.conn.WriteToUDPAddrPort(datagram, to)
}

// newToken returns a random token of the greatest length.
func (s *socket) newToken() message.Token {
	t := make(message.Token, packet.MaxTokenSize)
	for i := range t {
		t[i] = byte(s.random.Uint32())
	}
	return t
}

// transmit sends m as a confirmable message with a new message id.
func (s *socket) transmit(m *message.Message) (*transmission, error) {
	s.lastMessageID++
	m.Type = message.Confirmable
	m.MessageID = int32(s.lastMessageID)
	datagram, err := standin.Encode(m)
	if err != nil {
		return nil, err
	}
	s.sendToRandom(datagram)
	return newTransmission(time.Now(), datagram, s.lastMessageID, s.ackTimeout, s.random.Float64()), nil
}
