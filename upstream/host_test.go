package upstream_test

import (
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// A host models an upstream that handles one request at a time when cold. The
// number grows by one each time that it has completed as many requests as
// warming says. It crashes when requests in flight
// and recent sheds exceed twice its current limit.
type host struct {
	slots, limit, inFlight, warming, completed int
	sheds                                      []time.Time
	window                                     time.Duration
	downUntil                                  time.Time
	generation                                 uint32
	overloads, maxInFlight                     int
}

func (h *host) admit(now time.Time) (admitted, shed bool) {
	if now.Before(h.downUntil) {
		return false, false
	}
	for len(h.sheds) > 0 && now.Sub(h.sheds[0]) > h.window {
		h.sheds = h.sheds[1:]
	}
	if h.inFlight < h.limit {
		h.inFlight++
		h.maxInFlight = max(h.maxInFlight, h.inFlight)
		return true, false
	}
	h.sheds = append(h.sheds, now)
	if h.inFlight+len(h.sheds) > 2*h.limit {
		h.overloads++
		h.downUntil = now.Add(2 * time.Second)
		h.restart()
		return false, false
	}
	return false, true
}

func (h *host) complete() {
	h.inFlight--
	h.completed++
	if h.completed%h.warming == 0 && h.limit < h.slots {
		h.limit++
	}
}

func (h *host) goCold() {
	h.limit, h.completed, h.sheds = 1, 0, nil
}

func (h *host) restart() {
	h.goCold()
	h.inFlight = 0
	h.generation++
}

// A pendingRequest is one request of a simulation; if it ends without an
// answer, it timed out.
type pendingRequest struct {
	sent, ends time.Time
	answered   bool
	generation uint32
}

// A limiter is the policy under test: an upstream.Limiter or one that it is
// compared with.
type limiter interface {
	AdmitRequest(now time.Time) verdict.Reason
	EndRequest(now time.Time, r upstream.Result, latency time.Duration)
	Limit() uint32
}

// A simulation drives a limiter and a host on a simulated clock, in steps of
// one millisecond.
type simulation struct {
	limiter                   limiter
	host                      *host
	rand                      *rand.Rand
	now                       time.Time
	work, deadline            time.Duration
	pending                   []pendingRequest
	offered, done, shed, lost int
	maxPending                int
}

func newSimulation(seed uint64, slots int, work time.Duration) *simulation {
	return &simulation{
		limiter: upstream.NewLimiter(&config.Upstream{
			ID:          1,
			Slots:       uint32(slots),
			Connections: 10,
		}),
		host: &host{
			slots:   slots,
			limit:   1,
			warming: 8,
			window:  work,
		},
		rand:     rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(0, 0),
		work:     work,
		deadline: max(time.Second, 10*work),
	}
}

// run offers requests for a duration at a rate per second. A request that the
// limiter does not admit is dropped.
func (s *simulation) run(d time.Duration, rate float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.endDue()
		for p := rate / 1000; p > 0; p-- {
			if s.rand.Float64() < p {
				s.offer()
			}
		}
	}
}

func (s *simulation) offer() {
	s.offered++
	if s.limiter.AdmitRequest(s.now) != verdict.ReasonNone {
		return
	}
	admitted, shed := s.host.admit(s.now)
	if shed {
		s.shed++
		s.limiter.EndRequest(s.now, upstream.ResultShed, 0)
		return
	}
	f := pendingRequest{
		sent:       s.now,
		ends:       s.now.Add(s.deadline),
		answered:   admitted,
		generation: s.host.generation,
	}
	if admitted {
		f.ends = s.now.Add(min(s.deadline/2, time.Duration((0.5+s.rand.ExpFloat64()/2)*float64(s.work))))
	}
	s.pending = append(s.pending, f)
	s.maxPending = max(s.maxPending, len(s.pending))
}

// endDue ends the pending requests that are due; those of an earlier generation
// are never answered.
func (s *simulation) endDue() {
	kept := s.pending[:0]
	for _, f := range s.pending {
		lost := f.answered && f.generation != s.host.generation
		if lost {
			f.answered = false
			f.ends = f.sent.Add(s.deadline)
		}
		switch {
		case s.now.Before(f.ends):
			kept = append(kept, f)
		case f.answered:
			s.done++
			s.host.complete()
			s.limiter.EndRequest(s.now, upstream.ResultAnswered, s.now.Sub(f.sent))
		default:
			s.lost++
			s.limiter.EndRequest(s.now, upstream.ResultTimeout, s.now.Sub(f.sent))
		}
	}
	s.pending = kept
}
