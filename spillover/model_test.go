package spillover_test

import (
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/spillover"
)

// The load of the model: flows of 2.4 requests on average, the next 300 to 500 ms after the
// answer to the one before. Hosts queue 4 requests a slot and refuse the rest; clients ask
// again twice and give up after 1.4 s.
const (
	slots          = 80 // of a zone
	queueLimit     = 4 * slots
	step           = 5 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	ageLimit       = 2 * time.Second
	meanWork       = 50 * time.Millisecond
	meanRequests   = 2.4
	goal           = 300 * time.Millisecond
	timeout        = 1400 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
	retries        = 2
	zoneDelay      = 5 * time.Millisecond // one way
)

// A decision returns what a zone gives to others.
type decision func(own spillover.Zone, others []spillover.Zone) (give float64, weights []float64)

// A model is a closed system of zones that serve flows and give some of them to others.
type model struct {
	random  *rand.Rand
	decide  decision
	demand  func(zone int, now time.Duration) float64  // arriving work per capacity
	lag     time.Duration                              // of digests of other zones
	ownLag  time.Duration                              // of digests of the own zone
	loss    float64                                    // probability that a digest is lost
	cut     func(from, to int, now time.Duration) bool // whether a digest can't pass
	now     time.Duration
	zones   []zone
	events  map[time.Duration][]func()
	counted time.Duration // start of the count of results
	observe func()        // called for each digest
}

// A zone serves requests in order of arrival.
type zone struct {
	capacity int // slots; 0 if taken out
	busy     int
	queue    []*request
	sum      float64 // working, summed over the steps of the interval
	digests  []float64
	seen     []time.Duration // by other zone: when its newest digest here was made, or -1
	give     float64
	weights  []float64 // by zone
	good     int       // requests from here that were answered in time
	all      int
	given    int // flows from here that went to other zones
	flows    int
}

// A request is one try of a request of a flow.
type request struct {
	flow  *flow
	start time.Duration // of the first try
	tries int
	done  bool
}

// A flow is a client's flow and the zone that serves it.
type flow struct {
	from, at int
	left     int // requests
}

func newModel(seed uint64, zones int, lag time.Duration) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)),
		decide: spillover.Share,
		lag:    lag,
		ownLag: min(lag, 250*time.Millisecond),
		loss:   0.05,
		cut:    func(int, int, time.Duration) bool { return false },
		zones:  make([]zone, zones),
		events: make(map[time.Duration][]func()),
	}
	for i := range m.zones {
		z := &m.zones[i]
		z.capacity = slots
		z.weights = make([]float64, zones)
		z.seen = make([]time.Duration, zones)
		for j := range z.seen {
			z.seen[j] = -1
		}
	}
	return m
}

func (m *model) run(until time.Duration) {
	for ; m.now < until; m.now += step {
		if m.now%digestInterval == 0 && m.now > 0 {
			m.exchange()
		}
		events := m.events[m.now]
		delete(m.events, m.now)
		for _, e := range events {
			e()
		}
		for i := range m.zones {
			z := &m.zones[i]
			z.sum += float64(z.busy + len(z.queue))
			rate := m.demand(i, m.now) * slots / (meanRequests * meanWork.Seconds())
			for sum := m.random.ExpFloat64(); sum < rate*step.Seconds(); sum += m.random.ExpFloat64() {
				m.open(i)
			}
		}
	}
}

// exchange makes the digests of an interval, and the decisions that follow from those that
// have arrived.
func (m *model) exchange() {
	for i := range m.zones {
		z := &m.zones[i]
		z.digests = append(z.digests, z.sum/float64(digestInterval/step))
		z.sum = 0
		for j := range m.zones {
			at := m.now - m.lag
			if j != i && at > 0 && m.random.Float64() >= m.loss && !m.cut(j, i, m.now) {
				z.seen[j] = at
			}
		}
	}
	for i := range m.zones {
		m.share(i)
	}
	if m.observe != nil {
		m.observe()
	}
}

func (m *model) share(i int) {
	z := &m.zones[i]
	others := make([]spillover.Zone, 0, len(m.zones))
	for j := range m.zones {
		if j != i {
			others = append(others, m.known(j, z.seen[j]))
		}
	}
	give, weights := m.decide(m.known(i, m.now-m.ownLag), others)
	z.give = give
	clear(z.weights)
	for j, w := range weights {
		if j >= i {
			j++
		}
		z.weights[j] = w
	}
}

// known returns the load of a zone by the digest made at a time.
func (m *model) known(i int, at time.Duration) spillover.Zone {
	z := &m.zones[i]
	n := int(at/digestInterval) - 1
	if at <= 0 || n < 0 || m.now-at > ageLimit {
		return spillover.Zone{}
	}
	return spillover.Zone{
		Working:  z.digests[n],
		Capacity: float64(z.capacity),
		Known:    true,
	}
}

// open starts a flow of a client of a zone.
func (m *model) open(from int) {
	z := &m.zones[from]
	f := &flow{
		from: from,
		at:   from,
		left: 2,
	}
	if m.random.Float64() < meanRequests-2 {
		f.left = 3
	}
	if m.random.Float64() < z.give {
		r := m.random.Float64()
		for j, w := range z.weights {
			if r < w {
				f.at = j
				break
			}
			r -= w
		}
	}
	if m.now >= m.counted {
		z.flows++
		if f.at != from {
			z.given++
		}
	}
	m.start(f)
}

// start sends the next request of a flow.
func (m *model) start(f *flow) {
	f.left--
	r := &request{
		flow:  f,
		start: m.now,
	}
	m.after(timeout, func() { m.finish(r, false) })
	m.try(r)
}

func (m *model) try(r *request) {
	if r.flow.at != r.flow.from {
		m.after(zoneDelay, func() { m.arrive(r) })
		return
	}
	m.arrive(r)
}

func (m *model) arrive(r *request) {
	z := &m.zones[r.flow.at]
	switch {
	case z.busy < z.capacity:
		m.serve(r)
	case len(z.queue) < queueLimit:
		z.queue = append(z.queue, r)
	case r.tries < retries:
		r.tries++
		m.after(retryDelay, func() {
			if !r.done {
				m.try(r)
			}
		})
	default:
		m.finish(r, false)
	}
}

func (m *model) serve(r *request) {
	z := &m.zones[r.flow.at]
	z.busy++
	work := 40*time.Millisecond + time.Duration(m.random.Int64N(int64(20*time.Millisecond)))
	m.after(work, func() {
		z.busy--
		if len(z.queue) > 0 {
			next := z.queue[0]
			z.queue = z.queue[1:]
			m.serve(next)
		}
		m.finish(r, m.now-r.start <= goal)
	})
}

// finish ends a request and schedules the next one of its flow.
func (m *model) finish(r *request, good bool) {
	if r.done {
		return
	}
	r.done = true
	if r.start >= m.counted {
		z := &m.zones[r.flow.from]
		z.all++
		if good {
			z.good++
		}
	}
	if r.flow.left > 0 {
		think := 300*time.Millisecond + time.Duration(m.random.Int64N(int64(200*time.Millisecond)))
		m.after(think, func() { m.start(r.flow) })
	}
}

func (m *model) after(d time.Duration, e func()) {
	at := (m.now + max(d, step)).Truncate(step)
	m.events[at] = append(m.events[at], e)
}

// served returns the share of a zone's requests that were answered in time.
func (m *model) served(i int) float64 {
	return float64(m.zones[i].good) / float64(m.zones[i].all)
}
