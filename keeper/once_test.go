package keeper_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/timer"
)

// An outlet keeps what a keeper last sent.
type outlet struct {
	sealer    *ticket.Sealer
	forwarded []keeper.Forward
	canceled  int
	refused   int
}

func (o *outlet) Cancel(*keeper.Cancel) { o.canceled++ }

func (o *outlet) Deliver(*keeper.Delivery, []byte) {}

func (o *outlet) Forward(f *keeper.Forward, _ []byte) { o.forwarded = append(o.forwarded[:0], *f) }

func (o *outlet) Refuse(*packet.Header, *keeper.Refusal) { o.refused++ }

func (o *outlet) Retry(time.Time, *keeper.Retry) bool { return false }

func (o *outlet) Seal(out []byte, t ticket.Ticket, a netip.Addr) { o.sealer.Seal(out, t, a) }

func (o *outlet) Succeed(time.Time, uint32) {}

func newKeeper(entries int) (*keeper.Keeper, *outlet, *timer.Queue) {
	o := &outlet{sealer: ticket.NewSealer(ticket.Key{Secret: make([]byte, config.MinSecretSize)})}
	q := timer.NewQueue()
	limits := keeper.Limits{
		Exchanges: 1000,
		Entries:   entries,
	}
	return keeper.New(epoch, 1, limits, q, o, o, o), o, q
}

// hold returns a non-idempotent request under a serial.
func hold(serial uint64, now time.Duration) *keeper.Request {
	return &keeper.Request{
		Header: &packet.Header{
			Service: 1,
			Caller:  netip.MustParseAddrPort("10.0.0.1:5683"),
			Kind:    packet.KindOnce,
			Token:   packet.TokenOf([]byte{1}),
		},
		Ticket: &ticket.Ticket{
			Service:     1,
			Upstream:    10,
			Incarnation: 1,
			Serial:      serial,
			Expiry:      now + keeper.ExecutionLifetime,
		},
		Service: &config.Service{
			ID:       1,
			Deadline: config.Duration(2 * time.Second),
		},
		Upstream: &config.Upstream{
			ID:    10,
			Slots: 4,
		},
		Datagram: []byte("hold"),
	}
}

// TestOnceDeadline states that the upstream gets what is left of the deadline and
// is told when it has passed.
func TestOnceDeadline(t *testing.T) {
	k, o, q := newKeeper(10)
	r := hold(1, 0)
	r.Header.Deadline = 700 * time.Millisecond
	k.Request(epoch, r)
	require.Equal(t, 700*time.Millisecond, o.forwarded[0].Deadline)
	require.False(t, o.forwarded[0].Confirmable)
	q.Advance(epoch.Add(700 * time.Millisecond))
	require.Equal(t, 1, o.canceled)
	require.Equal(t, 1, o.refused)
	require.Zero(t, k.Exchanges())
}

// BenchmarkOnce measures a non-idempotent request from its datagram to its
// answer and the end of its entry.
func BenchmarkOnce(b *testing.B) {
	k, o, q := newKeeper(1 << 20)
	r := hold(0, 0)
	answer := make([]byte, 64)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		r.Ticket.Serial++
		r.Ticket.Expiry = now + keeper.ExecutionLifetime
		at := epoch.Add(now)
		k.Request(at, r)
		k.Answer(at, 10, &keeper.Answer{Token: o.forwarded[0].Token}, answer)
		q.Advance(at)
	}
}
