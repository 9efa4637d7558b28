package keeper_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/timer"
	"filbertworks.example/filbertworks/verdict"
)

// A load is a keeper of one upstream that answers each request after a fixed
// work time, on a clock of the test's own. It is the keeper's outlet.
type load struct {
	keeper   *keeper.Keeper
	timers   *timer.Queue
	service  config.Service
	now      time.Time
	work     time.Duration
	sequence uint64
	flying   []sent
	// counts
	forwards, answers, peak int
	// closed counts watches closed at the upstream.
	closed   int
	refused  map[verdict.Reason]int
	resolved map[packet.Token]int
}

type sent struct {
	token packet.Token
	ends  time.Time
}

func newLoad(slots uint32, work time.Duration) *load {
	l := &load{
		timers: timer.NewQueue(),
		service: config.Service{
			ID:       1,
			Deadline: config.Duration(time.Second),
			Refresh:  config.Duration(5 * time.Second),
			Upstreams: []config.Upstream{{
				ID:          1,
				Slots:       slots,
				Connections: 100,
				State:       config.UpstreamActive,
			}},
		},
		now:      time.Unix(0, 0),
		work:     work,
		refused:  make(map[verdict.Reason]int),
		resolved: make(map[packet.Token]int),
	}
	l.keeper = keeper.New(l.now, 1, keeper.Limits{
		Exchanges: 1000,
		Entries:   1000,
	}, l.timers, l, l, l)
	return l
}

func (l *load) Cancel(c *keeper.Cancel) {
	if c.Kind == packet.KindWatchOpen {
		l.closed++
	}
	for i, s := range l.flying {
		if s.token == c.Token {
			l.flying = append(l.flying[:i], l.flying[i+1:]...)
			return
		}
	}
}

func (l *load) Deliver(d *keeper.Delivery, _ []byte) {
	l.answers++
	l.resolved[d.Token]++
}

func (l *load) Forward(f *keeper.Forward, _ []byte) {
	l.forwards++
	l.flying = append(l.flying, sent{
		token: f.Token,
		ends:  l.now.Add(l.work),
	})
	l.peak = max(l.peak, len(l.flying))
}

func (l *load) Refuse(h *packet.Header, r *keeper.Refusal) {
	l.refused[r.Reason]++
	l.resolved[h.Token]++
}

func (l *load) Retry(time.Time, *keeper.Retry) bool { return false }

func (l *load) RecordSuccess(time.Time, uint32) {}

func (l *load) Seal([]byte, ticket.Ticket, netip.Addr) {}

// offer sends a new request.
func (l *load) offer(d time.Duration) {
	l.sequence++
	var token [8]byte
	binary.BigEndian.PutUint64(token[:], l.sequence)
	h := &packet.Header{
		Service:  1,
		Caller:   netip.MustParseAddrPort("127.0.0.1:1"),
		Kind:     packet.KindIdempotent,
		Token:    packet.TokenOf(token[:]),
		Message:  uint16(l.sequence),
		Deadline: d,
	}
	reason := l.keeper.Request(l.now, &keeper.Request{
		Header:   h,
		Service:  &l.service,
		Upstream: &l.service.Upstreams[0],
		Datagram: token[:],
	})
	if reason != verdict.ReasonNone {
		l.refused[reason]++
		l.resolved[h.Token]++
	}
}

// step lets a millisecond pass.
func (l *load) step() {
	l.now = l.now.Add(time.Millisecond)
	for i := 0; i < len(l.flying); {
		s := l.flying[i]
		if l.now.Before(s.ends) {
			i++
			continue
		}
		l.flying = append(l.flying[:i], l.flying[i+1:]...)
		l.keeper.HandleUpstreamMessage(l.now, 1, &keeper.UpstreamMessage{
			Token:        s.token,
			Acknowledged: true,
		}, nil)
	}
	l.timers.Advance(l.now)
}

func TestOverloadKeepsCapacity(t *testing.T) {
	const slots, work, seconds = 4, 20 * time.Millisecond, 10
	l := newLoad(slots, work)
	watch := &packet.Header{
		Service: 1,
		Caller:  netip.MustParseAddrPort("127.0.0.1:2"),
		Kind:    packet.KindWatchOpen,
		Token:   packet.TokenOf([]byte{1}),
	}
	require.Equal(t, verdict.ReasonNone, l.keeper.Request(l.now, &keeper.Request{
		Header:   watch,
		Service:  &l.service,
		Upstream: &l.service.Upstreams[0],
	}))
	l.flying, l.peak = nil, 0
	rate := 3 * slots * int(time.Second/work)
	run := func(d time.Duration) {
		due := 0
		for ms := 1; ms <= int(d.Milliseconds()); ms++ {
			for ; due < rate*ms/1000; due++ {
				l.offer(0)
			}
			l.step()
		}
	}
	run(2 * time.Second)
	answers, forwards, admitted := l.answers, l.forwards, l.sequence-uint64(l.refused[verdict.ReasonBusy])
	run(seconds * time.Second)
	capacity := float64(seconds*slots) * float64(time.Second/work)
	admitted = l.sequence - uint64(l.refused[verdict.ReasonBusy]) - admitted
	t.Logf("answered %.3f of capacity, %d forwards for %d admitted, %d in flight at most",
		float64(l.answers-answers)/capacity, l.forwards-forwards, admitted, l.peak)
	require.GreaterOrEqual(t, float64(l.answers-answers), 0.9*capacity)
	require.LessOrEqual(t, float64(l.forwards-forwards), 1.1*float64(admitted))
	require.LessOrEqual(t, l.peak, slots)
	require.EqualValues(t, 1, l.keeper.Limiter(&l.service.Upstreams[0]).Watches())
	require.Zero(t, l.closed)
}

func TestQueueResolvesEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.Uint32Range(1, 6).Draw(r, "slots")
		l := newLoad(slots, time.Duration(rapid.IntRange(1, 400).Draw(r, "work"))*time.Millisecond)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			for range rapid.IntRange(0, 4).Draw(r, "offers") {
				l.offer(time.Duration(rapid.IntRange(0, 1200).Draw(r, "deadline")) * time.Millisecond)
			}
			l.step()
			require.LessOrEqual(r, l.keeper.Queued(1), 2*int(slots))
		}
		for range 1100 {
			l.step()
		}
		require.Zero(r, l.keeper.Queued(1))
		require.LessOrEqual(r, l.peak, int(slots))
		for token, n := range l.resolved {
			require.Equal(r, 1, n, "request %v", token)
		}
	})
}

func TestNewKeeperHoldsSlots(t *testing.T) {
	l := newLoad(4, 10*time.Millisecond)
	c, err := config.NewSnapshot(1, document(l.service))
	require.NoError(t, err)
	l.keeper.Configure(l.now, c)
	u := c.Upstream(1).Upstream
	g := l.keeper.Limiter(u)
	require.Equal(t, verdict.ReasonCold, g.Refusal(l.now))
	l.now = l.now.Add(time.Second)
	require.Equal(t, verdict.ReasonNone, g.Refusal(l.now))
	// Work that another keeper took in between may be in flight.
	l.keeper.UpdateOwnership(l.now, func(uint32) bool { return false })
	l.keeper.UpdateOwnership(l.now, func(uint32) bool { return true })
	require.Equal(t, verdict.ReasonCold, g.Refusal(l.now.Add(time.Second-1)))
	require.Equal(t, verdict.ReasonNone, g.Refusal(l.now.Add(time.Second)))
}

func document(s config.Service) *config.Document {
	s.Name = "rental-desk"
	s.Address = netip.MustParseAddrPort("127.0.0.1:5683")
	u := &s.Upstreams[0]
	u.Name = "rental-desk-1"
	u.Zone = "a"
	u.Share = 1
	u.Address = netip.MustParseAddrPort("127.0.0.2:5683")
	return &config.Document{
		Keys: []config.Key{{
			ID:     1,
			Secret: make([]byte, config.MinSecretSize),
		}},
		Zones: []config.Zone{{
			Name:   "a",
			Region: "r",
			State:  config.ZoneIn,
		}},
		Services: []config.Service{s},
	}
}
