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
	"filbertworks.example/filbertworks/verdict"
)

const incarnation = 7

var (
	epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	desk  = &config.Service{
		ID:       1,
		Deadline: config.Duration(2 * time.Second),
		Refresh:  config.Duration(30 * time.Second),
	}
)

// A bench is a keeper whose effects are recorded.
type bench struct {
	keeper     *keeper.Keeper
	timers     *timer.Queue
	now        time.Time
	upstream   *config.Upstream
	forwards   []keeper.Forward
	cancels    []keeper.Cancel
	refusals   []verdict.Reason
	releases   []keeper.Release
	deliveries []keeper.Delivery
	// sealed is the last ticket.
	sealed ticket.Ticket
}

func newBench(t *testing.T, connections uint32) *bench {
	b := &bench{
		timers: timer.NewQueue(),
		now:    epoch,
		upstream: &config.Upstream{
			ID:          3,
			Slots:       4,
			Connections: connections,
		},
	}
	limits := keeper.Limits{
		Exchanges: 10_000,
		Entries:   100,
	}
	b.keeper = keeper.New(epoch, incarnation, limits, b.timers, b, b, b, keeper.WithReleaser(b))
	// A gate from before the configuration holds nothing back for an earlier
	// keeper.
	g := b.keeper.Limiter(b.upstream)
	b.keeper.Configure(b.now, snapshot(t, config.ZoneIn, b.upstream.ID))
	g.Configure(b.upstream)
	return b
}

func (b *bench) Seal(_ []byte, t ticket.Ticket, _ netip.Addr) { b.sealed = t }

func (b *bench) Cancel(c *keeper.Cancel) { b.cancels = append(b.cancels, *c) }

func (b *bench) Deliver(d *keeper.Delivery, _ []byte) { b.deliveries = append(b.deliveries, *d) }

func (b *bench) Forward(f *keeper.Forward, _ []byte) { b.forwards = append(b.forwards, *f) }

func (b *bench) Refuse(_ *packet.Header, r *keeper.Refusal) {
	b.refusals = append(b.refusals, r.Reason)
}

func (b *bench) Reachable(uint64) bool { return true }

func (b *bench) Release(r *keeper.Release) { b.releases = append(b.releases, *r) }

func (b *bench) Retry(time.Time, *keeper.Retry) bool { return false }

func (b *bench) RecordSuccess(time.Time, uint32) {}

// open sends a registration of a caller from a port.
func (b *bench) open(caller, port uint16, t *ticket.Ticket) verdict.Reason {
	return b.keeper.Request(b.now, &keeper.Request{
		Header: &packet.Header{
			Service:     desk.ID,
			Caller:      callerOf(caller, port),
			Kind:        packet.KindWatchOpen,
			Token:       packet.TokenOf([]byte{1}),
			Message:     port,
			Confirmable: true,
		},
		Ticket:   t,
		Service:  desk,
		Upstream: b.upstream,
		Datagram: []byte("register"),
	})
}

func callerOf(caller, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(caller >> 8), byte(caller)}), port)
}

// answer has the upstream answer the last registration.
func (b *bench) answer(shed bool) {
	f := b.forwards[len(b.forwards)-1]
	b.keeper.HandleUpstreamMessage(b.now, b.upstream.ID, &keeper.UpstreamMessage{
		Token:        f.Token,
		Shed:         shed,
		Observed:     !shed,
		Acknowledged: true,
	}, []byte("answer"))
}

// pass lets time pass.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.timers.Advance(b.now)
	}
}

// foreign is the ticket of a flow that another process kept.
func (b *bench) foreign() *ticket.Ticket {
	return &ticket.Ticket{
		Service:     desk.ID,
		Upstream:    b.upstream.ID,
		Incarnation: 8,
		Serial:      99,
		Version:     1,
	}
}

func TestReopenedWatchIsNotOfferedElsewhere(t *testing.T) {
	b := newBench(t, 2)
	require.Equal(t, verdict.ReasonNone, b.open(1, 1, nil))
	require.Equal(t, verdict.ReasonNone, b.open(2, 1, nil))
	require.Equal(t, verdict.ReasonConnections, b.open(3, 1, nil))
	require.Equal(t, verdict.ReasonNone, b.open(3, 1, b.foreign()))
	require.Equal(t, verdict.ReasonNone, b.open(4, 1, b.foreign()))
	require.Empty(t, b.refusals)
	require.Equal(t, uint32(4), b.keeper.Limiter(b.upstream).Watches())
	require.Equal(t, verdict.ReasonNone, b.open(5, 1, b.foreign()), "beyond twice the connections it is refused, not offered")
	require.Equal(t, []verdict.Reason{verdict.ReasonConnections}, b.refusals)
}

func TestFormerKeeperIsReleasedOnceTheUpstreamAnswered(t *testing.T) {
	tests := []struct {
		name string
		shed bool
	}{
		{name: "registered", shed: false},
		{name: "full with the former registration", shed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 2)
			require.Equal(t, verdict.ReasonNone, b.open(1, 1, b.foreign()))
			require.Empty(t, b.releases)
			b.answer(tt.shed)
			b.pass(keeper.ReleaseDelay)
			require.Equal(t, []keeper.Release{{
				Incarnation: 8,
				Serials:     []uint64{99},
			}}, b.releases)
			require.Equal(t, 1, b.keeper.Exchanges(), "the caller's retransmission finds its watch")
			b.open(1, 1, b.foreign())
			b.answer(false)
			require.Equal(t, uint64(incarnation), b.sealed.Incarnation)
			require.False(t, b.sealed.IsExecution())
		})
	}
}

func TestReleaseEndsTheWatchItNames(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *keeper.Release)
		ends   int
	}{
		{name: "same", change: func(*keeper.Release) {}, ends: 1},
		{name: "among others", change: func(r *keeper.Release) { r.Serials = append(r.Serials, 1<<40, 5) }, ends: 1},
		{name: "repeated", change: func(r *keeper.Release) { r.Serials = append(r.Serials, r.Serials[0]) }, ends: 1},
		{name: "other process", change: func(r *keeper.Release) { r.Incarnation++ }},
		{name: "earlier watch of the place", change: func(r *keeper.Release) { r.Serials[0]-- }},
		{name: "other place", change: func(r *keeper.Release) { r.Serials[0] += 1 << 16 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, 2)
			b.open(1, 1, nil)
			b.answer(false)
			r := &keeper.Release{
				Incarnation: incarnation,
				Serials:     []uint64{b.sealed.Serial},
			}
			tt.change(r)
			require.Equal(t, tt.ends, b.keeper.Release(b.now, r))
			require.Zero(t, b.keeper.Release(b.now, r), "a repeated release does nothing")
			require.Equal(t, 1-tt.ends, b.keeper.Exchanges())
			require.Len(t, b.cancels, tt.ends)
			require.Empty(t, b.refusals, "the caller is told nothing")
		})
	}
}

// TestDelayedReleaseDoesNoHarm states that a release of a watch which has come
// back meanwhile does not end it.
func TestDelayedReleaseDoesNoHarm(t *testing.T) {
	b := newBench(t, 2)
	b.open(1, 1, nil)
	b.answer(false)
	delayed := &keeper.Release{
		Incarnation: incarnation,
		Serials:     []uint64{b.sealed.Serial},
	}
	b.open(1, 1, b.foreign())
	require.Zero(t, b.keeper.Release(b.now, delayed))
	b.answer(false)
	require.Zero(t, b.keeper.Release(b.now, delayed))
	require.Equal(t, 1, b.keeper.Exchanges())
}

func TestFreshPortMovesTheWatch(t *testing.T) {
	b := newBench(t, 2)
	b.open(1, 1, nil)
	b.answer(false)
	mine := b.sealed
	b.open(1, 2, &mine)
	require.Equal(t, 1, b.keeper.Exchanges())
	require.Equal(t, uint32(1), b.keeper.Limiter(b.upstream).Watches())
	require.Equal(t, b.forwards[0].Token, b.forwards[1].Token)
	b.answer(false)
	require.Equal(t, callerOf(1, 2), b.deliveries[1].Caller)

	b.open(1, 3, nil)
	require.Equal(t, 2, b.keeper.Exchanges(), "another caller of the same address and token is another flow")
}

func TestLeaseEndsUnlessRefreshed(t *testing.T) {
	b := newBench(t, 2)
	b.open(1, 1, nil)
	b.answer(false)
	b.pass(80 * time.Second)
	b.open(1, 1, nil)
	b.pass(85 * time.Second)
	require.Equal(t, 1, b.keeper.Exchanges())
	b.pass(10 * time.Second)
	require.Zero(t, b.keeper.Exchanges())
	require.Len(t, b.cancels, 1)
}

func snapshot(t *testing.T, zone config.ZoneState, upstreams ...uint32) *config.Snapshot {
	v := *desk
	v.Name = "desk"
	v.Address = netip.MustParseAddrPort("10.9.0.1:5683")
	for _, id := range upstreams {
		v.Upstreams = append(v.Upstreams, config.Upstream{
			ID:          id,
			Name:        string(rune('a' + id)),
			Zone:        "z",
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 1, byte(id)}), 5683),
			Share:       1,
			Slots:       4,
			Connections: 5000,
			State:       config.UpstreamActive,
		})
	}
	c, err := config.NewSnapshot(2, &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, 32),
		}},
		Zones: []config.Zone{{
			Name:   "z",
			Region: "r",
			State:  zone,
		}},
		Services: []config.Service{v},
	})
	require.NoError(t, err)
	return c
}

func TestWatchesOfAGoneUpstreamAreDismissed(t *testing.T) {
	tests := []struct {
		name   string
		zone   config.ZoneState
		others []uint32
	}{
		{name: "upstream removed", zone: config.ZoneIn, others: []uint32{4}},
		{name: "zone out", zone: config.ZoneOut, others: []uint32{3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const watches = 4000
			b := newBench(t, watches)
			for i := range watches {
				b.open(uint16(i), 1, nil)
			}
			sent := len(b.forwards)
			b.keeper.Configure(b.now, snapshot(t, tt.zone, tt.others...))
			for range 2 {
				before := len(b.refusals)
				b.pass(time.Second)
				require.Equal(t, keeper.EndRate, len(b.refusals)-before)
			}
			require.Zero(t, b.keeper.Exchanges())
			require.Len(t, b.forwards, sent, "nothing is sent to the upstream")
			require.Empty(t, b.cancels)
		})
	}
}

func TestRepairRegistersAtABoundedRate(t *testing.T) {
	const watches = 1000
	b := newBench(t, watches)
	for i := range watches {
		b.open(uint16(i), 1, nil)
	}
	b.forwards = nil
	b.keeper.ReregisterWatches(b.now, b.upstream.ID)
	b.pass(time.Second)
	require.Len(t, b.forwards, keeper.ReregisterRate)
	b.pass(2 * time.Second)
	require.Len(t, b.forwards, watches)
	b.answer(false)
	last := b.deliveries[len(b.deliveries)-1]
	require.False(t, last.Acknowledge, "the caller did not ask: it is sent a notification")
}
