package capacity

import (
	"math"
	"time"
)

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
