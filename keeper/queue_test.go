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

// A simulation is a keeper of one upstream that answers each request after a
// fixed work time, on a simulated clock. It is also the keeper's transport.
type simulation struct {
	keeper                  *keeper.Keeper
	timers                  *timer.Queue
	service                 config.Service
	now                     time.Time
	work                    time.Duration
	sequence                uint64
	inFlight                []inFlightRequest
	forwards, answers, peak int
	// closed counts the watches closed at the upstream.
	closed   int
	refused  map[verdict.Reason]int
	resolved map[packet.Token]int
}

type inFlightRequest struct {
	token packet.Token
	ends  time.Time
}

func newSimulation(slots uint32, work time.Duration) *simulation {
	s := &simulation{
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
	s.keeper = keeper.New(s.now, 1, keeper.Limits{
		Exchanges:     1000,
		LedgerEntries: 1000,
	}, s.timers, s, s, s)
	return s
}

func (s *simulation) Cancel(c *keeper.Cancel) {
	if c.Kind == packet.KindWatchOpen {
		s.closed++
	}
	for i, r := range s.inFlight {
		if r.token == c.Token {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

func (s *simulation) Deliver(d *keeper.Delivery, _ []byte) {
	s.answers++
	s.resolved[d.Token]++
}

func (s *simulation) Forward(f *keeper.Forward, _ []byte) {
	s.forwards++
	s.inFlight = append(s.inFlight, inFlightRequest{
		token: f.Token,
		ends:  s.now.Add(s.work),
	})
	s.peak = max(s.peak, len(s.inFlight))
}

func (s *simulation) Refuse(h *packet.Header, r *keeper.Refusal) {
	s.refused[r.Reason]++
	s.resolved[h.Token]++
}

func (s *simulation) Retry(time.Time, *keeper.Retry) bool { return false }

func (s *simulation) RecordSuccess(time.Time, uint32) {}

func (s *simulation) Seal([]byte, ticket.Ticket, netip.Addr) {}

// offer sends a new request with a deadline of d.
func (s *simulation) offer(d time.Duration) {
	s.sequence++
	var token [8]byte
	binary.BigEndian.PutUint64(token[:], s.sequence)
	h := &packet.Header{
		Service:   1,
		Caller:    netip.MustParseAddrPort("127.0.0.1:1"),
		Kind:      packet.KindIdempotent,
		Token:     packet.TokenOf(token[:]),
		MessageID: uint16(s.sequence),
		Deadline:  d,
	}
	reason := s.keeper.Request(s.now, &keeper.Request{
		Header:   h,
		Service:  &s.service,
		Upstream: &s.service.Upstreams[0],
		Datagram: token[:],
	})
	if reason != verdict.ReasonNone {
		s.refused[reason]++
		s.resolved[h.Token]++
	}
}

// step advances the clock by a millisecond.
func (s *simulation) step() {
	s.now = s.now.Add(time.Millisecond)
	for i := 0; i < len(s.inFlight); {
		r := s.inFlight[i]
		if s.now.Before(r.ends) {
			i++
			continue
		}
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
		s.keeper.HandleUpstreamMessage(s.now, 1, &keeper.UpstreamMessage{
			Token:        r.token,
			Acknowledged: true,
		}, nil)
	}
	s.timers.Advance(s.now)
}

func TestOverloadKeepsCapacity(t *testing.T) {
	const slots, work, seconds = 4, 20 * time.Millisecond, 10
	s := newSimulation(slots, work)
	watch := &packet.Header{
		Service: 1,
		Caller:  netip.MustParseAddrPort("127.0.0.1:2"),
		Kind:    packet.KindWatchOpen,
		Token:   packet.TokenOf([]byte{1}),
	}
	require.Equal(t, verdict.ReasonNone, s.keeper.Request(s.now, &keeper.Request{
		Header:   watch,
		Service:  &s.service,
		Upstream: &s.service.Upstreams[0],
	}))
	s.inFlight, s.peak = nil, 0
	rate := 3 * slots * int(time.Second/work)
	run := func(d time.Duration) {
		due := 0
		for ms := 1; ms <= int(d.Milliseconds()); ms++ {
			for ; due < rate*ms/1000; due++ {
				s.offer(0)
			}
			s.step()
		}
	}
	run(2 * time.Second)
	answers, forwards, admitted := s.answers, s.forwards, s.sequence-uint64(s.refused[verdict.ReasonBusy])
	run(seconds * time.Second)
	capacity := float64(seconds*slots) * float64(time.Second/work)
	admitted = s.sequence - uint64(s.refused[verdict.ReasonBusy]) - admitted
	t.Logf("answered %.3f of capacity, %d forwards for %d admitted, %d in flight at most",
		float64(s.answers-answers)/capacity, s.forwards-forwards, admitted, s.peak)
	require.GreaterOrEqual(t, float64(s.answers-answers), 0.9*capacity)
	require.LessOrEqual(t, float64(s.forwards-forwards), 1.1*float64(admitted))
	require.LessOrEqual(t, s.peak, slots)
	require.EqualValues(t, 1, s.keeper.Limiter(&s.service.Upstreams[0]).Watches())
	require.Zero(t, s.closed)
}

func TestQueueResolvesEveryRequestOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.Uint32Range(1, 6).Draw(r, "slots")
		s := newSimulation(slots, time.Duration(rapid.IntRange(1, 400).Draw(r, "work"))*time.Millisecond)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			for range rapid.IntRange(0, 4).Draw(r, "offers") {
				s.offer(time.Duration(rapid.IntRange(0, 1200).Draw(r, "deadline")) * time.Millisecond)
			}
			s.step()
			require.LessOrEqual(r, s.keeper.Queued(1), 2*int(slots))
		}
		for range 1100 {
			s.step()
		}
		require.Zero(r, s.keeper.Queued(1))
		require.LessOrEqual(r, s.peak, int(slots))
		for token, n := range s.resolved {
			require.Equal(r, 1, n, "request %v", token)
		}
	})
}

func TestNewKeeperHoldsSlots(t *testing.T) {
	s := newSimulation(4, 10*time.Millisecond)
	c, err := config.NewSnapshot(1, document(s.service))
	require.NoError(t, err)
	s.keeper.Configure(s.now, c)
	u := c.Upstream(1).Upstream
	limiter := s.keeper.Limiter(u)
	require.Equal(t, verdict.ReasonCold, limiter.Refusal(s.now))
	s.now = s.now.Add(time.Second)
	require.Equal(t, verdict.ReasonNone, limiter.Refusal(s.now))
	// Requests that another keeper admitted meanwhile may still be in flight.
	s.keeper.UpdateOwnership(s.now, func(uint32) bool { return false })
	s.keeper.UpdateOwnership(s.now, func(uint32) bool { return true })
	require.Equal(t, verdict.ReasonCold, limiter.Refusal(s.now.Add(time.Second-1)))
	require.Equal(t, verdict.ReasonNone, limiter.Refusal(s.now.Add(time.Second)))
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
