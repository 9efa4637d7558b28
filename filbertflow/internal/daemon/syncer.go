package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rollout"
	"filbertworks.example/filbertworks/wire"
)

// Times of synchronization.
const (
	// pullDelay is how long changes may take to arrive after a balancer has heard
	// of their revision, before it asks a peer for them.
	pullDelay = 200 * time.Millisecond
	// outageThreshold is the time without an answer of the store after which
	// entries may have lapsed only because hosts could not renew them: two
	// unanswered watches.
	outageThreshold = 2 * (watchWait + 500*time.Millisecond)
	// publishInterval is the shortest time between two views that are published
	// for changes: making a view walks over all hosts.
	publishInterval = 100 * time.Millisecond
	// maxMergePulls is the number of peers that are asked for what they retain from
	// before a restore of the store: one of them may know no more.
	maxMergePulls = 2
	// pruneInterval is the time between two removals of expired entries and
	// reports.
	pruneInterval = 10 * time.Second
)

// gatewaysPerZone is the number of balancers of a zone that exchange heartbeats
// with other zones: two may fail at once.
const gatewaysPerZone = 3

// readerPolicy determines how many balancers of a zone read the store. The candidates for
// that send each other heartbeats, and replace a reader that is silent for candidateSilence. If
// the zone loses all of them, those of the rest that notice a loss replace it (lastReader), and
// peers learn of new revisions from the heartbeats of other zones. A zone without contact to others
// adds further readers once the store's last answer is older than a watch, its timeout and a
// heartbeat take together. While none of MaxReaders gets an answer, the others of the zone try in turns.
var readerPolicy = rollout.ReaderPolicy{
	Readers:      1,
	MaxReaders:   4,
	StandbyAfter: 3 * watchWait,
	Substitutes:  4,
}

// candidateSilence is how long a candidate for reading the store may be silent before the next one
// reads: two heartbeats, and half of one for their way.
const candidateSilence = 5 * member.HeartbeatInterval / 2

// A syncer keeps this balancer's directory and membership in sync with the store
// and the peers. Only its goroutine uses it.
type syncer struct {
	daemon   *Daemon
	dir      *directory.Directory
	tracker  *member.Tracker
	table    *member.Table
	detector *flow.Detector
	isReader bool
	// ambiguous are the flows to tell the zone of.
	ambiguous ambiguousFlows
	// verifications are this balancer's verifications that wait for answers.
	verifications map[uint32]*openVerification
	lastReader    lastReader
	vacancies     vacancies
	// outage is set while the store has not answered for longer than
	// outageThreshold; outageStart is when it last answered before the latest
	// outage. Upstreams whose entries lapsed since then stay eligible until
	// lapseGraceEnd.
	outage        bool
	outageStart   time.Time
	lapseGraceEnd time.Time
	// restoredAt is when the directory entered its era. Upstreams that the store's
	// copy lacks stay eligible for LapseGracePeriod.
	restoredAt time.Time
	prunedAt   time.Time
	// publishedAt is when the last view was published, and publishPending tells
	// that the directory has changed since.
	publishedAt    time.Time
	publishPending bool
	// peerPosition is the latest position that a peer has announced,
	// announcements the number of announcements of positions that are not known
	// here, and pullPeer one of the peers that sent them. behindSince is when
	// this balancer fell behind.
	peerPosition  directory.Position
	announcements int
	pullPeer      netip.AddrPort
	behindSince   time.Time
	pulling       bool
	// mergePulls is the number of pulls that are still to be made in a new era for what
	// peers retain from earlier ones, and mergePeer a peer to ask.
	mergePulls int
	mergePeer  netip.AddrPort
	// merging is whether the pull in progress is one of them.
	merging bool
	loads   *loadExchange
}

func newSyncer(now time.Time, d *Daemon) *syncer {
	o := &d.options
	s := &syncer{
		daemon:   d,
		dir:      directory.New(),
		detector: flow.NewDetector(d.incarnation),
		tracker: member.NewTracker(now, member.Member{
			Name:        o.Name,
			Zone:        o.Zone,
			Incarnation: d.incarnation,
			Relay:       o.Peers,
			Control:     o.Peers,
			Admin:       o.Readiness,
		}, rand.New(rand.NewPCG(d.incarnation, uint64(now.UnixNano())))),
		isReader:      true,
		vacancies:     newVacancies(o.Zone),
		verifications: make(map[uint32]*openVerification),
	}
	s.loads = newLoadExchange(s)
	s.tracker.AcceptUnlisted()
	s.tracker.SetGateways(gatewaysPerZone)
	s.setSeeds(now, o.Seeds)
	return s
}

// run handles events and periodic work until ctx ends.
func (s *syncer) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case f := <-s.daemon.events.C():
			f(time.Now())
		case <-ticker.C:
			s.tick(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// apply applies a delta that the balancer origin has read from the store, and
// relays the changes to peers. The argument from is the source for the log.
func (s *syncer) apply(now time.Time, delta *directory.Delta, origin uint64, from string) error {
	before := s.dir.Position()
	changed, err := s.dir.Apply(now, delta)
	if err != nil {
		return err
	}
	after := s.dir.Position()
	restored := after.Era != before.Era && before.Revision > 0
	if after.Era != before.Era && after.Era > directory.FirstEra {
		s.mergePulls = maxMergePulls
	}
	if restored {
		s.handleRestore(now, before, from)
	}
	s.changed(now, changed, from)
	if after.After(before) {
		s.tracker.SetVersion(config.Version(after.Revision), after.Era)
		if (len(changed) > 0 && before.Revision > 0 || restored) && origin != 0 {
			s.relayChanges(now, before, origin)
		}
	}
	return nil
}

// handleRestore handles that the directory has entered a new era: hosts that the store
// does not list stay eligible until they have had time to register again.
func (s *syncer) handleRestore(now time.Time, before directory.Position, from string) {
	s.restoredAt = now
	s.publishPending = true
	s.daemon.counters.restores.Add(1)
	p := s.dir.Position()
	s.daemon.log.Warn(now, "directory: entered a new era of the store", logs.F("era", p.Era), logs.F("revision", p.Revision),
		logs.F("old_era", before.Era), logs.F("old_revision", before.Revision), logs.F("from", from))
	for _, r := range s.dir.Retained() {
		s.logRetained(now, &r)
	}
}

// logRetained logs an item that is kept from an earlier era.
func (s *syncer) logRetained(now time.Time, r *directory.Retained) {
	fields := []logs.Field{logs.F("kind", r.Item.Key.Kind.String()), logs.F("name", r.Item.Key.Name), logs.F("gone", r.Item.Deleted)}
	if p := r.Item.Plan; p != nil {
		fields = append(fields, logs.F("plan", p.Version))
	}
	if u := r.Item.Upstream; u != nil {
		fields = append(fields, logs.F("draining", u.Draining))
	}
	s.daemon.log.Info(now, "directory: item of an earlier era retained", fields...)
}

// changed logs changed items and publishes a view with them.
func (s *syncer) changed(now time.Time, changed []directory.Item, from string) {
	if len(changed) == 0 && s.daemon.view.Load() != nil {
		return
	}
	for i := range changed {
		s.logChange(now, &changed[i], from)
	}
	if now.Sub(s.publishedAt) < publishInterval {
		// The next tick publishes: changes often come as several datagrams in a
		// row.
		s.publishPending = true
		return
	}
	s.publish(now)
}

// logChange logs a changed item.
func (s *syncer) logChange(now time.Time, i *directory.Item, from string) {
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

// publish makes a new view and hands it to the packet handler.
func (s *syncer) publish(now time.Time) {
	first := s.daemon.view.Load() == nil
	v := s.dir.View(now, s.toleratesLapse(now))
	s.publishedAt, s.publishPending = now, false
	s.daemon.view.Store(v)
	s.daemon.counters.upstreams.Store(int64(v.Upstreams()))
	s.daemon.counters.revision.Store(v.Position.Revision)
	s.daemon.counters.era.Store(v.Position.Era)
	s.daemon.counters.retained.Store(int64(len(s.dir.Retained())))
	if first {
		close(s.daemon.firstView)
		s.daemon.log.Info(now, "directory: first view", logs.F("revision", v.Position.Revision), logs.F("upstreams", v.Upstreams()))
	}
}

// toleratesLapse returns a function that reports whether an upstream stays
// eligible although its entry is gone: it lapsed during an outage of the store, or
// the copy lacks it that the store was restored from.
func (s *syncer) toleratesLapse(now time.Time) func(*directory.Upstream) bool {
	return func(u *directory.Upstream) bool {
		outage := u.DepartedAt.After(s.outageStart) && (s.outage || now.Before(s.lapseGraceEnd))
		copied := !u.DepartedAt.Before(s.restoredAt) && now.Before(s.restoredAt.Add(directory.LapseGracePeriod))
		return u.Lapsed && (outage || copied)
	}
}

// lapsesSettle reports whether upstreams that lapsed stop being eligible about now.
func (s *syncer) lapsesSettle(now time.Time) bool {
	return now.Before(s.lapseGraceEnd.Add(directory.LapseGracePeriod)) || now.Before(s.restoredAt.Add(2*directory.LapseGracePeriod))
}

// applyStoreDelta applies an answer of the store.
func (s *syncer) applyStoreDelta(now time.Time, delta *directory.Delta) {
	s.tracker.PlatformAnswered(now)
	s.updateOutage(now)
	if err := s.apply(now, delta, s.daemon.incarnation, "store"); errors.Is(err, directory.ErrRevisionGap) {
		// The reader continues from the directory's revision.
		s.daemon.log.Warn(now, "store: changes do not follow the known revision", logs.F("base", delta.Base))
	}
}

// updateOutage detects the start and end of outages of the store.
func (s *syncer) updateOutage(now time.Time) {
	age := s.tracker.PlatformAge(now)
	silent := age > outageThreshold
	switch {
	case silent && !s.outage:
		s.outage = true
		s.outageStart = now.Add(-age)
		s.daemon.log.Warn(now, "store: outage began", logs.F("age_ms", age.Milliseconds()))
	case !silent && s.outage:
		s.outage = false
		s.lapseGraceEnd = now.Add(directory.LapseGracePeriod)
		s.dir.ExtendRetention(now)
		s.daemon.log.Info(now, "store: outage ended", logs.F("for_ms", now.Sub(s.outageStart).Milliseconds()))
	}
}

// setSeeds replaces the addresses of the seeds.
func (s *syncer) setSeeds(now time.Time, seeds []netip.AddrPort) {
	vms := make([]config.VM, 0, len(seeds))
	for _, a := range s.daemon.peerAddresses(seeds) {
		vms = append(vms, config.VM{
			Relay:   a,
			Control: a,
		})
	}
	s.tracker.SetVMs(now, vms)
}

// tick does the periodic work.
func (s *syncer) tick(ctx context.Context, now time.Time) {
	if s.daemon.checkStall(now, true) {
		s.detector.HandleResume(now)
		s.loads.handleResume(now)
	}
	s.daemon.checkSuspension(now)
	if pause := time.Duration(s.daemon.suspendedFor.Swap(0)); pause > 0 {
		s.daemon.log.Warn(now, "daemon: VM was suspended", logs.F("for_ms", pause.Milliseconds()))
		s.tracker.HandleResume(now, now.Add(-pause))
		s.loads.handleResume(now)
		if pause >= rotationTimeout {
			s.handleReturn(now)
		}
	}
	for _, m := range s.tracker.Tick(now) {
		s.daemon.sendPeer(m.To, wire.AppendHeartbeat(nil, &m.Heartbeat))
	}
	s.checkInquiries(now)
	s.updateVacancies(now)
	s.shareAmbiguous(now)
	s.expireVerifications(now)
	s.loads.tick(now)
	s.updateOutage(now)
	s.updateRoles(now)
	s.daemon.counters.setStoreAge(now, s.tracker.PlatformAge(now))
	s.catchUp(ctx, now)
	if settled := s.dir.Settle(now, now.Add(-s.tracker.PlatformAge(now))); len(settled) > 0 {
		s.changed(now, settled, "settled")
	}
	if s.publishPending || s.dir.NeedsRefresh(now) || s.lapsesSettle(now) {
		s.publish(now)
	}
	if now.Sub(s.prunedAt) >= pruneInterval {
		s.prunedAt = now
		s.dir.Prune(now)
		s.detector.Prune(now)
	}
}

// updateRoles determines, from the membership, who opens flows of cold upstreams
// and whether this balancer reads the store.
func (s *syncer) updateRoles(now time.Time) {
	if t := s.tracker.Table(); t != s.table {
		s.logMembers(now, t)
		s.noteRotation(now, s.table, t)
		s.table = t
		s.daemon.owners.Store(member.NewTable(t.Members()))
		s.tracker.SetContacts(s.contacts())
	}
	o := &s.daemon.options
	if leads := rollout.Leads(s.table, o.Name); leads != s.daemon.leads.Load() {
		s.daemon.leads.Store(leads)
		s.daemon.log.Info(now, "store: leading reader changed", logs.F("leads", leads))
	}
	reads := readerPolicy.Reads(s.table, o.Name, o.Zone, s.tracker.PlatformAge(now), s.dir.Position().Revision > 0) ||
		readerPolicy.Replaces(s.table, o.Name, o.Zone, func(m *member.Member) bool {
			return s.tracker.SilentFor(now, m.Incarnation) >= candidateSilence
		})
	reads = s.lastReader.update(now, s) || reads
	if reads == s.isReader {
		return
	}
	s.isReader = reads
	s.daemon.log.Info(now, "store: reader role changed", logs.F("reads", reads), logs.F("age_ms", s.tracker.PlatformAge(now).Milliseconds()))
	select {
	case <-s.daemon.reads:
	default:
	}
	s.daemon.reads <- reads
}

// otherCandidates returns the other balancers of the zone that may read the store, and reports
// whether this one may.
func (s *syncer) otherCandidates() (others []member.Member, candidate bool) {
	candidates := readerPolicy.Candidates(s.table, s.daemon.options.Zone)
	isSelf := func(m member.Member) bool { return m.Incarnation == s.daemon.incarnation }
	if i := slices.IndexFunc(candidates, isSelf); i >= 0 {
		return slices.Delete(candidates, i, i+1), true
	}
	return candidates, false
}

// contacts returns the addresses that heartbeats go to since this balancer may read the store: those
// of the others that may.
func (s *syncer) contacts() []netip.AddrPort {
	if others, candidate := s.otherCandidates(); candidate {
		return relays(others)
	}
	return nil
}

func (s *syncer) logMembers(now time.Time, next *member.Table) {
	known := make(map[uint64]member.State)
	if s.table != nil {
		for _, m := range s.table.Members() {
			known[m.Incarnation] = m.State
		}
	}
	var states [peerStateCount]int64
	for _, m := range next.Members() {
		states[m.State]++
		state, ok := known[m.Incarnation]
		if !ok || state == member.Dead && m.State != member.Dead {
			s.welcome(now, &m)
		}
		if !ok || state != m.State {
			s.daemon.log.Info(now, "peer: "+m.State.String(), logs.F("peer", m.Name), logs.F("peer_zone", m.Zone), logs.F("incarnation", m.Incarnation))
		}
	}
	for i := range states {
		s.daemon.counters.peers[i].Store(states[i])
	}
}

// handleDatagram handles a datagram of a peer: changes, reports on the health of
// upstreams, or a heartbeat.
func (s *syncer) handleDatagram(ctx context.Context, now time.Time, from netip.AddrPort, data []byte) {
	switch {
	case wire.IsDelta(data):
		s.handleDelta(ctx, now, from, data)
		return
	case wire.IsHealth(data):
		s.handleHealth(now, from, data)
		return
	case wire.IsVerification(data):
		s.handleVerification(from, data)
		return
	case wire.IsVerificationAnswer(data):
		s.handleVerificationAnswer(from, data)
		return
	case wire.IsLoadReport(data) || wire.IsLoadDigest(data):
		s.loads.handleDatagram(now, data)
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
	s.notePosition(now, directory.Position{
		Era:      h.Digest,
		Revision: uint64(h.Sender.Version),
	}, h.Sender.Control)
}

// handleDelta applies changes that a peer relays. If they do not follow the known
// revision, it pulls the missing ones from a peer.
func (s *syncer) handleDelta(ctx context.Context, now time.Time, from netip.AddrPort, data []byte) {
	delta, origin, err := wire.ParseDelta(now, data)
	if err != nil {
		s.daemon.counters.malformed.Add(1)
		return
	}
	if err := s.apply(now, delta, origin, "peer"); err != nil {
		s.notePosition(now, delta.Position(), from)
		s.pull(ctx, now)
	}
}

// notePosition records that a peer has a position. Of the peers that are ahead,
// one picked at random is asked for changes: the reader is always the furthest
// ahead, so picking the latest position would make all balancers ask it.
func (s *syncer) notePosition(now time.Time, p directory.Position, peer netip.AddrPort) {
	p = s.dir.Normalize(p)
	if s.mergePulls > 0 && p.Era == s.dir.Position().Era {
		s.mergePeer = peer
	}
	if !p.After(s.dir.Position()) {
		return
	}
	if !s.peerPosition.After(s.dir.Position()) {
		s.behindSince = now
		s.announcements = 0
	}
	if p.Era < s.peerPosition.Era {
		return
	}
	if p.Era > s.peerPosition.Era {
		s.announcements = 0
	}
	if p.After(s.peerPosition) {
		s.peerPosition = p
	}
	s.announcements++
	if rand.IntN(s.announcements) == 0 {
		s.pullPeer = peer
	}
}

// catchUp pulls changes that should have arrived by now, and what peers retain from
// earlier eras.
func (s *syncer) catchUp(ctx context.Context, now time.Time) {
	switch {
	case s.pulling:
	case s.peerPosition.After(s.dir.Position()):
		if now.Sub(s.behindSince) >= pullDelay {
			s.pull(ctx, now)
		}
	case s.mergePulls > 0 && s.mergePeer.IsValid():
		s.merging = true
		s.pullPeer, s.mergePeer = s.mergePeer, netip.AddrPort{}
		s.pull(ctx, now)
	}
}

// pull fetches changes from a peer that is ahead.
func (s *syncer) pull(ctx context.Context, now time.Time) {
	if s.pulling {
		return
	}
	s.pulling = true
	peer, since := s.pullPeer, s.dir.Position()
	if s.peerPosition.After(since) && s.peerPosition.Era != since.Era {
		// Another era takes a complete listing.
		since = directory.Position{}
	}
	// If the peer does not answer, the next pull waits until a peer announces the
	// position again.
	s.peerPosition = s.dir.Position()
	s.behindSince = now
	d := s.daemon
	d.tasks.Go(func() {
		delta, err := d.fetchChanges(ctx, peer, since, pullTimeout)
		if err != nil {
			d.log.Warn(time.Now(), "peer: can't get changes", logs.F("peer_address", peer), logs.F("error", err.Error()))
		}
		d.postWait(ctx, func(now time.Time) { s.finishPull(now, delta) })
	})
}

// finishPull applies the answer of a peer; delta is nil if there was none.
func (s *syncer) finishPull(now time.Time, delta *directory.Delta) {
	s.pulling = false
	if s.merging && delta != nil {
		s.mergePulls--
	}
	s.merging = false
	if delta != nil {
		s.applyPeerDelta(now, delta)
	}
}

// applyPeerDelta applies a peer's delta, including its record of hosts whose
// entries are gone and of items of earlier eras.
func (s *syncer) applyPeerDelta(now time.Time, delta *directory.Delta) {
	if err := s.apply(now, delta, s.daemon.incarnation, "peer"); err != nil {
		s.daemon.log.Warn(now, "peer: changes do not follow the known revision", logs.F("base", delta.Base))
	}
	s.changed(now, s.dir.Merge(now, delta), "peer")
}
