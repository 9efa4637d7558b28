package selection_test

import (
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/selection"
)

// The load that the tests replay: flows of 2.4 requests on average, which last about 1 s.
// The balancers share a digest of the state 250 ms ago, which each keeps for 250 ms.
const (
	balancers      = 27
	hostCount      = 40
	slots          = 2
	step           = 5 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	digestDelay    = 250 * time.Millisecond
	meanWork       = 50 * time.Millisecond
	meanRequests   = 2.4
	meanDuration   = time.Second
)

// A policy chooses the host of a flow that one balancer places.
type policy func(f *fleet, balancer int, hash uint64) int

// A fleet is a model of balancers that place flows on hosts by a digest that they share.
type fleet struct {
	random   *rand.Rand
	speeds   []float64 // capacity of each host relative to the usual one
	rate     float64   // flows a second
	now      time.Duration
	hosts    []host
	events   map[time.Duration][]event
	history  [][]float64 // loads at the starts of digest intervals
	digest   []float64   // loads of the newest digest
	placed   [][]float64 // by balancer and host: flows that the digest does not show
	previous [][]float64 // those of the interval before
	table    selection.Table
	interval []float64 // flows placed in the interval, by host
	rush     float64   // most flows placed on a host in an interval, relative to its capacity's share
	sampled  bool      // whether to measure herd
	herd     float64   // the highest probability that a table gave to a host, likewise
	work     []float64 // slots' worth of placed work in seconds, by host
	flows    []float64 // placed flows, by host
	waited   time.Duration
	requests int
}

// A host serves requests in order of arrival.
type host struct {
	free    [slots]time.Duration // when each slot is free
	flows   int
	working int
}

// An event is a change of a host's load.
type event struct {
	host    int
	flows   int
	working int
	work    time.Duration // of a request that starts, in time of a usual host
}

func newFleet(seed uint64, level float64, speeds []float64) *fleet {
	f := &fleet{
		random:   rand.New(rand.NewPCG(seed, 1)),
		speeds:   speeds,
		hosts:    make([]host, len(speeds)),
		events:   make(map[time.Duration][]event),
		digest:   make([]float64, len(speeds)),
		placed:   make([][]float64, balancers),
		previous: make([][]float64, balancers),
		interval: make([]float64, len(speeds)),
		work:     make([]float64, len(speeds)),
		flows:    make([]float64, len(speeds)),
	}
	capacity := 0.0
	for _, s := range speeds {
		capacity += s * slots
	}
	f.rate = level * capacity / (meanRequests * meanWork.Seconds())
	for b := range balancers {
		f.placed[b] = make([]float64, len(speeds))
		f.previous[b] = make([]float64, len(speeds))
	}
	return f
}

// run replays the load for a time, and counts placed work after a warm-up.
func (f *fleet) run(choose policy, warmUp, length time.Duration) {
	end := f.now + warmUp + length
	counted := f.now + warmUp
	for f.now < end {
		if f.now%digestInterval == 0 {
			f.exchange(f.now > counted)
		}
		for _, e := range f.events[f.now] {
			f.apply(e)
		}
		delete(f.events, f.now)
		for range f.poisson(f.rate * step.Seconds()) {
			b := f.random.IntN(balancers)
			i := choose(f, b, f.random.Uint64())
			f.place(b, i, f.now >= counted)
		}
		f.now += step
	}
}

// exchange starts the interval of a new digest.
func (f *fleet) exchange(counted bool) {
	placed, capacity := 0.0, 0.0
	for i, n := range f.interval {
		placed += n
		capacity += f.speeds[i]
	}
	for i, n := range f.interval {
		if counted {
			f.rush = max(f.rush, n/(placed*f.speeds[i]/capacity))
		}
	}
	clear(f.interval)
	loads := make([]float64, len(f.hosts))
	for i, h := range f.hosts {
		loads[i] = loadOf(h)
	}
	f.history = append(f.history, loads)
	f.digest = f.history[max(0, len(f.history)-1-int(digestDelay/digestInterval))]
	hosts := make([]selection.Host, len(f.hosts))
	for i := range hosts {
		hosts[i] = selection.Host{
			Load:     f.digest[i],
			Capacity: f.speeds[i] * slots,
		}
	}
	// Until a later digest shows it, the flows of this interval and of the delay arrive, and
	// a part of the load that the digest shows ends. A host's room is then its part of the
	// arrivals plus that of the ends.
	unseen := (digestInterval + digestDelay).Seconds()
	f.table.Reset(hosts, f.rate*unseen/(1-unseen/meanDuration.Seconds()))
	if counted && f.sampled {
		f.herd = max(f.herd, f.concentration())
	}
	for b := range f.placed {
		f.placed[b], f.previous[b] = f.previous[b], f.placed[b]
		clear(f.placed[b])
	}
}

// concentration returns the highest probability with which the table gives a flow to a
// host, relative to its share of the capacity.
func (f *fleet) concentration() float64 {
	const samples = 8000
	drawn := make([]float64, len(f.hosts))
	for range samples {
		drawn[f.table.Pick(f.random.Uint64(), nil, func(i int) float64 { return f.digest[i] })]++
	}
	capacity, high := 0.0, 0.0
	for _, s := range f.speeds {
		capacity += s
	}
	for i, n := range drawn {
		high = max(high, n/(samples*f.speeds[i]/capacity))
	}
	return high
}

// loadOf returns the load of a host: open flows and requests in progress.
func loadOf(h host) float64 {
	return float64(h.flows + h.working)
}

// known returns the load of a host as a balancer knows it: that of the digest and the flows
// that it has placed itself since then.
func (f *fleet) known(balancer, i int) float64 {
	return f.digest[i] + f.placed[balancer][i] + f.previous[balancer][i]
}

func (f *fleet) place(balancer, i int, counted bool) {
	f.placed[balancer][i]++
	f.interval[i]++
	requests := 2
	if f.random.Float64() < meanRequests-2 {
		requests = 3
	}
	duration := 800*time.Millisecond + time.Duration(f.random.Int64N(int64(400*time.Millisecond)))
	if counted {
		f.flows[i]++
	}
	f.apply(event{
		host:  i,
		flows: 1,
	})
	f.schedule(duration, event{
		host:  i,
		flows: -1,
	})
	for r := range requests {
		work := 40*time.Millisecond + time.Duration(f.random.Int64N(int64(20*time.Millisecond)))
		if counted {
			f.work[i] += work.Seconds()
		}
		e := event{
			host: i,
			work: work,
		}
		if r == 0 {
			f.apply(e)
		} else {
			f.schedule(duration*time.Duration(r)/time.Duration(requests), e)
		}
	}
}

func (f *fleet) schedule(after time.Duration, e event) {
	at := (f.now + after).Truncate(step)
	if at <= f.now {
		at = f.now + step
	}
	f.events[at] = append(f.events[at], e)
}

func (f *fleet) apply(e event) {
	h := &f.hosts[e.host]
	h.flows += e.flows
	h.working += e.working
	if e.work == 0 {
		return
	}
	first := 0
	for s := range h.free {
		if h.free[s] < h.free[first] {
			first = s
		}
	}
	start := max(f.now, h.free[first])
	f.waited += start - f.now
	f.requests++
	h.free[first] = start + time.Duration(float64(e.work)/f.speeds[e.host])
	h.working++
	f.schedule(h.free[first]-f.now, event{
		host:    e.host,
		working: -1,
	})
}

// poisson draws from a Poisson distribution with a small mean.
func (f *fleet) poisson(mean float64) int {
	n := 0
	for sum := f.random.ExpFloat64(); sum < mean; sum += f.random.ExpFloat64() {
		n++
	}
	return n
}

// byTable places flows by the weights of package selection.
func byTable(f *fleet, balancer int, hash uint64) int {
	return f.table.Pick(hash, nil, func(i int) float64 { return f.known(balancer, i) })
}

// byLeastLoad places flows on the host with the least load per capacity of all.
func byLeastLoad(f *fleet, balancer int, _ uint64) int {
	best := 0
	for i := range f.hosts {
		if f.known(balancer, i)/f.speeds[i] < f.known(balancer, best)/f.speeds[best] {
			best = i
		}
	}
	return best
}

// byTwoChoices places flows on the one of two random hosts with less load per capacity.
func byTwoChoices(f *fleet, balancer int, _ uint64) int {
	i, j := f.random.IntN(len(f.hosts)), f.random.IntN(len(f.hosts))
	if f.known(balancer, j)/f.speeds[j] < f.known(balancer, i)/f.speeds[i] {
		return j
	}
	return i
}

// byRandom places flows on any host.
func byRandom(f *fleet, _ int, _ uint64) int {
	return f.random.IntN(len(f.hosts))
}

// imbalance returns the load of the busiest host by capacity, relative to the mean.
func imbalance(work, speeds []float64) float64 {
	sum, capacity, high := 0.0, 0.0, 0.0
	for i, w := range work {
		sum += w
		capacity += speeds[i]
		high = max(high, w/speeds[i])
	}
	return high / (sum / capacity)
}
