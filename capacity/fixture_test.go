package capacity_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// epoch is when each replay starts.
var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// route is one route of a replay.
type route struct {
	work  time.Duration // mean
	sigma float64       // of the logarithm of the work time
	share float64       // of the requests
}

// zone replays the requests of the hosts of one service, the answers that balancers see of
// them, and their reports to one collector. New requests go to hosts in proportion to the
// estimated capacity.
type zone struct {
	balancers int
	hosts     int
	slots     int
	rate      float64 // requests per second and host
	routes    []route
	interval  time.Duration // of reports
	seed      uint64
	// slow returns the factor of the work time of a host, by the time since the start and
	// the number of requests in progress.
	slow func(host int, at time.Duration, working int) float64
	// failing returns the share of a host's requests that fail at once.
	failing func(host int, at time.Duration) float64
	// silent reports whether a host answers nothing.
	silent func(host int, at time.Duration) bool
	// alter changes what a balancer reports, if set.
	alter func(balancer, host int, o capacity.Observation) capacity.Observation

	random    *rand.Rand
	upstreams []*directory.Upstream
	estimator *capacity.Estimator
	learners  []*capacity.Learner
	estimates []capacity.Estimate
	// ends holds, by host, when each request in progress ends.
	ends    [][]time.Duration
	working [][]float64 // by host, at the last three samples
	answers answerHeap
}

// pending is an answer on its way to a balancer.
type pending struct {
	at       time.Duration
	balancer int
	answer   capacity.Answer
}

// answerHeap holds answers by time.
type answerHeap []pending

func (h answerHeap) Len() int           { return len(h) }
func (h answerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h answerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *answerHeap) Push(x any)        { *h = append(*h, x.(pending)) }

func (h *answerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// share returns the estimated capacity of a host as a share of its slots.
func (z *zone) share(host int) float64 {
	return z.estimates[host].Capacity / float64(z.slots)
}

// shares returns the mean share of the hosts from first to before last.
func (z *zone) shares(first, last int) float64 {
	sum := 0.0
	for i := first; i < last; i++ {
		sum += z.share(i)
	}
	return sum / float64(last-first)
}

// run replays a period. It calls check, if not nil, every 250 ms after the estimates.
func (z *zone) run(length time.Duration, check func(at time.Duration)) {
	z.start()
	const step = time.Millisecond
	const sample = 250 * time.Millisecond
	next := time.Duration(0)
	for at := time.Duration(0); at < length; at += step {
		if at%sample == 0 {
			z.sample(at)
		}
		for ; next < at; next += z.gap() {
			z.request(next)
		}
		for len(z.answers) > 0 && z.answers[0].at <= at {
			p := heap.Pop(&z.answers).(pending)
			z.learners[p.balancer].Observe(epoch.Add(p.at), &p.answer)
		}
		for b := range z.balancers {
			// Reports of the balancers are spread over the interval.
			if (at-z.interval*time.Duration(b)/time.Duration(z.balancers))/step%(z.interval/step) == 0 {
				z.report(b, at)
			}
		}
		if at%sample == 0 {
			z.estimates = z.estimator.Estimate(epoch.Add(at), z.upstreams)
			if check != nil {
				check(at)
			}
		}
	}
}

func (z *zone) start() {
	z.random = rand.New(rand.NewPCG(z.seed, 1))
	z.estimator = capacity.NewEstimator()
	for range z.balancers {
		z.learners = append(z.learners, capacity.NewLearner())
	}
	for i := range z.hosts {
		z.upstreams = append(z.upstreams, &directory.Upstream{
			ID:        fmt.Sprintf("i-%06x", i+1),
			Service:   "board",
			Slots:     z.slots,
			StartedAt: epoch,
		})
	}
	z.ends = make([][]time.Duration, z.hosts)
	z.working = make([][]float64, z.hosts)
	z.estimates = z.estimator.Estimate(epoch, z.upstreams)
}

// gap returns a random time between two requests.
func (z *zone) gap() time.Duration {
	return time.Duration(z.random.ExpFloat64() / (z.rate * float64(z.hosts)) * float64(time.Second))
}

// sample notes the requests in progress at each host.
func (z *zone) sample(at time.Duration) {
	for i := range z.hosts {
		z.trim(i, at)
		z.working[i] = append(z.working[i], float64(len(z.ends[i])))
		if len(z.working[i]) > 2 {
			z.working[i] = z.working[i][1:]
		}
	}
}

// trim removes the requests of a host that have ended.
func (z *zone) trim(host int, at time.Duration) {
	kept := z.ends[host][:0]
	for _, end := range z.ends[host] {
		if end > at {
			kept = append(kept, end)
		}
	}
	z.ends[host] = kept
}

// pick returns a host, drawn by capacity.
func (z *zone) pick() int {
	total := 0.0
	for i := range z.hosts {
		total += z.estimates[i].Capacity
	}
	x := z.random.Float64() * total
	for i := range z.hosts {
		x -= z.estimates[i].Capacity
		if x < 0 {
			return i
		}
	}
	return z.hosts - 1
}

// request starts one request at a host and sends its answer to a balancer.
func (z *zone) request(at time.Duration) {
	host, balancer := z.pick(), z.random.IntN(z.balancers)
	if z.silent != nil && z.silent(host, at) {
		return
	}
	x, r := z.random.Float64(), 0
	for x -= z.routes[r].share; x >= 0 && r < len(z.routes)-1; x -= z.routes[r].share {
		r++
	}
	end := at + z.work(host, r, at)
	z.trim(host, at)
	roundTrip := time.Duration((2 + 18*z.random.Float64()) * float64(time.Millisecond))
	failed := z.failing != nil && z.random.Float64() < z.failing(host, at)
	// A host queues as many requests as it has slots, and refuses the rest.
	if failed || len(z.ends[host]) >= 2*z.slots {
		end = at + time.Duration(z.random.Float64()*float64(time.Millisecond))
	} else {
		z.ends[host] = append(z.ends[host], end)
	}
	heap.Push(&z.answers, pending{
		at:       end + roundTrip,
		balancer: balancer,
		answer: capacity.Answer{
			Ticket:  z.upstreams[host].Ticket(),
			Service: "board",
			Route:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(r)}), 443),
			Time:    end + roundTrip - at,
			// The sample is 250 to 500 ms old.
			Working: z.working[host][0],
			Slots:   z.slots,
		},
	})
}

// work returns the time from the arrival of a request until its answer.
func (z *zone) work(host, r int, at time.Duration) time.Duration {
	z.trim(host, at)
	factor := 1.0
	if z.slow != nil {
		factor = z.slow(host, at, len(z.ends[host]))
	}
	s := z.routes[r].sigma
	work := float64(z.routes[r].work) * math.Exp(s*z.random.NormFloat64()-s*s/2) * factor
	// The request waits for the slot that is free first.
	wait := time.Duration(0)
	if over := len(z.ends[host]) - z.slots; over >= 0 {
		ends := append([]time.Duration(nil), z.ends[host]...)
		for range over + 1 {
			first := 0
			for i, end := range ends {
				if end < ends[first] {
					first = i
				}
			}
			wait = ends[first] - at
			ends = append(ends[:first], ends[first+1:]...)
		}
	}
	return wait + time.Duration(work)
}

// report sends what a balancer has observed to the collector.
func (z *zone) report(balancer int, at time.Duration) {
	for i, u := range z.upstreams {
		o := z.learners[balancer].Take(u.Ticket())
		if z.alter != nil {
			o = z.alter(balancer, i, o)
		}
		z.estimator.Add(epoch.Add(at), uint64(balancer+1), u.Ticket(), o)
	}
}
