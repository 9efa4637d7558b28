package capacity

import (
	"math"
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
	// minSenders is the number of balancers that must have reported on an upstream before
	// the most adverse report is left out.
	minSenders = 3
)

// windows are the periods over which answers are averaged, from the shortest: each holds
// twice as many answers as the one before.
var windows = [...]time.Duration{
	history / 32,
	history / 16,
	history / 8,
	history / 4,
	history / 2,
	history,
}

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
		logs:    float64(n) * min(max(math.Log(c.Ratio), -maxLogRatio), maxLogRatio),
	}
}

// A tally sums the entries of one balancer in a window.
type tally struct {
	sender uint64
	cells  [both]sum
	quick  int
}

// value returns the answers of a kind and the sum of their logarithms over the references.
func (t *tally) value(kind int, refs *[both]float64) (answers, logs float64) {
	for k, c := range t.cells {
		if kind == k || kind == both {
			answers += float64(c.answers)
			logs += c.logs - float64(c.answers)*refs[k]
		}
	}
	return answers, logs
}

// quickValue returns the number of answers and that of quick ones.
func (t *tally) quickValue() (answers, quick float64) {
	return float64(t.cells[light].answers + t.cells[loaded].answers), float64(t.quick)
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

// senders returns the number of balancers in the history, up to minSenders.
func (r *record) senders(now time.Time) int {
	var found [minSenders]uint64
	n := 0
search:
	for i := len(r.entries) - 1; i >= 0 && now.Sub(r.entries[i].at) <= history; i-- {
		for _, s := range found[:n] {
			if s == r.entries[i].sender {
				continue search
			}
		}
		found[n] = r.entries[i].sender
		if n++; n == minSenders {
			break
		}
	}
	return n
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

// trimmedMean returns the mean over the tallies without that of the balancer that raises
// it most and, if low is set, without that which lowers it most. No balancer counts for
// more answers than all others together.
func trimmedMean(tallies []tally, low bool, value func(t *tally) (answers, sum float64)) mean {
	var total, largest float64
	for i := range tallies {
		n, _ := value(&tallies[i])
		total += n
		largest = max(largest, n)
	}
	limit := max(1, min(largest, total-largest))
	// The first pass finds the mean, the second the extremes around it.
	m, _, _ := boundedMean(tallies, limit, 0, value)
	_, high, lowest := boundedMean(tallies, limit, m.value, value)
	n, s := m.answers-high.answers, m.answers*m.value-high.answers*high.value
	if low {
		n, s = n-lowest.answers, s-lowest.answers*lowest.value
	}
	if n < 0.5 {
		return mean{}
	}
	return mean{
		answers: n,
		value:   s / n,
	}
}

// boundedMean returns the mean over the tallies, each of which counts for limit answers
// at most, and the tallies that differ most from center.
func boundedMean(tallies []tally, limit, center float64, value func(t *tally) (answers, sum float64)) (m, high, low mean) {
	sum, highest, lowest := 0.0, math.Inf(-1), math.Inf(1)
	for i := range tallies {
		n, s := value(&tallies[i])
		if n == 0 {
			continue
		}
		t := mean{
			answers: min(n, limit),
			value:   s / n,
		}
		m.answers += t.answers
		sum += t.answers * t.value
		d := t.answers * (t.value - center)
		if d > highest {
			high, highest = t, d
		}
		if d < lowest {
			low, lowest = t, d
		}
	}
	if m.answers > 0 {
		m.value = sum / m.answers
	}
	return m, high, low
}

// plainMean returns the mean over all tallies.
func plainMean(tallies []tally, value func(t *tally) (answers, sum float64)) mean {
	m, _, _ := boundedMean(tallies, math.Inf(1), 0, value)
	return m
}
