package upstream_test

import (
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// A host models an upstream that bears one request when cold and one more with
// each warming completions; it falls over at more than twice what it bears.
type host struct {
	slots, limit, flying, warming, completed int
	sheds                                    []time.Time
	window                                   time.Duration
	fallen                                   time.Time
	generation                               uint32
	overloads, maxFlying                     int
}

func (h *host) admit(now time.Time) (admitted, shed bool) {
	if now.Before(h.fallen) {
		return false, false
	}
	for len(h.sheds) > 0 && now.Sub(h.sheds[0]) > h.window {
		h.sheds = h.sheds[1:]
	}
	if h.flying < h.limit {
		h.flying++
		h.maxFlying = max(h.maxFlying, h.flying)
		return true, false
	}
	h.sheds = append(h.sheds, now)
	if h.flying+len(h.sheds) > 2*h.limit {
		h.overloads++
		h.fallen = now.Add(2 * time.Second)
		h.restart()
		return false, false
	}
	return false, true
}

func (h *host) complete() {
	h.flying--
	h.completed++
	if h.completed%h.warming == 0 && h.limit < h.slots {
		h.limit++
	}
}

func (h *host) cool() {
	h.limit, h.completed, h.sheds = 1, 0, nil
}

func (h *host) restart() {
	h.cool()
	h.flying = 0
	h.generation++
}

// A flight is one request of a trial; an end without an answer is a timeout.
type flight struct {
	sent, ends time.Time
	answered   bool
	generation uint32
}

// A limiter is what a trial drives: a gate or another policy.
type limiter interface {
	AdmitRequest(now time.Time) verdict.Reason
	EndRequest(now time.Time, r upstream.Result, latency time.Duration)
	Limit() uint32
}

// A trial drives a gate and a host on a clock of its own, one millisecond a
// step.
type trial struct {
	gate                      limiter
	host                      *host
	rand                      *rand.Rand
	now                       time.Time
	work, deadline            time.Duration
	flights                   []flight
	offered, done, shed, lost int
	maxFlights                int
}

func newTrial(seed uint64, slots int, work time.Duration) *trial {
	return &trial{
		gate: upstream.NewLimiter(&config.Upstream{
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

// run offers requests for a time at a rate per second, each refused at once
// where the gate has no room.
func (t *trial) run(d time.Duration, rate float64) {
	for end := t.now.Add(d); t.now.Before(end); t.now = t.now.Add(time.Millisecond) {
		t.settle()
		for p := rate / 1000; p > 0; p-- {
			if t.rand.Float64() < p {
				t.offer()
			}
		}
	}
}

func (t *trial) offer() {
	t.offered++
	if t.gate.AdmitRequest(t.now) != verdict.ReasonNone {
		return
	}
	admitted, shed := t.host.admit(t.now)
	if shed {
		t.shed++
		t.gate.EndRequest(t.now, upstream.ResultShed, 0)
		return
	}
	f := flight{
		sent:       t.now,
		ends:       t.now.Add(t.deadline),
		answered:   admitted,
		generation: t.host.generation,
	}
	if admitted {
		f.ends = t.now.Add(min(t.deadline/2, time.Duration((0.5+t.rand.ExpFloat64()/2)*float64(t.work))))
	}
	t.flights = append(t.flights, f)
	t.maxFlights = max(t.maxFlights, len(t.flights))
}

// settle ends the flights that are due; those of an earlier generation are
// never answered.
func (t *trial) settle() {
	kept := t.flights[:0]
	for _, f := range t.flights {
		lost := f.answered && f.generation != t.host.generation
		if lost {
			f.answered = false
			f.ends = f.sent.Add(t.deadline)
		}
		switch {
		case t.now.Before(f.ends):
			kept = append(kept, f)
		case f.answered:
			t.done++
			t.host.complete()
			t.gate.EndRequest(t.now, upstream.ResultAnswered, t.now.Sub(f.sent))
		default:
			t.lost++
			t.gate.EndRequest(t.now, upstream.ResultTimeout, t.now.Sub(f.sent))
		}
	}
	t.flights = kept
}
