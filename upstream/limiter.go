// Package upstream limits how much work an upstream is given.
package upstream

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/verdict"
)

// Parameters of a limiter.
const (
	// AnswersPerIncrease is the number of answers after which a limiter that
	// has reached its limit raises it by one.
	AnswersPerIncrease = 8
	// MaxAnswersPerIncrease bounds that number, which grows with repeated
	// sheds.
	MaxAnswersPerIncrease = 64
	// MaxSentSinceAnswer is the maximum number of requests in flight that were
	// sent since the last answer. An upstream that has restarted unnoticed
	// receives at most this many.
	MaxSentSinceAnswer = 2
	// ShedFreePeriod is the time without a shed after which the next shed is
	// taken as a sign that the upstream has restarted.
	ShedFreePeriod = 10 * time.Second
	// MinShedPause and MaxShedPause bound the pause after a shed.
	MinShedPause = 100 * time.Millisecond
	MaxShedPause = 2 * time.Second

	// holdWatchDivisor divides the connections of an upstream; the quotient,
	// or one if it is zero, is the number of new watches that a limiter admits
	// during a hold, while the watches of an earlier keeper may not have
	// returned yet.
	holdWatchDivisor = 4
)

// A Result is the outcome of a request at an upstream.
type Result uint8

// Results of requests.
const (
	// ResultAnswered is an answer within the deadline.
	ResultAnswered Result = iota
	// ResultShed is a refusal by the upstream itself.
	ResultShed
	// ResultTimeout is a deadline that passed without an answer.
	ResultTimeout
	// ResultCancelled says nothing about the upstream.
	ResultCancelled
)

// A Limiter admits requests and watches to one upstream. It is an adaptive
// concurrency limit: it starts at one request in flight, whatever the number of
// slots, and learns from the outcomes how many the upstream can handle.
type Limiter struct {
	slots       uint32
	connections uint32
	// limit is at least 1 and at most slots.
	limit uint32
	// answersSinceChange counts the answers since the limit last changed.
	answersSinceChange uint32
	// increaseAfter is the number of answers that raise limit,
	// AnswersPerIncrease to MaxAnswersPerIncrease.
	increaseAfter uint32
	// limitReached is set once requests has reached limit since limit last
	// changed.
	limitReached bool

	// requests never exceeds limit when a request is admitted.
	requests uint32
	// sentSinceAnswer counts the requests in flight that were sent after the
	// last answer; it is at most MaxSentSinceAnswer and at most requests.
	sentSinceAnswer uint32
	// watches never exceeds connections when a new watch is admitted.
	watches uint32

	sheds uint64
	// shedsSinceAnswer counts the sheds since the last answer.
	shedsSinceAnswer uint32
	lastShed         time.Time
	// pausedUntil is the end of the pause after a shed.
	pausedUntil time.Time

	slotHold hold
	// watchHold bounds the number of new watches while those of an earlier
	// keeper may not have returned yet; watchesSinceHold counts them since it
	// began.
	watchHold        hold
	watchesSinceHold uint32
	latency          latency
	liveness         liveness
	loadReport       loadReport
	restartSigns     restartSigns
}

// A LimiterOption configures how a limiter starts.
type LimiterOption func(*Limiter)

// WithHold makes a limiter count all slots as taken for the duration slots
// after Start or its first use, and admit few new watches for the duration
// watches.
func WithHold(slots, watches time.Duration) LimiterOption {
	return func(l *Limiter) {
		l.slotHold.startOnUse(slots)
		l.watchHold.startOnUse(watches)
	}
}

// NewLimiter returns the limiter of an upstream whose capacity is unknown: it
// admits one request at first.
func NewLimiter(u *config.Upstream, options ...LimiterOption) *Limiter {
	l := &Limiter{
		limit:         1,
		increaseAfter: AnswersPerIncrease,
		loadReport:    newLoadReport(),
	}
	for _, o := range options {
		o(l)
	}
	l.Configure(u)
	return l
}

// AdmitRequest takes a slot, or returns the reason why it cannot.
func (l *Limiter) AdmitRequest(now time.Time) verdict.Reason {
	if reason := l.Refusal(now); reason != verdict.ReasonNone {
		return reason
	}
	l.requests++
	l.sentSinceAnswer++
	l.loadReport.recordInFlight(l.requests)
	if l.requests >= l.limit {
		l.limitReached = true
	}
	return verdict.ReasonNone
}

// AdmitWatch takes a connection for a new watch, or returns the reason why it
// cannot.
func (l *Limiter) AdmitWatch(now time.Time) verdict.Reason {
	switch {
	case l.liveness.down():
		return verdict.ReasonNoUpstream
	case max(l.watches, l.loadReport.openWatches()) >= l.connections:
		return verdict.ReasonConnections
	case l.watchHold.active(now) && l.watchesSinceHold >= max(1, l.connections/holdWatchDivisor):
		return verdict.ReasonConnections
	}
	l.watches++
	l.watchesSinceHold++
	return verdict.ReasonNone
}

// Configure sets the slots and connections that the configuration allows.
func (l *Limiter) Configure(u *config.Upstream) {
	l.slots = u.Slots
	l.connections = u.Connections
	l.limit = min(l.limit, l.slots)
}

// EndRequest returns a slot. latency is the time since the request was sent.
func (l *Limiter) EndRequest(now time.Time, r Result, latency time.Duration) {
	l.requests--
	switch r {
	case ResultAnswered:
		l.onAnswer(latency)
	case ResultShed:
		l.onShed(now)
	case ResultTimeout:
		l.onTimeout(now, latency)
	case ResultCancelled:
	}
	l.sentSinceAnswer = min(l.sentSinceAnswer, l.requests)
}

// EndWatch returns a connection.
func (l *Limiter) EndWatch(_ time.Time) {
	l.watches--
}

// Hold counts all slots as taken for the duration slots from now, and admits
// few new watches for the duration watches. Holds that end later are kept.
func (l *Limiter) Hold(now time.Time, slots, watches time.Duration) {
	l.slotHold.extend(now, slots)
	l.watchHold.extend(now, watches)
	l.watchesSinceHold = 0
}

// Limit returns the estimated number of requests that the upstream can handle.
func (l *Limiter) Limit() uint32 {
	return l.limit
}

// Load returns the number of requests in flight and how many are admitted at
// now.
func (l *Limiter) Load(now time.Time) (used, limit uint32) {
	if l.slotHold.active(now) || l.liveness.down() || now.Before(l.pausedUntil) {
		return l.requests, 0
	}
	return l.requests, l.effectiveLimit()
}

// ReadmitWatch takes a connection for a watch that the upstream already has
// through another keeper, or returns the reason why it cannot. The former
// keeper may have filled all connections while this one admitted new watches,
// so ReadmitWatch refuses only from twice the connections on.
func (l *Limiter) ReadmitWatch(_ time.Time) verdict.Reason {
	if l.watches >= 2*l.connections {
		return verdict.ReasonConnections
	}
	l.watches++
	return verdict.ReasonNone
}

// Refusal returns the reason why a request would be refused at now, or
// ReasonNone.
func (l *Limiter) Refusal(now time.Time) verdict.Reason {
	switch {
	case l.slotHold.active(now):
		return verdict.ReasonCold
	case l.liveness.down() && !l.liveness.mayRetry(now, l.requests):
		return verdict.ReasonNoUpstream
	case now.Before(l.pausedUntil):
		return verdict.ReasonShed
	case l.requests >= l.effectiveLimit() || l.sentSinceAnswer >= MaxSentSinceAnswer:
		return verdict.ReasonBusy
	}
	return verdict.ReasonNone
}

// Requests returns the number of requests in flight.
func (l *Limiter) Requests() uint32 {
	return l.requests
}

// ResumeAt returns when the pause or hold in force at now ends; ok is false if
// there is none.
func (l *Limiter) ResumeAt(now time.Time) (at time.Time, ok bool) {
	at = l.pausedUntil
	if l.slotHold.active(now) && l.slotHold.until.After(at) {
		at = l.slotHold.until
	}
	return at, at.After(now)
}

// Sheds returns the number of requests that the upstream has shed so far.
func (l *Limiter) Sheds() uint64 {
	return l.sheds
}

// Start starts the holds of a limiter that has not been used before.
func (l *Limiter) Start(now time.Time) {
	l.slotHold.start(now)
	l.watchHold.start(now)
}

// Watches returns the number of open watches.
func (l *Limiter) Watches() uint32 {
	return l.watches
}

// effectiveLimit returns the limit less the slots that others are estimated to
// use; it is at least one.
func (l *Limiter) effectiveLimit() uint32 {
	othersRequests := l.loadReport.othersRequests()
	if othersRequests >= l.limit {
		return 1
	}
	return l.limit - othersRequests
}

func (l *Limiter) onAnswer(sample time.Duration) {
	l.sentSinceAnswer = 0
	l.shedsSinceAnswer = 0
	l.liveness.onAnswer()
	l.restartSigns.resets = 0
	l.latency.add(sample)
	l.loadReport.compareAnswer(!l.latency.elevated())
	l.answersSinceChange++
	switch {
	case l.answersSinceChange%AnswersPerIncrease == 0 && l.latency.elevated():
		l.limit = max(1, l.limit-1)
		l.resetIncrease()
	case l.answersSinceChange >= l.increaseAfter && l.limitReached && l.limit < l.slots:
		l.limit++
		l.increaseAfter = max(AnswersPerIncrease, l.increaseAfter/2)
		l.resetIncrease()
	}
}

// resetIncrease restarts the count of answers towards the next change of the
// limit.
func (l *Limiter) resetIncrease() {
	l.answersSinceChange = 0
	l.limitReached = l.requests >= l.limit
}

// onShed halves the limit. After a period without sheds it resets the limit to
// one, because the upstream now refuses what it could handle before.
func (l *Limiter) onShed(now time.Time) {
	suspectRestart := l.lastShed.IsZero() || now.Sub(l.lastShed) > ShedFreePeriod
	l.sheds++
	l.shedsSinceAnswer++
	l.lastShed = now
	l.increaseAfter = min(MaxAnswersPerIncrease, 2*l.increaseAfter)
	l.limit = max(1, l.limit/2)
	if suspectRestart {
		l.limit = 1
	}
	l.resetIncrease()
	l.pausedUntil = now.Add(l.shedPause())
}

// shedPause returns the pause after a shed. It doubles with each shed since the
// last answer and spans at least two typical answer times, so that the upstream
// sees the sheds as separate events.
func (l *Limiter) shedPause() time.Duration {
	pause := max(MinShedPause, 2*l.latency.typical())
	for range min(l.shedsSinceAnswer, 8) - 1 {
		pause *= 2
	}
	return min(pause, MaxShedPause)
}

// onTimeout halves the limit if the upstream had enough time to answer.
func (l *Limiter) onTimeout(now time.Time, waited time.Duration) {
	if waited < l.latency.lossTimeout() {
		return
	}
	l.liveness.requestLost(now)
	l.limit = max(1, l.limit/2)
	l.resetIncrease()
}
