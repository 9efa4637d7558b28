// Package capacity estimates how much work upstreams handle from the times of their
// answers. Balancers sum the answers that they see with a Learner; a collector joins the
// observations of all balancers with an Estimator. Time is passed in; the package has no
// sockets, goroutines or clock of its own.
package capacity

import (
	"math"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Parameters of a Learner.
const (
	// usualPeriod is the time in which a route's usual time follows its answers.
	usualPeriod = 10 * time.Second
	// minUsualAnswers is the number of answers of a route before the next one is compared
	// with its usual time.
	minUsualAnswers = 5
	// maxUsualStep bounds the logarithm of the ratio with which one answer moves the usual
	// time, so that failures and stalls of a few hosts do not.
	maxUsualStep = 1
	// quickShare is the fraction of the usual time below which an answer counts as quick.
	// A larger one counts answers of hosts twice as fast as others.
	quickShare = 0.5
	// maxQuick bounds the time of quick answers: a round trip of 20 ms at most, 1 ms for an
	// error answer, and a margin for the balancer.
	maxQuick = 25 * time.Millisecond
	// maxQueue bounds the factor by which a queue is expected to lengthen an answer: hosts
	// refuse what exceeds their queue.
	maxQueue = 4
	// maxLogRatio is the logarithm of the largest ratio that one answer may have, and
	// minLogRatio that of the smallest: quick answers are counted, and must not make a
	// host look fast beyond that.
	maxLogRatio = 4 * math.Ln2
	minLogRatio = -math.Ln2
	// forgetAfter is how long upstreams and routes are kept without an answer.
	forgetAfter = time.Minute
)

// An Answer is one answer whose time a balancer has measured.
type Answer struct {
	Ticket  directory.Ticket
	Service string
	// Route is the address that the client has connected to. Only answers of the same route
	// are compared.
	Route netip.AddrPort
	// Time is the interval from the request's start to the client's acknowledgment of the
	// first content. Answers without a positive time are ignored.
	Time time.Duration
	// Working is the number of requests in progress at the host when the request started.
	Working float64
	// Slots is the number of requests that the host serves concurrently. Answers of hosts
	// without slots are ignored.
	Slots int
}

// queue returns the factor by which the answer is expected to be later than without a
// queue. It is at least 1.
func (a *Answer) queue() float64 {
	// The negation holds for NaN, too.
	if !(a.Working > 0) {
		return 1
	}
	return min(max(1, (a.Working+1)/float64(a.Slots)), maxQueue)
}

// An Observation sums the answers of one upstream since the last report, separately for
// little and for much work in progress.
type Observation struct {
	// Light sums the answers that started with at most half of the slots in progress, and
	// Loaded the others.
	Light, Loaded Cell
	// Quick is the number of answers much quicker than any work takes. They are part of
	// Light and Loaded.
	Quick int
}

// A Cell sums answers.
type Cell struct {
	Answers int
	// Ratio is the geometric mean of the time over the usual time of the route, corrected
	// for the queue expected at Answer.Working. It is positive, and zero without answers.
	Ratio float64
}

// sum is a number of answers with the sum of the logarithms of their ratios.
type sum struct {
	answers int
	logs    float64
}

// cell returns the cell of s.
func (s sum) cell() Cell {
	if s.answers == 0 {
		return Cell{}
	}
	return Cell{
		Answers: s.answers,
		Ratio:   math.Exp(s.logs / float64(s.answers)),
	}
}

// usual is the usual answer time of one route.
type usual struct {
	// log is the logarithm of the time in nanoseconds.
	log float64
	// weight is the number of answers that log rests on; older ones count less.
	weight  float64
	answers int
	last    time.Time
}

// add moves the usual time towards an answer's time without queue, in logarithms.
func (u *usual) add(now time.Time, log float64) {
	elapsed := max(0, now.Sub(u.last))
	u.last = now
	u.weight = u.weight*math.Exp(-float64(elapsed)/float64(usualPeriod)) + 1
	u.answers = min(u.answers+1, minUsualAnswers)
	step := log - u.log
	if u.answers == minUsualAnswers {
		step = min(max(step, -maxUsualStep), maxUsualStep)
	}
	u.log += step / u.weight
}

// seen is what a balancer has seen of one upstream since the last report.
type seen struct {
	light, loaded sum
	quick         int
	last          time.Time
}

// A Learner sums the answers that one balancer sees, by upstream, and learns the usual
// time of each route. It is not safe for concurrent use.
type Learner struct {
	routes    map[netip.AddrPort]*usual
	upstreams map[directory.Ticket]*seen
	// sweptAt is when routes and upstreams without answers were last forgotten.
	sweptAt time.Time
}

// NewLearner returns a Learner that has seen no answers.
func NewLearner() *Learner {
	return &Learner{
		routes:    make(map[netip.AddrPort]*usual),
		upstreams: make(map[directory.Ticket]*seen),
	}
}

// Observe adds an answer. The first answers of a route only teach its usual time.
func (l *Learner) Observe(now time.Time, a *Answer) {
	if a.Time <= 0 || a.Slots <= 0 {
		return
	}
	l.sweep(now)
	log := math.Log(float64(a.Time) / a.queue())
	u := l.routes[a.Route]
	if u == nil {
		u = &usual{
			log:  log,
			last: now,
		}
		l.routes[a.Route] = u
	}
	if u.answers >= minUsualAnswers {
		l.count(now, a, log-u.log, a.Time < quickTime(u))
	}
	u.add(now, log)
}

// Take returns what was observed of an upstream since the last call, and starts over.
func (l *Learner) Take(t directory.Ticket) Observation {
	s := l.upstreams[t]
	if s == nil {
		return Observation{}
	}
	o := Observation{
		Light:  s.light.cell(),
		Loaded: s.loaded.cell(),
		Quick:  s.quick,
	}
	*s = seen{last: s.last}
	return o
}

// Usual returns the usual answer time of a route without a queue, with the client's round
// trip; ok is false while too few answers are known.
func (l *Learner) Usual(route netip.AddrPort) (usual time.Duration, ok bool) {
	u := l.routes[route]
	if u == nil || u.answers < minUsualAnswers {
		return 0, false
	}
	return time.Duration(math.Exp(u.log)), true
}

// count adds an answer to its upstream's sums.
func (l *Learner) count(now time.Time, a *Answer, log float64, quick bool) {
	s := l.upstreams[a.Ticket]
	if s == nil {
		s = &seen{}
		l.upstreams[a.Ticket] = s
	}
	s.last = now
	c := &s.light
	if a.Working > float64(a.Slots)/2 {
		c = &s.loaded
	}
	c.answers++
	c.logs += min(max(log, minLogRatio), maxLogRatio)
	if quick {
		s.quick++
	}
}

// sweep forgets routes and upstreams that have had no answers for long.
func (l *Learner) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < forgetAfter/4 {
		return
	}
	l.sweptAt = now
	for route, u := range l.routes {
		if now.Sub(u.last) > forgetAfter {
			delete(l.routes, route)
		}
	}
	for t, s := range l.upstreams {
		if now.Sub(s.last) > forgetAfter {
			delete(l.upstreams, t)
		}
	}
}

// quickTime returns the time below which answers of a route are quick.
func quickTime(u *usual) time.Duration {
	return min(time.Duration(quickShare*math.Exp(u.log)), maxQuick)
}
