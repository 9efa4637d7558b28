package flow

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/internal/standin"
)

// A scriptedBalancer answers each distinct message with the next step. A nil
// step means no answer.
type scriptedBalancer struct {
	steps []*message.Message
	// tickets are the Echo values received, one for each distinct message.
	tickets chan string
}

func (b *scriptedBalancer) serve(conn *net.UDPConn) {
	buffer := make([]byte, coap.MaxDatagramSize)
	last := int32(-1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		m, err := standin.Decode(buffer[:n])
		if err != nil || m.MessageID == last || len(b.steps) == 0 {
			continue
		}
		last = m.MessageID
		ticket, _ := m.Options.GetBytes(message.Echo)
		b.tickets <- string(ticket)
		a := b.steps[0]
		b.steps = b.steps[1:]
		if a == nil {
			continue
		}
		a.Type = message.Acknowledgement
		a.MessageID = m.MessageID
		a.Token = m.Token
		data, err := standin.Encode(a)
		if err != nil {
			return
		}
		_, _ = conn.WriteToUDPAddrPort(data, from)
	}
}

func newStep(code codes.Code, ticket, payload string) *message.Message {
	return &message.Message{
		Code:    code,
		Options: ticketOption([]byte(ticket)),
		Payload: []byte(payload),
	}
}

func TestHold(t *testing.T) {
	for _, tc := range []struct {
		name     string
		steps    []*message.Message
		tickets  []string
		want     Counts
		upstream string
	}{
		{
			name:    "challenge",
			steps:   []*message.Message{newStep(codes.Unauthorized, "t1", ""), newStep(codes.Changed, "", "held h by u1")},
			tickets: []string{"", "t1"},
			want: Counts{
				Answered: 1,
			},
			upstream: "u1",
		},
		{
			name: "retry of a refused hold with a new ticket",
			steps: []*message.Message{
				newStep(codes.Unauthorized, "t1", ""), newStep(codes.ServiceUnavailable, "", "not-run: busy"),
				newStep(codes.Unauthorized, "t2", ""), newStep(codes.Changed, "", "held h by u2"),
			},
			tickets: []string{"", "t1", "", "t2"},
			want: Counts{
				Answered: 1,
				Refused:  1,
			},
			upstream: "u2",
		},
		{
			name:    "unknown outcome is not retried",
			steps:   []*message.Message{newStep(codes.GatewayTimeout, "", "")},
			tickets: []string{""},
			want: Counts{
				MayHaveRun: 1,
			},
		},
		{
			name:    "no answer is not retried",
			steps:   []*message.Message{nil},
			tickets: []string{""},
			want: Counts{
				MayHaveRun: 1,
			},
		},
		{
			name:    "answer to another hold",
			steps:   []*message.Message{newStep(codes.Changed, "", "held h2 by u1")},
			tickets: []string{""},
			want: Counts{
				Wrong: 1,
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			conn, err := net.ListenUDP("udp", &net.UDPAddr{
				IP: net.IPv4(127, 0, 0, 1),
			})
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			b := &scriptedBalancer{
				steps:   tc.steps,
				tickets: make(chan string, 16),
			}
			go b.serve(conn)
			address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
			s, err := newSocket(netip.MustParseAddr("127.0.0.1"), []netip.AddrPort{address},
				50*time.Millisecond, rand.New(rand.NewPCG(1, 1)))
			require.NoError(t, err)
			defer s.close()
			var counts Counts
			upstream := s.placeHold(context.Background(), context.Background(), "h", &counts)
			tc.want.Opened = 1
			require.Equal(t, tc.want, counts)
			require.Equal(t, tc.upstream, upstream)
			require.Len(t, b.tickets, len(tc.tickets))
			for _, want := range tc.tickets {
				require.Equal(t, want, <-b.tickets)
			}
		})
	}
}

func TestTransmission(t *testing.T) {
	start := time.Unix(0, 0)
	tr := newTransmission(start, nil, 1, time.Second, 1)
	var at []time.Duration
	for now := start; !tr.failed(now); now = now.Add(100 * time.Millisecond) {
		if tr.retransmit(now) {
			at = append(at, now.Sub(start))
		}
	}
	// The timeout starts at 1.5 s, the greatest factor on 1 s, and doubles.
	require.Equal(t, []time.Duration{1500 * time.Millisecond, 4500 * time.Millisecond, 10500 * time.Millisecond, 22500 * time.Millisecond}, at)
}
