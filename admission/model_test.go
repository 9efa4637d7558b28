package admission_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/admission"
)

// Parameters of the model.
const (
	modelStep    = time.Millisecond
	modelSlots   = 100
	modelAnswer  = 100 * time.Millisecond // mean of an exponential distribution
	modelGoal    = 800 * time.Millisecond
	modelMaxWait = (modelGoal - modelAnswer) / 2 // half of what remains of the goal
	modelReturn  = 10 * time.Millisecond
	modelReturns = 2
	// modelCapacity is the number of requests that the hosts answer in a second.
	modelCapacity = modelSlots * float64(time.Second) / float64(modelAnswer)
	// modelLimit is the number of requests in progress up to which answers are in time;
	// from modelRefuse on, hosts refuse work.
	modelLimit  = 150
	modelRefuse = 200
)

// A stream is the demand of one priority.
type stream struct {
	priority int
	// rate returns the arrivals a second at a time since the start.
	rate func(since time.Duration) float64
	// caller returns the address of a new client.
	caller func(r *rand.Rand) netip.Addr
}

// A client is one request of the model, with all its attempts.
type client struct {
	stream  int
	caller  netip.Addr
	started time.Time
	returns int
	// offeredAt is the time of the last attempt.
	offeredAt time.Time
	balancer  int
	// left is the work that remains.
	left time.Duration
}

// An outcome counts the requests of one stream.
type outcome struct {
	arrived, inTime, late int
	// refused counts clients that gave up, refusals the resets at the balancers, byHosts
	// the refusals by hosts.
	refused, refusals, byHosts int
	// waited counts requests that waited at a balancer, expired those of them that were
	// refused in the end, waiting the time that all waited.
	waited, expired int
	waiting         time.Duration
	// longest is the longest wait at a balancer.
	longest time.Duration
}

// part returns the part n of the requests that arrived.
func (o *outcome) part(n int) float64 {
	return float64(n) / float64(max(o.arrived, 1))
}

// A model plays streams against the queues of some balancers and the hosts of one service,
// which have modelSlots together and serve in the order of arrival.
type model struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	streams []stream
	queues  []*admission.Queue[int]
	dampers []admission.Damper
	clients []client
	// due holds the clients that come back, by time.
	due      map[int64][]int
	hosts    []int // requests in progress, those in slots first
	lag      int   // in intervals of 250 ms
	observed []float64
	outcomes []outcome
	// from is the time since the start from which outcomes count.
	from time.Duration
	// served counts the answers of hosts in each second.
	served []int
	// off lets all requests go.
	off bool
}

func newModel(seed uint64, balancers int, streams ...stream) *model {
	start := time.Unix(1_800_000_000, 0)
	m := &model{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      start,
		start:    start,
		streams:  streams,
		due:      make(map[int64][]int),
		lag:      1,
		outcomes: make([]outcome, len(streams)),
	}
	for range balancers {
		q := admission.NewQueue[int](admission.Limits{
			MaxRequests: 256,
			MaxBytes:    512 << 10,
		})
		q.SetSeed(seed)
		m.queues = append(m.queues, q)
		m.dampers = append(m.dampers, admission.Damper{})
	}
	return m
}

// run plays the load for a time.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		if m.now.Sub(m.start)%(250*time.Millisecond) == 0 {
			m.share()
		}
		if m.now.Sub(m.start)%time.Second == 0 {
			m.served = append(m.served, 0)
		}
		m.serve()
		for i, q := range m.queues {
			if at := q.NextTimer(); !at.IsZero() && !at.After(m.now) {
				for _, r := range q.Release(m.now) {
					m.released(i, r)
				}
			}
		}
		returning := m.due[m.now.UnixNano()]
		delete(m.due, m.now.UnixNano())
		for _, c := range returning {
			m.offer(c)
		}
		for i, s := range m.streams {
			for p := s.rate(m.now.Sub(m.start)) * modelStep.Seconds(); m.random.Float64() < p; p-- {
				m.clients = append(m.clients, client{
					stream:  i,
					caller:  s.caller(m.random),
					started: m.now,
				})
				m.count(len(m.clients)-1, func(o *outcome) { o.arrived++ })
				m.offer(len(m.clients) - 1)
			}
		}
	}
}

// count changes the outcome of a client's stream.
func (m *model) count(c int, change func(o *outcome)) {
	if m.clients[c].started.Sub(m.start) >= m.from {
		change(&m.outcomes[m.clients[c].stream])
	}
}

// admitted hands a request to the hosts.
func (m *model) admitted(c int) {
	if len(m.hosts) >= modelRefuse {
		m.count(c, func(o *outcome) { o.byHosts++ })
		m.refused(c)
		return
	}
	m.clients[c].left = time.Duration(m.random.ExpFloat64() * float64(modelAnswer))
	m.hosts = append(m.hosts, c)
}

// offer makes an attempt of a client, at any balancer.
func (m *model) offer(c int) {
	x := &m.clients[c]
	x.balancer = m.random.IntN(len(m.queues))
	x.offeredAt = m.now
	verdict := admission.Admit
	if !m.off {
		verdict = m.queues[x.balancer].Offer(m.now, admission.Request[int]{
			ID:       c,
			Priority: m.streams[x.stream].priority,
			Caller:   x.caller,
			Size:     100,
			MaxWait:  modelMaxWait,
		})
	}
	switch verdict {
	case admission.Admit:
		m.admitted(c)
	case admission.Reject:
		m.count(c, func(o *outcome) { o.refusals++ })
		m.refused(c)
	case admission.Wait:
		m.count(c, func(o *outcome) { o.waited++ })
	}
}

// refused lets a client return, or give up.
func (m *model) refused(c int) {
	x := &m.clients[c]
	if x.returns == modelReturns {
		m.count(c, func(o *outcome) { o.refused++ })
		return
	}
	x.returns++
	at := m.now.Add(modelReturn).UnixNano()
	m.due[at] = append(m.due[at], c)
}

// released acts on a decision of a balancer.
func (m *model) released(balancer int, r admission.Released[int]) {
	x := &m.clients[r.ID]
	if x.balancer != balancer {
		panic("decision by a balancer that was not asked")
	}
	m.count(r.ID, func(o *outcome) {
		o.waiting += m.now.Sub(x.offeredAt)
		o.longest = max(o.longest, m.now.Sub(x.offeredAt))
	})
	if r.Verdict == admission.Admit {
		m.admitted(r.ID)
		return
	}
	m.count(r.ID, func(o *outcome) {
		o.refusals++
		o.expired++
	})
	m.refused(r.ID)
}

// serve lets the hosts work for one step.
func (m *model) serve() {
	kept := m.hosts[:0]
	for i, c := range m.hosts {
		x := &m.clients[c]
		if i < modelSlots {
			x.left -= modelStep
		}
		if x.left > 0 || i >= modelSlots {
			kept = append(kept, c)
			continue
		}
		m.served[len(m.served)-1]++
		m.count(c, func(o *outcome) {
			if m.now.Sub(x.started) <= modelGoal {
				o.inTime++
			} else {
				o.late++
			}
		})
	}
	m.hosts = kept
}

// share sets shares by the work in progress of lag intervals ago.
func (m *model) share() {
	m.observed = append(m.observed, float64(len(m.hosts)))
	var priorities []int
	for _, s := range m.streams {
		priorities = append(priorities, s.priority)
	}
	seen := m.observed[max(len(m.observed)-1-m.lag, 0)]
	for i, q := range m.queues {
		q.SetShares(m.now, m.dampers[i].Damp(m.now, admission.SharesFor(seen, modelLimit, priorities), priorities))
	}
}

// constant returns a rate that doesn't change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// callers returns a choice among n addresses, from 10.0.0.0 on.
func callers(n int) func(r *rand.Rand) netip.Addr {
	return func(r *rand.Rand) netip.Addr { return address(r.IntN(n)) }
}

// address returns the address of a caller.
func address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}
