package flow

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// Sharing selects the decisions that a forwarder makes by the load that all balancers of its
// zone see. They apply to routes with a latency goal only.
type Sharing struct {
	// Learn has the forwarder measure answers, so that the zone finds out how much each
	// upstream takes.
	Learn bool
	// Spill lets new flows go to other zones while the own one has too little room.
	Spill bool
	// Admit lets new flows wait, or rejects them, while no zone has room.
	Admit bool
	// Seed is the seed by which admission tells callers apart. It should be random for each
	// process, so that nobody can choose an address that is taken for another caller's.
	Seed uint64
}

// WithSharing has the forwarder report the load that it sees, and place new flows by the load
// of the whole zone while that is known.
func WithSharing(s Sharing) Option {
	return func(f *Forwarder) {
		f.sharing = newSharing(s)
	}
}

// sharing is what a forwarder knows of the load that other balancers see.
type sharing struct {
	options Sharing
	book    *load.Book
	learner *capacity.Learner
	// sequence counts the reports, and reportedAt is when the last one was made.
	sequence   uint32
	reportedAt time.Time
	// digests counts the digests that were applied, and balancers is the number of balancers
	// of the own zone.
	digests   uint64
	balancers int
	services  map[string]*serviceLoad
	// grew is set once the load has grown beyond chance, until that is asked for.
	grew bool
	// checkedAt is when it was last checked which first packets need wait no longer.
	checkedAt time.Time
	// waiting holds the first packets that wait in a service's queue.
	waiting map[key]*waitingPacket
}

func newSharing(options Sharing) *sharing {
	return &sharing{
		options:  options,
		book:     load.NewBook(),
		learner:  capacity.NewLearner(),
		services: make(map[string]*serviceLoad),
		waiting:  make(map[key]*waitingPacket),
	}
}

// LoadReport returns the load that this balancer has seen since its last report, ordered by
// ticket. The next report is due after interval. The sender is left for the caller to set.
func (f *Forwarder) LoadReport(now time.Time, interval time.Duration) load.Report {
	s := f.sharing
	s.sequence++
	var elapsed time.Duration
	if !s.reportedAt.IsZero() {
		elapsed = now.Sub(s.reportedAt)
	}
	s.reportedAt = now
	r := load.Report{
		Sequence: s.sequence,
		Period:   max(elapsed, interval),
	}
	for t, h := range f.health {
		h.reported[1] = h.reported[0]
		h.reported[0] = h.takeWorking(now, elapsed)
		sample := load.Sample{
			Ticket:  t,
			Flows:   h.load.Flows,
			Working: h.reported[0],
			Answers: s.learner.Take(t),
		}
		if sample.Flows > 0 || sample.Working > 0 || sample.Answers != (capacity.Observation{}) {
			r.Samples = append(r.Samples, sample)
		}
	}
	slices.SortFunc(r.Samples, func(a, b load.Sample) int { return cmp.Compare(a.Ticket, b.Ticket) })
	s.book.Reported(now, &r)
	return r
}

// ApplyDigest applies a digest of the load of the own zone's upstreams. The zone has a number of
// balancers, this one included.
func (f *Forwarder) ApplyDigest(now time.Time, d *load.Digest, balancers int) {
	if !f.sharing.book.Apply(now, d) {
		return
	}
	f.sharing.digests++
	f.sharing.balancers = balancers
}

// LoadGrew reports whether the load at the own zone's upstreams has grown beyond chance since the
// last call. Reports and digests should then come at the rate of a busy zone.
func (f *Forwarder) LoadGrew() bool {
	if f.sharing == nil {
		return false
	}
	grew := f.sharing.grew
	f.sharing.grew = false
	return grew
}

// Waiting returns the number of first packets that wait for admission.
func (f *Forwarder) Waiting() int {
	if f.sharing == nil {
		return 0
	}
	return len(f.sharing.waiting)
}

// workingAt returns the number of requests in progress at an upstream, as far as it is known.
func (f *Forwarder) workingAt(now time.Time, t directory.Ticket, h *health) float64 {
	return f.sharing.book.Upstream(now, t).Working + float64(h.load.ActiveRequests)
}

// startRequest records that a request, or more content of one, goes to the flow's upstream. The
// time of the answer is measured if the request began here.
func (f *Forwarder) startRequest(now time.Time, h *health, s *flowState, p *Packet, began bool) {
	s.requestAt = now
	if s.requestActive {
		return
	}
	s.requestEntryAt = now
	f.activeRequests = append(f.activeRequests, pendingAnswer{
		flow:     s,
		sentAt:   now,
		deadline: now.Add(maxRequestTime),
	})
	if f.sharing != nil && s.answered && s.upstream.Zone == f.zone {
		f.sharing.countOpenRequest(s.upstream.Service, p.Service)
	}
	if s.requestMeasured = began && f.sharing != nil && f.sharing.options.Learn; s.requestMeasured {
		s.requestWorking = f.workingAt(now, s.upstream.Ticket(), h)
	}
}

// countOpenRequest counts a request on an open flow for its route's priority at a service of the
// own zone. Routes without a latency goal have none there.
func (s *sharing) countOpenRequest(service string, route netip.AddrPort) {
	l := s.services[service]
	if l == nil {
		return
	}
	if priority, ok := l.routePriorities[route]; ok {
		usual, _ := s.learner.Usual(route)
		l.class(priority).openWork += usual.Seconds()
	}
}

// maxRequestTime is how long a request counts as in progress. A client that gives up, or whose
// flow the host has reset, tells the balancers nothing.
const maxRequestTime = 2 * time.Second

// expireRequests ends the requests that have been in progress for maxRequestTime.
func (f *Forwarder) expireRequests(now time.Time) {
	for len(f.activeRequests) > 0 && !now.Before(f.activeRequests[0].deadline) {
		e := f.activeRequests[0]
		f.activeRequests = f.activeRequests[1:]
		switch s := e.flow; {
		case !s.requestActive || !s.requestEntryAt.Equal(e.sentAt):
			// The request is over. A later one of the flow has its own entry.
		case s.requestAt.After(e.sentAt):
			e.sentAt, e.deadline = s.requestAt, now.Add(maxRequestTime)
			s.requestEntryAt = e.sentAt
			f.activeRequests = append(f.activeRequests, e)
		default:
			f.setRequestActive(now, f.healthOf(s.upstream), s, false)
		}
	}
}

// measureAnswer records the time of an answer. Those to requests that were retransmitted, or
// that another balancer forwarded, are not measured, nor are those that the client may have acknowledged
// through another balancer first, since flows have moved meanwhile.
func (f *Forwarder) measureAnswer(now time.Time, s *flowState, p *Packet) {
	if !s.requestMeasured {
		return
	}
	elapsed := now.Sub(s.requestAt)
	s.requestMeasured = false
	if s.opening || !s.requestActive || s.retransmissions > 0 || now.Before(f.ignoreUntil) || s.requestAt.Before(f.verifications.movedAt) {
		return
	}
	f.sharing.learner.Observe(now, &capacity.Answer{
		Ticket:  s.upstream.Ticket(),
		Service: s.upstream.Service,
		Route:   p.Service,
		Time:    elapsed,
		Working: s.requestWorking,
		Slots:   s.upstream.Slots,
	})
}

// Times that bound the wait for admission.
const (
	// maxAdmissionWait is how long a first packet waits at most: less than the 200 ms until the
	// client sends a copy, which may reach another balancer.
	maxAdmissionWait = 150 * time.Millisecond
	// defaultAnswerTime is taken for the usual answer time of a route that is not known yet.
	defaultAnswerTime = 50 * time.Millisecond
)

// forgetLoad drops all waiting first packets, and forgets the load that other balancers have
// told of: digests that waited while the process did not run look new.
func (f *Forwarder) forgetLoad() {
	if f.sharing == nil {
		return
	}
	for k, w := range f.sharing.waiting {
		f.withdraw(k, w.packet.Sequence, ReasonDelayed)
	}
	for _, l := range f.sharing.services {
		l.queue.Clear()
	}
	f.sharing.book = load.NewBook()
}

// forgetServices forgets the load of services that have no hosts, and nothing that waits.
func (s *sharing) forgetServices(v *directory.View) {
	if s == nil {
		return
	}
	waiting := make(map[*serviceLoad]bool)
	for _, w := range s.waiting {
		waiting[w.service] = true
	}
	maps.DeleteFunc(s.services, func(name string, l *serviceLoad) bool { return len(v.Eligible(name)) == 0 && !waiting[l] })
}
