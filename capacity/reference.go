package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

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
