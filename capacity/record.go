package capacity

import (
	"math"
	"slices"
	"time"
)

// Parameters of the history of an upstream.
const (
	// history is how long observations count.
	history = 16 * time.Second
	// maxEntries bounds the observations kept of one upstream: 11 s of a host that answers
	// 45 requests a second to as many balancers.
	maxEntries = 512
	// maxAnswers bounds the answers of one observation, so that sums stay exact.
	maxAnswers = 10000
	// minSenders is the number of balancers that must have reported on a service before the
	// most adverse report on each host is left out.
	minSenders = 3
)

// windows are the periods over which answers are averaged, from the shortest. Those below
// a second are close together, so that one of them begins soon after a host has changed.
var windows = [...]time.Duration{
	history / 64,
	history / 32,
	history * 3 / 64,
	history / 16,
	history * 3 / 32,
	history / 8,
	history / 4,
	history / 2,
	history,
}

// recent is the index of the window in which light answers show how much a host handles.
const recent = 6

// Kinds of answers. Answers of kind both are compared each with those of its own cell.
const (
	light = iota
	loaded
	both
	numKinds
)

// An entry is one balancer's observation.
type entry struct {
	at     time.Time
	sender uint64
	cells  [both]sum
	quick  int
}

// newEntry returns the entry of an observation. Values that no Learner gives are bounded.
func newEntry(now time.Time, sender uint64, o *Observation) entry {
	e := entry{
		at:     now,
		sender: sender,
		cells:  [both]sum{light: cellSum(o.Light), loaded: cellSum(o.Loaded)},
	}
	e.quick = min(max(o.Quick, 0), e.answers())
	return e
}

func (e *entry) answers() int {
	return e.cells[light].answers + e.cells[loaded].answers
}

// cellSum returns the bounded sum of a cell.
func cellSum(c Cell) sum {
	// The negation holds for NaN, too.
	if c.Answers <= 0 || !(c.Ratio > 0) {
		return sum{}
	}
	n := min(c.Answers, maxAnswers)
	return sum{
		answers: n,
		logs:    float64(n) * min(max(math.Log(c.Ratio), minLogRatio), maxLogRatio),
	}
}

// A tally sums the entries of one balancer in a window.
type tally struct {
	sender uint64
	cells  [both]sum
	quick  int
}

// value returns the mean of a kind of answers over the references.
func (t *tally) value(kind int, refs *[both]float64) mean {
	if kind != both {
		c := t.cells[kind]
		return mean{
			answers: float64(c.answers),
			value:   c.logs/float64(c.answers) - refs[kind],
		}
	}
	l, h := t.cells[light], t.cells[loaded]
	n := float64(l.answers + h.answers)
	return mean{
		answers: n,
		value:   (l.logs - float64(l.answers)*refs[light] + h.logs - float64(h.answers)*refs[loaded]) / n,
	}
}

// A mean is the mean of a number of values.
type mean struct {
	answers, value float64
}

// A record is what an Estimator knows of one upstream.
type record struct {
	// entries are the observations in the order in which they came.
	entries []entry
	// identity tells the upstream's start; what was learned of another start is discarded.
	identity identity
	// deafUntil is when observations count again that may be about a former start.
	deafUntil time.Time
	// usedAt is when the record was last added to or estimated.
	usedAt time.Time

	// state is the last estimate, and previous the one before it.
	state    state
	estimate Estimate
	// estimatedAt is when estimate was made, and before is the capacity of the estimate
	// before, or zero.
	estimatedAt time.Time
	before      float64
}

// add appends an entry and drops the oldest ones.
func (r *record) add(e entry) {
	drop := 0
	for drop < len(r.entries) && (e.at.Sub(r.entries[drop].at) > history || len(r.entries)-drop >= maxEntries) {
		drop++
	}
	r.entries = append(r.entries[:0], r.entries[drop:]...)
	r.entries = append(r.entries, e)
}

// visit calls f with the tallies by balancer of each window, from the shortest. The
// tallies are in scratch, which is returned for reuse.
func (r *record) visit(now time.Time, scratch []tally, f func(window int, tallies []tally)) []tally {
	tallies := scratch[:0]
	next := len(r.entries) - 1
	for w, length := range windows {
		for ; next >= 0 && now.Sub(r.entries[next].at) <= length; next-- {
			tallies = addTally(tallies, &r.entries[next])
		}
		f(w, tallies)
	}
	return tallies
}

// addSenders adds the balancers in the history to those found, up to minSenders.
func (r *record) addSenders(now time.Time, found []uint64) []uint64 {
	for i := len(r.entries) - 1; i >= 0 && now.Sub(r.entries[i].at) <= history && len(found) < minSenders; i-- {
		if !slices.Contains(found, r.entries[i].sender) {
			found = append(found, r.entries[i].sender)
		}
	}
	return found
}

// addTally adds an entry to the tally of its sender.
func addTally(tallies []tally, e *entry) []tally {
	i := 0
	for i < len(tallies) && tallies[i].sender != e.sender {
		i++
	}
	if i == len(tallies) {
		tallies = append(tallies, tally{sender: e.sender})
	}
	t := &tallies[i]
	for k, c := range e.cells {
		t.cells[k].answers += c.answers
		t.cells[k].logs += c.logs
	}
	t.quick += e.quick
	return tallies
}

// measure returns the stats of one window, in which scratch is reused. If trim is set, the
// balancer that raises a mean most is left out, and if low is set, the one that lowers it
// most, too.
func measure(tallies []tally, refs *[both]float64, trim, low bool, scratch []mean) (s stats, _ []mean) {
	var answers [both]int
	quick := 0
	for i := range tallies {
		answers[light] += tallies[i].cells[light].answers
		answers[loaded] += tallies[i].cells[loaded].answers
		quick += tallies[i].quick
	}
	for kind := range numKinds {
		switch {
		case kind != both && answers[kind] == 0:
			continue
		case kind == both && answers[loaded] == 0:
			s.kinds[both] = s.kinds[light]
			continue
		}
		scratch = scratch[:0]
		for i := range tallies {
			if m := tallies[i].value(kind, refs); m.answers > 0 {
				scratch = append(scratch, m)
			}
		}
		s.kinds[kind] = trimmedMean(scratch, trim, low)
	}
	if quick == 0 {
		s.quick.answers = s.kinds[both].answers
		return s, scratch
	}
	scratch = scratch[:0]
	for i := range tallies {
		n := float64(tallies[i].cells[light].answers + tallies[i].cells[loaded].answers)
		scratch = append(scratch, mean{
			answers: n,
			value:   float64(tallies[i].quick) / n,
		})
	}
	s.quick = trimmedMean(scratch, trim, low)
	return s, scratch
}

// trimmedMean returns the mean of values, each from one balancer. If trim is set, no
// balancer counts for more answers than all others together, and the one that raises the
// mean most is left out; if low is set, the one that lowers it most, too.
func trimmedMean(values []mean, trim, low bool) mean {
	var total, largest float64
	for _, v := range values {
		total += v.answers
		largest = max(largest, v.answers)
	}
	limit := largest
	if trim {
		limit = max(1, min(largest, total-largest))
	}
	var answers, sum float64
	for _, v := range values {
		n := min(v.answers, limit)
		answers += n
		sum += n * v.value
	}
	if answers == 0 {
		return mean{}
	}
	if trim {
		answers, sum = trimmed(values, limit, answers, sum, low)
	}
	if answers < 0.5 {
		return mean{}
	}
	return mean{
		answers: answers,
		value:   sum / answers,
	}
}

// trimmed returns the answers and the sum of values without the extreme ones.
func trimmed(values []mean, limit, answers, sum float64, low bool) (float64, float64) {
	center := sum / answers
	var high, lowest mean
	most, least := math.Inf(-1), math.Inf(1)
	for _, v := range values {
		n := min(v.answers, limit)
		d := n * (v.value - center)
		if d > most {
			most, high = d, mean{answers: n, value: v.value}
		}
		if d < least {
			least, lowest = d, mean{answers: n, value: v.value}
		}
	}
	answers -= high.answers
	sum -= high.answers * high.value
	if low {
		answers -= lowest.answers
		sum -= lowest.answers * lowest.value
	}
	return answers, sum
}
