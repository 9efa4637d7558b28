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
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service = &config.Service{
		ID:       1,
		Deadline: config.Duration(2 * time.Second),
		Refresh:  config.Duration(30 * time.Second),
	}
)

// A harness is a keeper whose outgoing messages and releases are recorded.
type harness struct {
	keeper     *keeper.Keeper
	timers     *timer.Queue
	now        time.Time
	upstream   *config.Upstream
	forwards   []keeper.Forward
	cancels    []keeper.Cancel
	refusals   []verdict.Reason
	releases   []keeper.Release
	deliveries []keeper.Delivery
	// sealed is the last ticket sealed.
	sealed ticket.Ticket
}

func newHarness(t *testing.T, connections uint32) *harness {
	h := &harness{
		timers: timer.NewQueue(),
		now:    epoch,
		upstream: &config.Upstream{
			ID:          3,
			Slots:       4,
			Connections: connections,
		},
	}
	limits := keeper.Limits{
		Exchanges:     10_000,
		LedgerEntries: 100,
	}
	h.keeper = keeper.New(epoch, incarnation, limits, h.timers, h, h, h, keeper.WithReleaser(h))
	// A limiter created before the configuration does not hold slots for an
	// earlier keeper.
	limiter := h.keeper.Limiter(h.upstream)
	h.keeper.Configure(h.now, snapshot(t, config.ZoneIn, h.upstream.ID))
	limiter.Configure(h.upstream)
	return h
}

func (h *harness) Seal(_ []byte, t ticket.Ticket, _ netip.Addr) { h.sealed = t }

func (h *harness) Cancel(c *keeper.Cancel) { h.cancels = append(h.cancels, *c) }

func (h *harness) Deliver(d *keeper.Delivery, _ []byte) { h.deliveries = append(h.deliveries, *d) }

func (h *harness) Forward(f *keeper.Forward, _ []byte) { h.forwards = append(h.forwards, *f) }

func (h *harness) Refuse(_ *packet.Header, r *keeper.Refusal) {
	h.refusals = append(h.refusals, r.Reason)
}

func (h *harness) Reachable(uint64) bool { return true }

func (h *harness) Release(r *keeper.Release) { h.releases = append(h.releases, *r) }

func (h *harness) Retry(time.Time, *keeper.Retry) bool { return false }

func (h *harness) RecordSuccess(time.Time, uint32) {}

// open sends a caller's registration from a port.
func (h *harness) open(caller, port uint16, t *ticket.Ticket) verdict.Reason {
	return h.keeper.Request(h.now, &keeper.Request{
		Header: &packet.Header{
			Service:     service.ID,
			Caller:      callerOf(caller, port),
			Kind:        packet.KindWatchOpen,
			Token:       packet.TokenOf([]byte{1}),
			MessageID:   port,
			Confirmable: true,
		},
		Ticket:   t,
		Service:  service,
		Upstream: h.upstream,
		Datagram: []byte("register"),
	})
}

func callerOf(caller, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(caller >> 8), byte(caller)}), port)
}

// answer lets the upstream answer the last registration.
func (h *harness) answer(shed bool) {
	f := h.forwards[len(h.forwards)-1]
	h.keeper.HandleUpstreamMessage(h.now, h.upstream.ID, &keeper.UpstreamMessage{
		Token:        f.Token,
		Shed:         shed,
		Observed:     !shed,
		Acknowledged: true,
	}, []byte("answer"))
}

// advance advances the clock by d and runs the timers.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		h.timers.Advance(h.now)
	}
}

// foreignTicket returns the ticket of a flow that another process kept.
func (h *harness) foreignTicket() *ticket.Ticket {
	return &ticket.Ticket{
		Service:     service.ID,
		Upstream:    h.upstream.ID,
		Incarnation: 8,
		Serial:      99,
		Version:     1,
	}
}

func TestReopenedWatchIsNotOfferedElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	require.Equal(t, verdict.ReasonNone, h.open(1, 1, nil))
	require.Equal(t, verdict.ReasonNone, h.open(2, 1, nil))
	require.Equal(t, verdict.ReasonConnections, h.open(3, 1, nil))
	require.Equal(t, verdict.ReasonNone, h.open(3, 1, h.foreignTicket()))
	require.Equal(t, verdict.ReasonNone, h.open(4, 1, h.foreignTicket()))
	require.Empty(t, h.refusals)
	require.Equal(t, uint32(4), h.keeper.Limiter(h.upstream).Watches())
	require.Equal(t, verdict.ReasonNone, h.open(5, 1, h.foreignTicket()), "at twice the connections, a watch is refused and not offered to another upstream")
	require.Equal(t, []verdict.Reason{verdict.ReasonConnections}, h.refusals)
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
			h := newHarness(t, 2)
			require.Equal(t, verdict.ReasonNone, h.open(1, 1, h.foreignTicket()))
			require.Empty(t, h.releases)
			h.answer(tt.shed)
			h.advance(keeper.ReleaseDelay)
			require.Equal(t, []keeper.Release{{
				Incarnation: 8,
				Serials:     []uint64{99},
			}}, h.releases)
			require.Equal(t, 1, h.keeper.Exchanges(), "the caller's retransmission finds its watch")
			h.open(1, 1, h.foreignTicket())
			h.answer(false)
			require.Equal(t, uint64(incarnation), h.sealed.Incarnation)
			require.False(t, h.sealed.IsExecution())
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
		{name: "earlier watch at the same index", change: func(r *keeper.Release) { r.Serials[0]-- }},
		{name: "other index", change: func(r *keeper.Release) { r.Serials[0] += 1 << 16 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.open(1, 1, nil)
			h.answer(false)
			r := &keeper.Release{
				Incarnation: incarnation,
				Serials:     []uint64{h.sealed.Serial},
			}
			tt.change(r)
			require.Equal(t, tt.ends, h.keeper.Release(h.now, r))
			require.Zero(t, h.keeper.Release(h.now, r), "a repeated release does nothing")
			require.Equal(t, 1-tt.ends, h.keeper.Exchanges())
			require.Len(t, h.cancels, tt.ends)
			require.Empty(t, h.refusals, "the caller is sent no message")
		})
	}
}

// TestDelayedReleaseDoesNoHarm checks that a delayed release does not end a
// watch that has returned to its former keeper meanwhile.
func TestDelayedReleaseDoesNoHarm(t *testing.T) {
	h := newHarness(t, 2)
	h.open(1, 1, nil)
	h.answer(false)
	delayed := &keeper.Release{
		Incarnation: incarnation,
		Serials:     []uint64{h.sealed.Serial},
	}
	h.open(1, 1, h.foreignTicket())
	require.Zero(t, h.keeper.Release(h.now, delayed))
	h.answer(false)
	require.Zero(t, h.keeper.Release(h.now, delayed))
	require.Equal(t, 1, h.keeper.Exchanges())
}

func TestFreshPortMovesTheWatch(t *testing.T) {
	h := newHarness(t, 2)
	h.open(1, 1, nil)
	h.answer(false)
	mine := h.sealed
	h.open(1, 2, &mine)
	require.Equal(t, 1, h.keeper.Exchanges())
	require.Equal(t, uint32(1), h.keeper.Limiter(h.upstream).Watches())
	require.Equal(t, h.forwards[0].Token, h.forwards[1].Token)
	h.answer(false)
	require.Equal(t, callerOf(1, 2), h.deliveries[1].Caller)

	h.open(1, 3, nil)
	require.Equal(t, 2, h.keeper.Exchanges(), "another caller of the same address and token is another flow")
}

func TestLeaseEndsUnlessRefreshed(t *testing.T) {
	h := newHarness(t, 2)
	h.open(1, 1, nil)
	h.answer(false)
	h.advance(80 * time.Second)
	h.open(1, 1, nil)
	h.advance(85 * time.Second)
	require.Equal(t, 1, h.keeper.Exchanges())
	h.advance(10 * time.Second)
	require.Zero(t, h.keeper.Exchanges())
	require.Len(t, h.cancels, 1)
}

func snapshot(t *testing.T, zone config.ZoneState, upstreams ...uint32) *config.Snapshot {
	v := *service
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

func TestWatchesOfARemovedUpstreamEnd(t *testing.T) {
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
			h := newHarness(t, watches)
			for i := range watches {
				h.open(uint16(i), 1, nil)
			}
			sent := len(h.forwards)
			h.keeper.Configure(h.now, snapshot(t, tt.zone, tt.others...))
			for range 2 {
				before := len(h.refusals)
				h.advance(time.Second)
				require.Equal(t, keeper.WatchEndRate, len(h.refusals)-before)
			}
			require.Zero(t, h.keeper.Exchanges())
			require.Len(t, h.forwards, sent, "nothing is sent to the upstream")
			require.Empty(t, h.cancels)
		})
	}
}

func TestReregistrationRateIsBounded(t *testing.T) {
	const watches = 1000
	h := newHarness(t, watches)
	for i := range watches {
		h.open(uint16(i), 1, nil)
	}
	h.forwards = nil
	h.keeper.ReregisterWatches(h.now, h.upstream.ID)
	h.advance(time.Second)
	require.Len(t, h.forwards, keeper.ReregisterRate)
	h.advance(2 * time.Second)
	require.Len(t, h.forwards, watches)
	h.answer(false)
	last := h.deliveries[len(h.deliveries)-1]
	require.False(t, last.Acknowledge, "the caller did not ask: it is sent a notification")
}
