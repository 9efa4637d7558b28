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
	"filbertworks.example/filbertworks/upstream"
)

// A recorder is a transport that records what a keeper last sent.
type recorder struct {
	sealer    *ticket.Sealer
	forwarded []keeper.Forward
	delivered []keeper.Delivery
	canceled  int
	refused   int
}

func (o *recorder) Cancel(*keeper.Cancel) { o.canceled++ }

func (o *recorder) Deliver(d *keeper.Delivery, _ []byte) { o.delivered = append(o.delivered, *d) }

func (o *recorder) Forward(f *keeper.Forward, _ []byte) { o.forwarded = append(o.forwarded[:0], *f) }

func (o *recorder) Refuse(*packet.Header, *keeper.Refusal) { o.refused++ }

func (o *recorder) Retry(time.Time, *keeper.Retry) bool { return false }

func (o *recorder) Seal(out []byte, t ticket.Ticket, a netip.Addr) { o.sealer.Seal(out, t, a) }

func (o *recorder) RecordSuccess(time.Time, uint32) {}

func newKeeper(entries int) (*keeper.Keeper, *recorder, *timer.Queue) {
	o := &recorder{sealer: ticket.NewSealer(ticket.Key{Secret: make([]byte, config.MinSecretSize)})}
	q := timer.NewQueue()
	limits := keeper.Limits{
		Exchanges:     1000,
		LedgerEntries: entries,
	}
	return keeper.New(epoch, 1, limits, q, o, o, o), o, q
}

// onceRequest returns a non-idempotent request whose ticket has the given
// serial.
func onceRequest(serial uint64) *keeper.Request {
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
			Expiry:      keeper.ExecutionTicketLifetime,
		},
		Service: &config.Service{
			ID:       1,
			Deadline: config.Duration(2 * time.Second),
		},
		Upstream: &config.Upstream{
			ID:          10,
			Slots:       4,
			Connections: 1,
		},
		Datagram: []byte("hold"),
	}
}

// TestOnceDeadline checks that the upstream gets the remaining deadline and a
// cancellation when it has passed.
func TestOnceDeadline(t *testing.T) {
	k, o, q := newKeeper(10)
	r := onceRequest(1)
	r.Header.Deadline = 700 * time.Millisecond
	k.Request(epoch, r)
	require.Equal(t, 700*time.Millisecond, o.forwarded[0].Deadline)
	require.False(t, o.forwarded[0].Confirmable)
	q.Advance(epoch.Add(700 * time.Millisecond))
	require.Equal(t, 1, o.canceled)
	require.Equal(t, 1, o.refused)
	require.Zero(t, k.Exchanges())
}

// TestOnceReusedToken checks that a request in progress continues when another
// request reuses its token, and that its answer is kept for a retransmission.
func TestOnceReusedToken(t *testing.T) {
	cases := []struct {
		name string
		kind packet.Kind
		// serial is the serial of a non-idempotent request.
		serial uint64
	}{
		{
			name: "idempotent request",
			kind: packet.KindIdempotent,
		},
		{
			name: "watch",
			kind: packet.KindWatchOpen,
		},
		{
			name:   "another non-idempotent request",
			kind:   packet.KindOnce,
			serial: 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k, o, _ := newKeeper(100)
			// Answers raise the limit to two requests.
			for serial := range uint64(upstream.AnswersPerIncrease) {
				k.Request(epoch, onceRequest(10+serial))
				k.HandleUpstreamMessage(epoch, 10, &keeper.UpstreamMessage{Token: o.forwarded[0].Token}, nil)
			}
			first := onceRequest(1)
			k.Request(epoch, first)
			token := o.forwarded[0].Token
			other := onceRequest(c.serial)
			other.Header.Kind = c.kind
			other.Header.MessageID = 7
			k.Request(epoch, other)
			require.NotEqual(t, token, o.forwarded[0].Token)
			require.Zero(t, o.canceled)
			require.Equal(t, 2, k.Exchanges())
			o.delivered = nil
			require.True(t, k.HandleUpstreamMessage(epoch, 10, &keeper.UpstreamMessage{Token: token}, []byte("answer")))
			require.Empty(t, o.delivered, "an answer under the token of another request")
			k.Request(epoch, first)
			require.Len(t, o.delivered, 1)
			require.Equal(t, first.Header.MessageID, o.delivered[0].MessageID)
		})
	}
}

// TestLedgerEntryLifetime checks how long ledger entries are kept: refusals
// until the ticket expires, executions until their retention ends.
func TestLedgerEntryLifetime(t *testing.T) {
	cases := []struct {
		name string
		// upstream is false if the request is refused.
		upstream  bool
		retention time.Duration
	}{
		{
			name:      "refused",
			retention: keeper.ExecutionTicketLifetime,
		},
		{
			name:      "executed",
			upstream:  true,
			retention: keeper.ExecutionTicketLifetime + keeper.AnswerRetention,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k, o, q := newKeeper(1)
			r := onceRequest(1)
			if !c.upstream {
				r.Upstream = nil
			}
			k.Request(epoch, r)
			o.forwarded = nil
			for _, early := range []bool{true, false} {
				at := epoch.Add(c.retention)
				if early {
					at = at.Add(-time.Millisecond)
				}
				q.Advance(at)
				next := onceRequest(2)
				if !early {
					next = onceRequest(3)
				}
				next.Ticket.Expiry = at.Sub(epoch) + time.Second
				k.Request(at, next)
				require.Equal(t, early, len(o.forwarded) == 0)
			}
		})
	}
}

// TestMessageIDs checks that message ids start at different values in different
// processes, and that each upstream has message ids of its own.
func TestMessageIDs(t *testing.T) {
	k, o, _ := newKeeper(10)
	k.Request(epoch, onceRequest(1))
	first := o.forwarded[0].MessageID
	other := onceRequest(2)
	other.Header.Token = packet.TokenOf([]byte{2})
	other.Upstream.ID = 11
	k.Request(epoch, other)
	require.Equal(t, first, o.forwarded[0].MessageID)
	limits := keeper.Limits{Exchanges: 1, LedgerEntries: 1}
	k = keeper.New(epoch, 12345, limits, timer.NewQueue(), o, o, o)
	r := onceRequest(1)
	r.Ticket.Incarnation = 12345
	k.Request(epoch, r)
	require.NotEqual(t, first, o.forwarded[0].MessageID)
}

// BenchmarkOnce measures a non-idempotent request from its datagram to its
// answer and the removal of its ledger entry.
func BenchmarkOnce(b *testing.B) {
	k, o, q := newKeeper(1 << 20)
	r := onceRequest(0)
	answer := make([]byte, 64)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		o.delivered = o.delivered[:0]
		now += time.Millisecond
		r.Ticket.Serial++
		r.Ticket.Expiry = now + keeper.ExecutionTicketLifetime
		at := epoch.Add(now)
		k.Request(at, r)
		k.HandleUpstreamMessage(at, 10, &keeper.UpstreamMessage{Token: o.forwarded[0].Token}, answer)
		q.Advance(at)
	}
}
