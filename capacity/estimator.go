package capacity

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// Parameters of an Estimator.
const (
	// referenceRank is the rank, among the answers of a service ordered by their hosts'
	// ratios, of the host that others are compared with. It is a little less than a median,
	// so that the faster half is the reference where the other half is slow.
	referenceRank = 0.4
	// changeRank is the rank by which a change of the whole service is seen. A third of the
	// hosts that turn slow at once does not move it.
	changeRank = 0.6
	// changeErrors is the spread of answers while a service changes, as a multiple of the
	// change: answers of one host that were all before or after it count as usual.
	changeErrors = 1.2
	// slowErrors is the number of standard errors up to which a deviation counts for
	// nothing. Equal hosts were found slow 4 times in 1000 minutes of upstreams with 3.4.
	slowErrors = 3.7
	// fastErrors is the number of standard errors by which a slow host may be slower than
	// its recent answers. It is small, since a slow host gets few answers to recover by.
	fastErrors = 1
	// minRecentAnswers is the number of answers of a window that may show a recovery.
	minRecentAnswers = 5
	// minKnownAnswers is the number of answers of an estimate.
	minKnownAnswers = 6
	// priorSpread is the standard deviation of the logarithm of one answer's ratio while
	// few hosts tell it, and priorHosts the number of hosts that it counts for.
	priorSpread = 0.5
	priorHosts  = 2
	// minSpread bounds it where the hosts of a service agree by chance.
	minSpread = 0.3
	// spreadScale is the standard deviation of a normal distribution over the distance of
	// the quartiles of its part below referenceRank.
	spreadScale = 1.3
	// burst is the standard deviation of the logarithm of a host's mean over 1 s that queues
	// add where all answers of a service are loaded: Answer.Working is up to 500 ms old, so
	// it misses bursts of requests.
	burst = 0.3
	// quickErrors is like fastErrors, for shares of quick answers.
	quickErrors = 2
	// shareEvidence is the evidence for a share of quick answers, in natural units, up to
	// which it counts for nothing.
	shareEvidence = 12
	// quickRank is like referenceRank, of the shares of quick answers: where half of the
	// hosts are twice as fast as the others, they have more of them.
	quickRank = 0.6
	// minQuickShare bounds the share from which the error of a share is derived.
	minQuickShare = 0.05
	// maxFailing bounds the share of answers that are taken for failures among the others.
	maxFailing = 0.8
	// minCapacity is the least share of the slots that a host's capacity is.
	minCapacity = 1.0 / 16
	// kneeShare is the share of the slots that light answers start with.
	kneeShare = 0.5
	// keepEstimate is how long an estimate holds without answers, and keepKnee how long the
	// ratio of loaded answers does: a host that gets less work has none of them.
	keepEstimate = 30 * time.Second
	keepKnee     = time.Minute
	// lateAfter is how long observations may be about the start before: answers wait up to
	// 1 s at a balancer.
	lateAfter = 1250 * time.Millisecond
)

// An Estimate is how much work one upstream handles.
type Estimate struct {
	// Capacity is in slots' worth of work. It is between a 16th of the slots and all of
	// them, and all of them while Known is false.
	Capacity float64
	// Known reports whether the upstream has answered enough, as it is now, to tell.
	Known bool
	// Answers is the number of answers that Capacity rests on, 16 s at most.
	Answers int
	// Age is the time since the newest observation.
	Age time.Duration
	// Changed is Capacity over that of the previous estimate, at an earlier time; 1 for the
	// first one.
	Changed float64
}

// An identity tells a start of a host and what it runs.
type identity struct {
	id, release string
	startedAt   time.Time
}

// An Estimator joins the observations of all balancers to an estimate of each upstream. A
// host is compared with the other hosts of its service over the same periods. It is not
// safe for concurrent use.
type Estimator struct {
	records map[directory.Ticket]*record
	sweptAt time.Time
	// tallies, values and stats are reused.
	tallies []tally
	values  []mean
	stats   [][len(windows)]stats
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{records: make(map[directory.Ticket]*record)}
}

// Add adds what a balancer has observed of an upstream since its last report. Values out
// of range are bounded.
func (e *Estimator) Add(now time.Time, sender uint64, t directory.Ticket, o Observation) {
	e.sweep(now)
	n := newEntry(now, sender, &o)
	if n.answers() == 0 {
		return
	}
	r := e.record(now, t)
	if now.Before(r.deafUntil) {
		return
	}
	r.add(n)
}

// Estimate returns the estimate of each host, in the order of hosts. Hosts are compared
// with those of the same service among hosts. Hosts that are cold, whose ticket is another
// host's, too, or of which too little is known, are unknown.
func (e *Estimator) Estimate(now time.Time, hosts []*directory.Upstream) []Estimate {
	estimates := make([]Estimate, len(hosts))
	e.identify(now, hosts)
	services := make(map[string][]int)
	for i, u := range hosts {
		services[u.Service] = append(services[u.Service], i)
	}
	e.stats = append(e.stats[:0], make([][len(windows)]stats, len(hosts))...)
	for _, members := range services {
		refs := e.references(now, hosts, members)
		for _, i := range members {
			estimates[i] = e.estimate(now, hosts[i], e.stats[i][:], &refs)
		}
	}
	return estimates
}

// identify discards what was learned of hosts that are cold or have started anew.
func (e *Estimator) identify(now time.Time, hosts []*directory.Upstream) {
	owners := make(map[directory.Ticket]string, len(hosts))
	for _, u := range hosts {
		t := u.Ticket()
		r := e.record(now, t)
		is := identity{
			id:        u.ID,
			release:   u.Release,
			startedAt: u.StartedAt,
		}
		owner, taken := owners[t]
		owners[t] = u.ID
		switch {
		case r.identity == identity{}:
			r.identity = is
		case r.identity != is, taken && owner != u.ID:
			*r = record{
				entries:   r.entries[:0],
				identity:  is,
				deafUntil: now.Add(lateAfter),
				usedAt:    now,
			}
		}
		if u.Cold(now) {
			r.entries = r.entries[:0]
			r.state = state{}
			r.deafUntil = now.Add(lateAfter)
		}
	}
}

// estimate updates what is known of a host and returns its estimate.
func (e *Estimator) estimate(now time.Time, u *directory.Upstream, s []stats, refs *[len(windows)]reference) Estimate {
	r := e.record(now, u.Ticket())
	if !u.Cold(now) {
		r.learn(now, s, refs)
	}
	if r.state.known && now.Sub(r.state.at) > keepEstimate {
		r.state = state{}
	}
	est := Estimate{
		Capacity: float64(u.Slots),
		Known:    r.state.known,
		Answers:  r.state.answers,
	}
	if est.Known {
		est.Capacity *= r.state.share(now)
		est.Age = now.Sub(r.state.at)
	}
	if !now.Equal(r.estimatedAt) {
		r.before = r.estimate.Capacity
		r.estimatedAt = now
	}
	est.Changed = 1
	if r.before > 0 && est.Capacity > 0 {
		est.Changed = est.Capacity / r.before
	}
	r.estimate = est
	return est
}

// record returns the record of an upstream.
func (e *Estimator) record(now time.Time, t directory.Ticket) *record {
	r := e.records[t]
	if r == nil {
		r = &record{}
		e.records[t] = r
	}
	r.usedAt = now
	return r
}

// sweep forgets upstreams that have been neither reported nor estimated for long.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.sweptAt) < forgetAfter/4 {
		return
	}
	e.sweptAt = now
	for t, r := range e.records {
		if now.Sub(r.usedAt) > forgetAfter {
			delete(e.records, t)
		}
	}
}
