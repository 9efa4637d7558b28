// Package upstream decides how much work an upstream may be given.
package upstream

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/verdict"
)

// Limits of a gate's pace.
const (
	// AnswersPerIncrease is the number of answers after which a gate that is used up
	// to its limit admits one request more.
	AnswersPerIncrease = 8
	// MaxAnswersPerIncrease bounds the number after repeated sheds.
	MaxAnswersPerIncrease = 64
	// MaxSentSinceAnswer is the greatest number of requests sent since the last answer.
	// An upstream that has restarted without a sign sees at most this many.
	MaxSentSinceAnswer = 2
	// ShedFreePeriod is the time without a shed after which a shed is taken for the sign
	// of a restart.
	ShedFreePeriod = 10 * time.Second
	// MinShedPause and MaxShedPause bound the pause after a shed.
	MinShedPause = 100 * time.Millisecond
	MaxShedPause = 2 * time.Second

	// heldConnections is the divisor of the connections that a new keeper gives
	// to new watches while an earlier keeper's may not have come back.
	heldConnections = 4
)

// A Result is how a request at an upstream ended.
type Result uint8

// Results of requests.
const (
	// ResultAnswered is an answer in time.
	ResultAnswered Result = iota
	// ResultShed is a refusal by the upstream itself.
	ResultShed
	// ResultTimeout is a deadline without an answer.
	ResultTimeout
	// ResultCancelled says nothing of the upstream.
	ResultCancelled
)

// A Limiter admits requests and watches to one upstream. It starts with one
// request in flight, whatever the slots, and learns from outcomes how many the
// upstream bears.
type Limiter struct {
	slots       uint32
	connections uint32
	// limit is 1 to slots.
	limit uint32
	// answers counts those since the limit last changed.
	answers uint32
	// growth is the number of answers that raise limit, AnswersPerIncrease to
	// MaxAnswersPerIncrease.
	growth uint32
	// peaked tells that requests reached limit since limit last changed.
	peaked bool

	// requests never exceeds limit at an admission.
	requests uint32
	// unproven counts the requests in flight that were sent after the last
	// answer; it is at most MaxSentSinceAnswer and at most requests.
	unproven uint32
	// watches never exceeds connections at an admission of a new watch.
	watches uint32

	sheds uint64
	// shedRun counts sheds since the last answer.
	shedRun  uint32
	lastShed time.Time
	// pausedUntil is the end of the pause after a shed.
	pausedUntil time.Time

	hold hold
	// watchHold bounds the new watches while those of an earlier keeper may not
	// have come back yet; opened counts them since it began.
	watchHold hold
	opened    uint32
	latency   latency
	life      life
	report    report
	restart   restart
}

// A LimiterOption changes how a gate starts.
type LimiterOption func(*Limiter)

// WithHold makes a gate count all slots as taken for a time after Start or its
// first use, and admit few new watches for another.
func WithHold(slots, watches time.Duration) LimiterOption {
	return func(g *Limiter) {
		g.hold.arm(slots)
		g.watchHold.arm(watches)
	}
}

// NewLimiter returns the gate of an upstream of which nothing is known: it admits
// one request at first.
func NewLimiter(u *config.Upstream, options ...LimiterOption) *Limiter {
	g := &Limiter{
		limit:  1,
		growth: AnswersPerIncrease,
		report: newReport(),
	}
	for _, o := range options {
		o(g)
	}
	g.Configure(u)
	return g
}

// AdmitRequest takes a slot, or returns why it doesn't.
func (g *Limiter) AdmitRequest(now time.Time) verdict.Reason {
	if reason := g.Refusal(now); reason != verdict.ReasonNone {
		return reason
	}
	g.requests++
	g.unproven++
	g.report.sent(g.requests)
	if g.requests >= g.limit {
		g.peaked = true
	}
	return verdict.ReasonNone
}

// AdmitWatch takes a connection for a new watch, or returns why it doesn't.
func (g *Limiter) AdmitWatch(now time.Time) verdict.Reason {
	switch {
	case g.life.down():
		return verdict.ReasonNoUpstream
	case max(g.watches, g.report.watches()) >= g.connections:
		return verdict.ReasonConnections
	case g.watchHold.active(now) && g.opened >= max(1, g.connections/heldConnections):
		return verdict.ReasonConnections
	}
	g.watches++
	g.opened++
	return verdict.ReasonNone
}

// Configure sets the limits that operators give.
func (g *Limiter) Configure(u *config.Upstream) {
	g.slots = u.Slots
	g.connections = u.Connections
	g.limit = min(g.limit, g.slots)
}

// EndRequest gives back a slot. latency is the time from sending to the answer.
func (g *Limiter) EndRequest(now time.Time, r Result, latency time.Duration) {
	g.requests--
	switch r {
	case ResultAnswered:
		g.answered(latency)
	case ResultShed:
		g.shed(now)
	case ResultTimeout:
		g.timedOut(now, latency)
	case ResultCancelled:
	}
	g.unproven = min(g.unproven, g.requests)
}

// EndWatch gives back a connection.
func (g *Limiter) EndWatch(_ time.Time) {
	g.watches--
}

// Hold counts all slots as taken for a time from now on, and admits few new
// watches for another; longer holds stay.
func (g *Limiter) Hold(now time.Time, slots, watches time.Duration) {
	g.hold.extend(now, slots)
	g.watchHold.extend(now, watches)
	g.opened = 0
}

// Limit returns how many requests the upstream is believed to bear.
func (g *Limiter) Limit() uint32 {
	return g.limit
}

// Load returns the requests in flight and how many are admitted at now.
func (g *Limiter) Load(now time.Time) (used, limit uint32) {
	if g.hold.active(now) || g.life.down() || now.Before(g.pausedUntil) {
		return g.requests, 0
	}
	return g.requests, g.allowance()
}

// ReadmitWatch takes a connection for a watch that the upstream holds already,
// through another keeper, or returns why it doesn't. As the former keeper may
// have filled all connections while this one admitted new watches, it refuses
// from twice the connections on.
func (g *Limiter) ReadmitWatch(_ time.Time) verdict.Reason {
	if g.watches >= 2*g.connections {
		return verdict.ReasonConnections
	}
	g.watches++
	return verdict.ReasonNone
}

// Refusal returns why a request would not be admitted, or ReasonNone.
func (g *Limiter) Refusal(now time.Time) verdict.Reason {
	switch {
	case g.hold.active(now):
		return verdict.ReasonCold
	case g.life.down() && !g.life.retry(now, g.requests):
		return verdict.ReasonNoUpstream
	case now.Before(g.pausedUntil):
		return verdict.ReasonShed
	case g.requests >= g.allowance() || g.unproven >= MaxSentSinceAnswer:
		return verdict.ReasonBusy
	}
	return verdict.ReasonNone
}

// Requests returns the number of requests in flight.
func (g *Limiter) Requests() uint32 {
	return g.requests
}

// ResumeAt returns when a pause or hold ends that is in force at now; ok is
// false where there is none.
func (g *Limiter) ResumeAt(now time.Time) (at time.Time, ok bool) {
	at = g.pausedUntil
	if g.hold.active(now) && g.hold.until.After(at) {
		at = g.hold.until
	}
	return at, at.After(now)
}

// Sheds returns how many requests the upstream refused so far.
func (g *Limiter) Sheds() uint64 {
	return g.sheds
}

// Start begins the holds of a gate that was not used before.
func (g *Limiter) Start(now time.Time) {
	g.hold.begin(now)
	g.watchHold.begin(now)
}

// Watches returns the number of open watches.
func (g *Limiter) Watches() uint32 {
	return g.watches
}

// allowance returns the limit less the slots that others are believed to use;
// it is at least one.
func (g *Limiter) allowance() uint32 {
	foreign := g.report.foreign()
	if foreign >= g.limit {
		return 1
	}
	return g.limit - foreign
}

func (g *Limiter) answered(sample time.Duration) {
	g.unproven = 0
	g.shedRun = 0
	g.life.answered()
	g.restart.resets = 0
	g.latency.add(sample)
	g.report.outcome(!g.latency.risen())
	g.answers++
	switch {
	case g.answers%AnswersPerIncrease == 0 && g.latency.risen():
		g.limit = max(1, g.limit-1)
		g.changed()
	case g.answers >= g.growth && g.peaked && g.limit < g.slots:
		g.limit++
		g.growth = max(AnswersPerIncrease, g.growth/2)
		g.changed()
	}
}

// changed starts the count towards the next change of the limit.
func (g *Limiter) changed() {
	g.answers = 0
	g.peaked = g.requests >= g.limit
}

// shed halves the limit, or starts anew where the upstream was calm: it refuses
// what it has borne so far.
func (g *Limiter) shed(now time.Time) {
	calm := g.lastShed.IsZero() || now.Sub(g.lastShed) > ShedFreePeriod
	g.sheds++
	g.shedRun++
	g.lastShed = now
	g.growth = min(MaxAnswersPerIncrease, 2*g.growth)
	g.limit = max(1, g.limit/2)
	if calm {
		g.limit = 1
	}
	g.changed()
	g.pausedUntil = now.Add(g.shedPause())
}

// shedPause doubles with each shed since the last answer; it spans at least two
// usual answers, so that the upstream sees the sheds apart.
func (g *Limiter) shedPause() time.Duration {
	pause := max(MinShedPause, 2*g.latency.usual())
	for range min(g.shedRun, 8) - 1 {
		pause *= 2
	}
	return min(pause, MaxShedPause)
}

// timedOut halves the limit where the upstream had the time for an answer.
func (g *Limiter) timedOut(now time.Time, waited time.Duration) {
	if waited < g.latency.patience() {
		return
	}
	g.life.lose(now)
	g.limit = max(1, g.limit/2)
	g.changed()
}
