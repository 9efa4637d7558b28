package capacity

import (
	"cmp"
	"math"
	"slices"
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

// state is what was learned of an upstream.
type state struct {
	known bool
	// slow is the logarithm of the ratio of its answer times to the usual, and failing the
	// share of requests that fail at once.
	slow, failing float64
	// loaded is like slow, of loaded answers at loadedAt, when they were last slow while
	// light ones were not.
	loaded   float64
	loadedAt time.Time
	// trimmed reports whether the most adverse reports were left out.
	trimmed bool
	// knee is the least capacity, as a share of the slots, that light answers show.
	knee    float64
	answers int
	at      time.Time
}

// share returns the capacity as a share of the slots.
func (s *state) share(now time.Time) float64 {
	share := math.Exp(-s.slow)
	if s.loaded > 0 && now.Sub(s.loadedAt) < keepKnee {
		share = min(share, max(math.Exp(-s.loaded), s.knee))
	}
	share = max(share, s.knee) * (1 - s.failing)
	return min(max(share, minCapacity), 1)
}

// stats are the means of one upstream in one window.
type stats struct {
	kinds [numKinds]mean
	quick mean
}

// A reference is what the hosts of a service have in common in one window.
type reference struct {
	logs [both]float64
	// changing is like logs, at changeRank.
	changing [both]float64
	// spread is the standard deviation of one answer.
	spread [numKinds]float64
	// variance is that of the reference itself, and of bursts of requests.
	variance [numKinds]float64
	// quick is the share of quick answers, and loaded that of loaded ones.
	quick, loaded float64
	// trimmed reports whether the most adverse reports were left out.
	trimmed bool
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

// references computes the stats of the members of one service and returns the reference of
// each window.
func (e *Estimator) references(now time.Time, hosts []*directory.Upstream, members []int) [len(windows)]reference {
	var refs [len(windows)]reference
	// The reference is trimmed on both sides; the hosts' own means only at the top, since
	// the least mean without one balancer is what all others agree on.
	found := make([]uint64, 0, minSenders)
	for _, i := range members {
		found = e.record(now, hosts[i].Ticket()).addSenders(now, found)
	}
	trim := len(found) == minSenders
	for _, i := range members {
		e.measure(now, hosts[i], e.stats[i][:], &refs, trim, true)
	}
	for w := range refs {
		refs[w] = e.reference(w, members)
	}
	for _, i := range members {
		e.measure(now, hosts[i], e.stats[i][:], &refs, trim, false)
	}
	for w := range refs {
		change := serviceChange(&refs, w)
		for kind := range numKinds {
			e.spread(&refs[w], w, kind, members)
			refs[w].spread[kind] = math.Hypot(refs[w].spread[kind], changeErrors*change)
		}
		refs[w].trimmed = trim
	}
	return refs
}

// measure computes the stats of one host in all windows.
func (e *Estimator) measure(now time.Time, u *directory.Upstream, s []stats, refs *[len(windows)]reference, trim, low bool) {
	r := e.record(now, u.Ticket())
	e.tallies = r.visit(now, e.tallies, func(w int, tallies []tally) {
		s[w], e.values = measure(tallies, &refs[w].logs, trim, low, e.values)
	})
}

// reference returns the reference of a window from the stats of the members.
func (e *Estimator) reference(w int, members []int) reference {
	var ref reference
	// A host with few answers of a kind counts as much as others, since slow hosts have the
	// most loaded answers.
	var hosts [both]int
	for kind := range both {
		e.values = e.values[:0]
		for _, i := range members {
			if m := e.stats[i][w].kinds[kind]; m.answers > 0 {
				m.answers = e.stats[i][w].kinds[both].answers
				e.values = append(e.values, m)
			}
		}
		hosts[kind] = len(e.values)
		ref.logs[kind] = quantile(e.values, referenceRank)
		ref.changing[kind] = quantile(e.values, changeRank)
	}
	switch {
	case 2*hosts[loaded] < hosts[light]:
		ref.logs[loaded], ref.changing[loaded] = ref.logs[light], ref.changing[light]
	case 2*hosts[light] < hosts[loaded]:
		ref.logs[light], ref.changing[light] = ref.logs[loaded], ref.changing[loaded]
	}
	e.values = e.values[:0]
	for _, i := range members {
		if m := e.stats[i][w].quick; m.answers > 0 {
			e.values = append(e.values, m)
		}
	}
	ref.quick = quantile(e.values, quickRank)
	// The long window tells how busy the service is; the quantile leaves out slow hosts.
	e.values = e.values[:0]
	for _, i := range members {
		kinds := e.stats[i][len(windows)-1].kinds
		if n := kinds[light].answers + kinds[loaded].answers; n > 0 {
			e.values = append(e.values, mean{
				answers: 1,
				value:   kinds[loaded].answers / n,
			})
		}
	}
	ref.loaded = quantile(e.values, 0.5)
	return ref
}

// spread sets the spread of a kind of answers: that of the hosts which are faster than the
// reference, since the others may be slow.
func (e *Estimator) spread(ref *reference, w, kind int, members []int) {
	e.values = e.values[:0]
	total := 0.0
	for _, i := range members {
		m := e.stats[i][w].kinds[kind]
		total += m.answers
		if m.answers > 0 && m.value <= 0 {
			e.values = append(e.values, mean{
				answers: 1,
				value:   m.value * math.Sqrt(m.answers),
			})
		}
	}
	n := float64(len(e.values))
	s := spreadScale * (quantile(e.values, 0.75) - quantile(e.values, 0.25))
	variance := (priorHosts*priorSpread*priorSpread + n*s*s) / (priorHosts + n)
	ref.spread[kind] = max(minSpread, math.Sqrt(variance))
	if total > 0 {
		// The variance of a median is pi/2 times that of a mean.
		ref.variance[kind] = math.Pi/2*variance/total + ref.loaded*burst*burst/windows[w].Seconds()
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

// learn updates the state from the means of all windows, if they rest on enough answers.
func (r *record) learn(now time.Time, s []stats, refs *[len(windows)]reference) {
	if refs[0].trimmed && !r.state.trimmed {
		// One balancer alone may have made the estimate.
		r.state = state{trimmed: true}
	}
	all := s[len(s)-1].kinds
	if all[both].answers < minKnownAnswers {
		return
	}
	r.state.known = true
	r.state.answers = int(all[both].answers)
	r.state.at = r.entries[len(r.entries)-1].at
	r.state.failing = failing(s, refs)
	withoutFailures(s, refs, r.state.failing)
	r.state.slow = slowness(s, refs[:], both)
	r.learnKnee(now, s, refs)
}

// learnKnee updates what is known of loaded answers.
func (r *record) learnKnee(now time.Time, s []stats, refs *[len(windows)]reference) {
	r.state.knee = 0
	if m := s[recent].kinds[light]; m.answers >= minKnownAnswers {
		slow := max(0, m.value+standardError(m, &refs[recent], light))
		r.state.knee = kneeShare * math.Exp(-slow)
	}
	// Bursts of requests would make shorter windows find knees.
	slow := slowness(s[recent-1:], refs[recent-1:], loaded)
	lightSlow := 0.0
	for w := range s {
		if m := s[w].kinds[light]; m.answers > 0 {
			lightSlow = max(lightSlow, least(m.value, slowErrors*standardError(m, &refs[w], light)))
		}
	}
	switch {
	case lightSlow > max(slow, r.state.loaded)/2:
		// The host was slow at all loads, so this says nothing about a knee.
		r.state.loaded = 0
	case s[recent].kinds[loaded].answers >= minKnownAnswers:
		r.state.loaded, r.state.loadedAt = slow, now
	}
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

// failing returns the share of a host's requests that fail at once, beyond that of its
// service.
func failing(s []stats, refs *[len(windows)]reference) float64 {
	share := 0.0
	for w := len(s) - 1; w >= 0; w-- {
		m, usual := s[w].quick, min(refs[w].quick, 0.9)
		if m.answers == 0 {
			continue
		}
		if m.value > usual {
			share = max(share, least(m.value-usual, m.value-leastShare(m))/(1-usual))
		}
		if m.answers >= minRecentAnswers {
			p := max(m.value, minQuickShare)
			share = min(share, max(0, m.value+quickErrors*math.Sqrt(p*(1-p)/m.answers)-usual)/(1-usual))
		}
	}
	return min(share, 1)
}

// leastShare returns the least share that a mean of zeros and ones shows: the one at which
// so high a mean has the probability exp(-shareEvidence), by Chernoff's bound. A normal
// distribution would find chance in few answers of short work too rare.
func leastShare(m mean) float64 {
	low, high := 0.0, m.value
	for range 12 {
		p := (low + high) / 2
		divergence := m.value * math.Log(m.value/p)
		if m.value < 1 {
			divergence += (1 - m.value) * math.Log((1-m.value)/(1-p))
		}
		if m.answers*divergence > shareEvidence {
			low = p
		} else {
			high = p
		}
	}
	return low
}

// least returns how much of a value counts: nothing up to the noise, and all of it from
// twice the noise on.
func least(value, noise float64) float64 {
	return min(value, max(0, 2*(value-noise)))
}

// quantile returns the value of a rank between 0 and 1, weighted by answers; zero if there
// are no values. It sorts values.
func quantile(values []mean, rank float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b mean) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, v := range values {
		total += v.answers
	}
	below := 0.0
	for _, v := range values {
		below += v.answers
		if below >= rank*total {
			return v.value
		}
	}
	return values[len(values)-1].value
}

// serviceChange returns how far the answers of a service in one window are from those in
// the windows around it. While a whole service changes, hosts differ by how many of their recent answers
// were before the change.
func serviceChange(refs *[len(windows)]reference, w int) float64 {
	change := 0.0
	for _, ref := range refs[max(w-3, 1):min(w+4, len(refs))] {
		for kind := range both {
			if ref.changing[kind] != 0 && refs[w].changing[kind] != 0 {
				change = max(change, math.Abs(ref.changing[kind]-refs[w].changing[kind]))
			}
		}
	}
	return change
}

// slowness returns the logarithm of the ratio of a host's answer times to the usual. Each
// window moves the estimate of the longer ones into the range that its own mean allows.
func slowness(s []stats, refs []reference, kind int) float64 {
	slow := 0.0
	for w := len(s) - 1; w >= 0; w-- {
		m := s[w].kinds[kind]
		if m.answers == 0 {
			continue
		}
		err := standardError(m, &refs[w], kind)
		slow = max(slow, least(m.value, slowErrors*err))
		if m.answers >= minRecentAnswers {
			slow = min(slow, max(0, m.value+fastErrors*err))
		}
	}
	return slow
}

// standardError returns the standard error of a host's mean.
func standardError(m mean, ref *reference, kind int) float64 {
	return math.Sqrt(ref.spread[kind]*ref.spread[kind]/m.answers + ref.variance[kind])
}

// withoutFailures takes the answers that failed at once out of the means, of which they
// are the share failing: a host that is slow and refuses requests must not look usual.
func withoutFailures(s []stats, refs *[len(windows)]reference, failing float64) {
	failing = min(failing, maxFailing)
	for w := range s {
		for kind := range s[w].kinds {
			m := &s[w].kinds[kind]
			if m.answers == 0 {
				continue
			}
			quick := minLogRatio - refs[w].logs[min(kind, loaded)]
			m.value = (m.value - failing*min(quick, 0)) / (1 - failing)
			m.answers *= 1 - failing
		}
	}
}
