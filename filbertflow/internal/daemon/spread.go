package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

// Times of spreading.
const (
	// behindLimit is how long changes may be on their way before a balancer that
	// has heard of them asks a peer.
	behindLimit = 200 * time.Millisecond
	// outageLimit is the silence of the store after which entries may have
	// lapsed by mistake: two unanswered watches.
	outageLimit = 2 * (watchWait + 500*time.Millisecond)
	// publishInterval is the shortest time between two views for changes: a view
	// costs a walk over all hosts.
	publishInterval = 100 * time.Millisecond
	// pruneInterval is the time between two looks for what can be forgotten.
	pruneInterval = 10 * time.Second
)

// gateways is the number of balancers of a zone that exchange heartbeats with
// other zones: two may be lost at once.
const gateways = 3

// readers is how many balancers of a zone read the store. Other zones' readers
// stand in for one that fails: their peers here hear of new revisions with
// heartbeats. A zone on its own takes further readers once the store's last word
// is older than a watch, its time-out and a heartbeat take together.
var readers = rollout.ReaderPolicy{
	Readers:      1,
	MaxReaders:   4,
	StandbyAfter: 3 * watchWait,
}

// spread owns the directory and the view of the members. One goroutine uses it.
type spread struct {
	daemon   *Daemon
	dir      *directory.Directory
	tracker  *member.Tracker
	table    *member.Table
	detector *flow.Detector
	reading  bool
	// outage tells that the store has been silent for longer than outageLimit, or
	// was until recently, and since is when it last answered before that. Entries
	// that lapsed since then count as a mistake until forgive.
	outage  bool
	since   time.Time
	forgive time.Time
	pruned  time.Time
	// published is when the view was made last, and unpublished tells that the
	// directory has changed since.
	published   time.Time
	unpublished bool
	// wanted is the highest revision that a peer has told of, tellers how often
	// one was told of that is not known here, and source one of those peers;
	// behind is since when it is wanted.
	wanted  uint64
	tellers int
	source  netip.AddrPort
	behind  time.Time
	pulling bool
	clock   *pauseClock
}

func newSpread(now time.Time, d *Daemon) *spread {
	o := &d.options
	s := &spread{
		daemon:   d,
		dir:      directory.New(),
		detector: flow.NewDetector(),
		tracker: member.NewTracker(now, member.Member{
			Name:        o.Name,
			Zone:        o.Zone,
			Incarnation: d.incarnation,
			Relay:       o.Peers,
			Control:     o.Peers,
			Admin:       o.Readiness,
		}, rand.New(rand.NewPCG(d.incarnation, uint64(now.UnixNano())))),
		reading: true,
		clock:   newPauseClock(now),
	}
	s.tracker.AcceptUnlisted()
	s.tracker.SetGateways(gateways)
	s.seed(now, o.Seeds)
	return s
}

// run handles events until ctx ends.
func (s *spread) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case f := <-s.daemon.calls.C():
			f(time.Now())
		case <-ticker.C:
			s.tick(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// apply takes changes that came from a balancer or the store, and passes them on.
func (s *spread) apply(now time.Time, delta *directory.Delta, origin uint64, from string) error {
	before := s.dir.Revision()
	changed, err := s.dir.Apply(now, delta)
	if err != nil {
		return err
	}
	s.changed(now, changed, from)
	if s.dir.Revision() > before {
		s.tracker.SetVersion(config.Version(s.dir.Revision()))
		if len(changed) > 0 && before > 0 && origin != 0 {
			s.pass(now, before, origin)
		}
	}
	return nil
}

// changed takes what the directory has learnt.
func (s *spread) changed(now time.Time, changed []directory.Item, from string) {
	if len(changed) == 0 && s.daemon.view.Load() != nil {
		return
	}
	for i := range changed {
		s.logItem(now, &changed[i], from)
	}
	if now.Sub(s.published) < publishInterval {
		// The next tick publishes: changes often come in a row of datagrams.
		s.unpublished = true
		return
	}
	s.publish(now)
}

// logItem tells of a change of what is believed.
func (s *spread) logItem(now time.Time, i *directory.Item, from string) {
	log := s.daemon.log
	revision, source := logs.F("revision", i.Revision), logs.F("from", from)
	switch i.Key.Kind {
	case directory.KindPlan:
		log.Info(now, "directory: plan in force", logs.F("plan", i.Plan.Version), logs.F("routes", len(i.Plan.Routes)), revision, source)
	case directory.KindZoneOut:
		log.Info(now, "directory: zone out", logs.F("zone", i.Key.Name), logs.F("out", !i.Deleted), revision, source)
	case directory.KindUpstream:
		fields := []logs.Field{logs.F("upstream", i.Key.Name), logs.F("gone", i.Deleted), revision, source}
		if u := i.Upstream; u != nil {
			fields = append(fields, logs.F("service", u.Service), logs.F("address", u.Address), logs.F("zone", u.Zone),
				logs.F("draining", u.Draining), logs.F("cold_ms", max(u.WarmAt.Sub(now).Milliseconds(), 0)))
		}
		log.Info(now, "directory: upstream", fields...)
	}
}

// publish makes the view that packets are decided by.
func (s *spread) publish(now time.Time) {
	first := s.daemon.view.Load() == nil
	v := s.dir.View(now, s.forgiven(now))
	s.published, s.unpublished = now, false
	s.daemon.view.Store(v)
	s.daemon.counters.upstreams.Store(int64(v.Upstreams()))
	s.daemon.counters.revision.Store(v.Revision)
	if first {
		close(s.daemon.viewed)
		s.daemon.log.Info(now, "directory: first view", logs.F("revision", v.Revision), logs.F("upstreams", v.Upstreams()))
	}
}

// forgiven returns which hosts stay eligible though their entry went: those
// that lapsed while the store was away.
func (s *spread) forgiven(now time.Time) func(*directory.Upstream) bool {
	return func(u *directory.Upstream) bool {
		return u.Lapsed && u.Departed.After(s.since) && (s.outage || now.Before(s.forgive))
	}
}

// readDelta takes what the store has answered.
func (s *spread) readDelta(now time.Time, delta *directory.Delta) {
	s.tracker.PlatformAnswered(now)
	s.noteOutage(now)
	if err := s.apply(now, delta, s.daemon.incarnation, "store"); errors.Is(err, directory.ErrRevisionGap) {
		// The reader starts from the directory's revision.
		s.daemon.log.Warn(now, "store: gap", logs.F("base", delta.Base))
	}
}

// noteOutage takes the time since the store last answered anybody.
func (s *spread) noteOutage(now time.Time) {
	age := s.tracker.PlatformAge(now)
	silent := age > outageLimit
	switch {
	case silent && !s.outage:
		s.outage = true
		s.since = now.Add(-age)
		s.daemon.log.Warn(now, "store: silent", logs.F("age_ms", age.Milliseconds()))
	case !silent && s.outage:
		s.outage = false
		s.forgive = now.Add(directory.LapseGrace)
		s.daemon.log.Info(now, "store: back after silence", logs.F("for_ms", now.Sub(s.since).Milliseconds()))
	}
}

// seed takes the addresses of other balancers.
func (s *spread) seed(now time.Time, seeds []netip.AddrPort) {
	vms := make([]config.VM, 0, len(seeds))
	for _, a := range s.daemon.peerAddresses(seeds) {
		vms = append(vms, config.VM{
			Relay:   a,
			Control: a,
		})
	}
	s.tracker.SetVMs(now, vms)
}

// tick does what is due.
func (s *spread) tick(ctx context.Context, now time.Time) {
	s.daemon.noteRunning(now, true)
	if pause := s.clock.SuspendedFor(now); pause > 0 {
		s.daemon.log.Warn(now, "daemon: was suspended", logs.F("for_ms", pause.Milliseconds()))
		s.tracker.HandleResume(now, now.Add(-pause))
	}
	for _, m := range s.tracker.Tick(now) {
		s.daemon.sendPeer(m.To, wire.AppendHeartbeat(nil, &m.Heartbeat))
	}
	s.noteOutage(now)
	s.review(now)
	s.daemon.counters.answered(now, s.tracker.PlatformAge(now))
	s.catchUp(ctx, now)
	if s.unpublished || s.dir.Settling(now) || now.Before(s.forgive.Add(directory.LapseGrace)) {
		s.publish(now)
	}
	if now.Sub(s.pruned) >= pruneInterval {
		s.pruned = now
		s.dir.Prune(now)
		s.detector.Prune(now)
	}
}

// review takes changes of the members: who reads the store, and who opens flows
// of cold upstreams.
func (s *spread) review(now time.Time) {
	if t := s.tracker.Table(); t != s.table {
		s.logMembers(now, t)
		s.table = t
		s.daemon.owners.Store(member.NewTable(t.Members()))
	}
	o := &s.daemon.options
	reads := readers.Reads(s.table, o.Name, o.Zone, s.tracker.PlatformAge(now), s.dir.Revision() > 0)
	if reads == s.reading {
		return
	}
	s.reading = reads
	s.daemon.log.Info(now, "store: reading", logs.F("reads", reads), logs.F("age_ms", s.tracker.PlatformAge(now).Milliseconds()))
	select {
	case <-s.daemon.reads:
	default:
	}
	s.daemon.reads <- reads
}

func (s *spread) logMembers(now time.Time, next *member.Table) {
	known := make(map[uint64]member.State)
	if s.table != nil {
		for _, m := range s.table.Members() {
			known[m.Incarnation] = m.State
		}
	}
	var states [peerStates]int64
	for _, m := range next.Members() {
		states[m.State]++
		if state, ok := known[m.Incarnation]; !ok || state != m.State {
			s.daemon.log.Info(now, "peer: "+m.State.String(), logs.F("peer", m.Name), logs.F("peer_zone", m.Zone), logs.F("incarnation", m.Incarnation))
		}
	}
	for i := range states {
		s.daemon.counters.peers[i].Store(states[i])
	}
}

// hear takes a datagram of a peer.
func (s *spread) hear(ctx context.Context, now time.Time, from netip.AddrPort, data []byte) {
	switch {
	case wire.IsDelta(data):
		s.hearDelta(ctx, now, from, data)
		return
	case wire.IsHealth(data):
		s.hearHealth(now, from, data)
		return
	}
	var h member.Heartbeat
	if err := wire.ParseHeartbeat(data, &h); err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	if !s.tracker.HandleHeartbeat(now, from, &h).Known {
		return
	}
	s.want(now, uint64(h.Sender.Version), h.Sender.Control)
}

// hearDelta takes changes that a peer passes on.
func (s *spread) hearDelta(ctx context.Context, now time.Time, from netip.AddrPort, data []byte) {
	delta, origin, err := wire.ParseDelta(now, data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	if err := s.apply(now, delta, origin, "peer"); err != nil {
		s.want(now, delta.Revision, from)
		s.pull(ctx, now)
	}
}

// want takes a peer's word that it has a revision. Of those that are ahead one is
// asked, picked at random: the reader is always the furthest.
func (s *spread) want(now time.Time, revision uint64, peer netip.AddrPort) {
	if revision <= s.dir.Revision() {
		return
	}
	if s.wanted <= s.dir.Revision() {
		s.behind = now
		s.tellers = 0
	}
	s.wanted = max(s.wanted, revision)
	s.tellers++
	if rand.IntN(s.tellers) == 0 {
		s.source = peer
	}
}

// catchUp asks a peer for changes that should have come by now.
func (s *spread) catchUp(ctx context.Context, now time.Time) {
	if s.wanted > s.dir.Revision() && now.Sub(s.behind) >= behindLimit {
		s.pull(ctx, now)
	}
}

// pull asks a peer that is ahead for what it knows.
func (s *spread) pull(ctx context.Context, now time.Time) {
	if s.pulling {
		return
	}
	s.pulling = true
	peer, since := s.source, s.dir.Revision()
	// A peer that does not answer is asked again once another one, or the same,
	// tells of the revision.
	s.wanted = s.dir.Revision()
	s.behind = now
	d := s.daemon
	d.duties.Go(func() {
		delta, err := d.fetchChanges(ctx, peer, since, pullTimeout)
		if err != nil {
			d.log.Warn(time.Now(), "peer: can't get changes", logs.F("peer_address", peer), logs.F("error", err.Error()))
		}
		d.must(ctx, func(now time.Time) { s.pulled(now, delta) })
	})
}

// pulled takes the answer of a peer; delta is nil where there is none.
func (s *spread) pulled(now time.Time, delta *directory.Delta) {
	s.pulling = false
	if delta != nil {
		s.merge(now, delta)
	}
}

// merge takes what a peer knows, also of hosts whose entries went.
func (s *spread) merge(now time.Time, delta *directory.Delta) {
	if err := s.apply(now, delta, s.daemon.incarnation, "peer"); err != nil {
		s.daemon.log.Warn(now, "peer: gap", logs.F("base", delta.Base))
	}
	s.changed(now, s.dir.MergeDeparted(now, delta), "peer")
}
