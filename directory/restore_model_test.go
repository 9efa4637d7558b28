package directory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Times of the model's hosts and operator.
const (
	modelHeartbeat = time.Second
	modelLease     = 3 * modelHeartbeat
	modelDrain     = 4 * time.Second
	// modelOutage is the silence that balancers take for an outage of the store.
	modelOutage = 3 * time.Second
	modelTick   = 250 * time.Millisecond
)

// A zoneWord is what the operator has last said of a zone; later words have higher stamps.
type zoneWord struct {
	stamp int
	out   bool
}

// A storeState is the content of the store.
type storeState struct {
	era, revision uint64
	items         map[Key]Item
	words         map[string]zoneWord
	takenAt       time.Time
}

func (s *storeState) clone() *storeState {
	c := *s
	c.items, c.words = maps.Clone(s.items), maps.Clone(s.words)
	return &c
}

func (s *storeState) listing() *Delta {
	return &Delta{
		Era:      s.era,
		Revision: s.revision,
		Items:    slices.Collect(maps.Values(s.items)),
	}
}

// A modelHost is a host that writes its entry.
type modelHost struct {
	id, zone string
	alive    bool
	draining bool
	born     time.Time
	seq      int64
	writeAt  time.Time
	leaveAt  time.Time
}

// A modelReplica is a balancer: a directory and its reader.
type modelReplica struct {
	dir *Directory
	// position is the reader's, and call the answer that is under way.
	position Position
	call     *modelCall
	relist   bool
	cut      bool
	// answered, outage, outageStart, lapseGraceEnd and enteredAt are as in the syncer.
	answered, outageStart, lapseGraceEnd, enteredAt time.Time
	outage                                          bool

	// What the invariants compare with.
	plan   uint64
	zones  map[string]zoneWord
	barred map[string]*Upstream
	// knownAt is when the replica last had a record of a start of a host.
	knownAt map[string]time.Time
}

type modelCall struct {
	delta  *Delta
	listed bool
	err    error
}

// A modelMessage is a delta on its way to a replica; zones is what its sender knew.
type modelMessage struct {
	to    int
	relay bool
	delta *Delta
	zones map[string]zoneWord
}

// A restoreModel is a store with its hosts, operator, and balancers.
type restoreModel struct {
	t        *rapid.T
	now      time.Time
	store    *storeState
	log      []Item
	logBase  uint64
	leases   map[Key]time.Time
	copies   []*storeState
	restored map[uint64]time.Time
	// at holds the words on zones as of each position.
	at        map[Position]map[string]zoneWord
	stamp     int
	plan      uint64
	zonesOut  map[string]bool
	rewriteAt time.Time
	hosts     []*modelHost
	replicas  []*modelReplica
	messages  []modelMessage
}

func newRestoreModel(t *rapid.T) *restoreModel {
	m := &restoreModel{
		t:        t,
		now:      start,
		leases:   make(map[Key]time.Time),
		restored: make(map[uint64]time.Time),
		at:       make(map[Position]map[string]zoneWord),
		zonesOut: make(map[string]bool),
		store: &storeState{
			era:   FirstEra,
			items: make(map[Key]Item),
			words: make(map[string]zoneWord),
		},
	}
	for n := range 4 {
		m.hosts = append(m.hosts, &modelHost{
			id:   fmt.Sprintf("%x", n+1),
			zone: []string{"a", "b"}[n%2],
		})
	}
	m.publishPlan()
	m.copyStore()
	for range rapid.IntRange(3, 4).Draw(t, "replicas") {
		r := &modelReplica{}
		r.start(m.now)
		m.replicas = append(m.replicas, r)
	}
	return m
}

func (r *modelReplica) start(now time.Time) {
	*r = modelReplica{
		dir:      New(),
		cut:      r.cut,
		answered: now,
		zones:    make(map[string]zoneWord),
		barred:   make(map[string]*Upstream),
		knownAt:  make(map[string]time.Time),
	}
}

// write changes the store; a deleted item is only logged.
func (m *restoreModel) write(i Item) {
	m.store.revision++
	i.Revision = m.store.revision
	m.log = append(m.log, i)
	if i.Deleted {
		delete(m.store.items, i.Key)
	} else {
		m.store.items[i.Key] = i
	}
	if i.Key.Kind == KindZoneOut {
		m.stamp++
		m.store.words[i.Key.Name] = zoneWord{
			stamp: m.stamp,
			out:   !i.Deleted,
		}
	}
	m.notePosition()
}

func (m *restoreModel) notePosition() {
	m.at[Position{
		Era:      m.store.era,
		Revision: m.store.revision,
	}] = maps.Clone(m.store.words)
}

func (m *restoreModel) copyStore() {
	c := m.store.clone()
	c.takenAt = m.now
	m.copies = append(m.copies, c)
	m.copies = m.copies[max(0, len(m.copies)-3):]
}

// restore replaces the store's content by a copy.
func (m *restoreModel) restore() {
	era := m.store.era + 1
	m.store = rapid.SampledFrom(m.copies).Draw(m.t, "copy").clone()
	m.store.era = era
	m.log, m.logBase = nil, m.store.revision
	clear(m.leases)
	for k := range m.store.items {
		m.leases[k] = m.now.Add(modelLease)
	}
	m.restored[era] = m.now
	m.rewriteAt = m.now.Add(m.draw("rewrite", 0, 2000))
	m.notePosition()
}

func (m *restoreModel) draw(label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(m.t, label)) * time.Millisecond
}

// writeHost writes a host's entry, which changes only if more than its sequence does.
func (m *restoreModel) writeHost(h *modelHost) {
	h.seq++
	h.writeAt = m.now.Add(modelHeartbeat)
	i := upstream(h.id, 0, func(u *Upstream) {
		u.Zone, u.Draining, u.StartedAt, u.Sequence = h.zone, h.draining, h.born, h.seq
	})
	m.leases[i.Key] = m.now.Add(modelLease)
	old, ok := m.store.items[i.Key]
	if !ok || old.Upstream.Draining != h.draining || !old.Upstream.StartedAt.Equal(h.born) {
		m.write(i)
	}
}

func (m *restoreModel) publishPlan() {
	m.plan += uint64(rapid.IntRange(1, 3).Draw(m.t, "plan"))
	m.write(planOf(m.plan, 0))
}

// rewrite writes again what the operator has last written, if the store lacks it.
func (m *restoreModel) rewrite() {
	if i, ok := m.store.items[Key{Kind: KindPlan}]; !ok || i.Plan.Version < m.plan {
		m.write(planOf(m.plan, 0))
	}
	for _, z := range []string{"a", "b"} {
		m.setZone(z, m.zonesOut[z])
	}
}

func (m *restoreModel) setZone(zone string, out bool) {
	m.zonesOut[zone] = out
	i := zoneOut(zone, 0, !out)
	if _, is := m.store.items[i.Key]; is != out {
		m.write(i)
	}
}

// changeHost starts, drains or ends a host.
func (m *restoreModel) changeHost() {
	h := rapid.SampledFrom(m.hosts).Draw(m.t, "host")
	switch {
	case !h.alive:
		h.alive, h.draining, h.born, h.seq = true, false, m.now, 0
		m.writeHost(h)
	case rapid.Bool().Draw(m.t, "crash"):
		h.alive = false
	case !h.draining:
		h.draining, h.leaveAt = true, m.now.Add(modelDrain)
		m.writeHost(h)
	}
}

// pass lets time pass.
func (m *restoreModel) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(min(modelTick, end.Sub(m.now)))
		if !m.rewriteAt.IsZero() && !m.now.Before(m.rewriteAt) {
			m.rewriteAt = time.Time{}
			m.rewrite()
		}
		for _, h := range m.hosts {
			m.passHost(h)
		}
		for _, h := range m.hosts {
			k := upstreamKey(h.id)
			if _, ok := m.store.items[k]; ok && !m.now.Before(m.leases[k]) {
				m.write(deleted(h.id, 0))
			}
		}
		for _, r := range m.replicas {
			r.tick(m.now)
		}
		m.check()
	}
}

func (m *restoreModel) passHost(h *modelHost) {
	if !h.alive || m.now.Before(h.writeAt) {
		return
	}
	if h.draining && !m.now.Before(h.leaveAt) {
		h.alive = false
		i := deleted(h.id, 0)
		if _, ok := m.store.items[i.Key]; ok {
			m.write(i)
		}
		return
	}
	m.writeHost(h)
}

// tick does what the syncer does as time goes.
func (r *modelReplica) tick(now time.Time) {
	if !r.cut {
		r.answered = now
	}
	age := now.Sub(r.answered)
	switch silent := age > modelOutage; {
	case silent && !r.outage:
		r.outage, r.outageStart = true, r.answered
	case !silent && r.outage:
		r.outage, r.lapseGraceEnd = false, now.Add(LapseGracePeriod)
		r.dir.ExtendRetention(now)
	}
	r.dir.Settle(now, r.answered)
	r.dir.Prune(now)
}

// lapsed is the syncer's function for View.
func (r *modelReplica) lapsed(now time.Time) func(*Upstream) bool {
	return func(u *Upstream) bool {
		outage := u.DepartedAt.After(r.outageStart) && (r.outage || now.Before(r.lapseGraceEnd))
		copied := !u.DepartedAt.Before(r.enteredAt) && now.Before(r.enteredAt.Add(LapseGracePeriod))
		return u.Lapsed && (outage || copied)
	}
}

// read makes a call to the store, whose answer may come late.
func (m *restoreModel) read(r *modelReplica) {
	if r.cut || r.call != nil {
		return
	}
	if p := r.dir.Position(); p.After(r.position) {
		r.position = p
	}
	after := r.position.Revision
	switch {
	case r.relist:
		r.call = &modelCall{
			delta:  m.store.listing(),
			listed: true,
		}
	case after == 0:
		s := m.store
		if c := m.copies[len(m.copies)-1]; rapid.Bool().Draw(m.t, "stale") && m.now.Sub(c.takenAt) < 5*time.Second {
			s = c
		}
		r.call = &modelCall{
			delta:  s.listing(),
			listed: true,
		}
	case after > m.store.revision || after < m.logBase:
		r.call = &modelCall{err: ErrCompacted}
	default:
		r.call = &modelCall{delta: m.changesAfter(after)}
	}
}

func (m *restoreModel) changesAfter(after uint64) *Delta {
	d := &Delta{
		Era:      m.store.era,
		Base:     after,
		Revision: m.store.revision,
	}
	for _, i := range m.log {
		if i.Revision > after {
			d.Items = append(d.Items, i)
		}
	}
	return d
}

// answer handles the answer of a call as the reader does.
func (m *restoreModel) answer(r *modelReplica) {
	c := r.call
	r.call = nil
	switch {
	case c == nil || r.cut:
	case c.err != nil || !c.listed && c.delta.Era > r.position.Era:
		r.relist = true
	case r.position.Revision > 0 && c.listed && r.position.After(c.delta.Position()):
		r.relist = false
	case c.delta.Era < r.position.Era:
	default:
		r.relist = false
		if c.delta.Position().After(r.position) {
			r.position = c.delta.Position()
		}
		m.apply(r, c.delta, true)
	}
}

// apply applies a delta as the syncer does, and relays changes read from the store.
func (m *restoreModel) apply(r *modelReplica, delta *Delta, relay bool) {
	before := r.dir.Position()
	changed, err := r.dir.Apply(m.now, delta)
	after := r.dir.Position()
	if before.Revision > 0 && after.Era != before.Era {
		r.enteredAt = m.now
	}
	if after.After(before) {
		r.learn(m.wordsOf(delta))
	}
	if err != nil || !relay || len(changed) == 0 || before.Revision == 0 {
		return
	}
	since := r.dir.Since(before)
	if since.Base != before.Revision {
		return
	}
	for to := range m.replicas {
		for _, part := range splitByItem(since) {
			m.messages = append(m.messages, modelMessage{
				to:    to,
				relay: true,
				delta: part,
			})
		}
	}
}

// splitByItem splits a delta into consecutive ones.
func splitByItem(d *Delta) []*Delta {
	var all []*Delta
	base := d.Base
	for n, i := range d.Items {
		part := &Delta{
			Era:      d.Era,
			Base:     base,
			Revision: min(i.Revision, d.Revision),
			Items:    []Item{i},
		}
		if n == len(d.Items)-1 {
			part.Revision = d.Revision
		}
		base = part.Revision
		all = append(all, part)
	}
	return all
}

// wordsOf returns the words on zones that a delta tells: all as of a listing's position, or
// those of its items, as later changes may have replaced others.
func (m *restoreModel) wordsOf(d *Delta) map[string]zoneWord {
	if d.Base == 0 {
		return m.at[d.Position()]
	}
	words := make(map[string]zoneWord)
	for _, i := range d.Items {
		if i.Key.Kind == KindZoneOut {
			words[i.Key.Name] = m.at[Position{
				Era:      d.Era,
				Revision: i.Revision,
			}][i.Key.Name]
		}
	}
	return words
}

func (r *modelReplica) learn(words map[string]zoneWord) {
	for z, w := range words {
		if w.stamp > r.zones[z].stamp {
			r.zones[z] = w
		}
	}
}

// pull lets a replica ask another for what it knows.
func (m *restoreModel) pull(to, from int, since Position) {
	r, p := m.replicas[to], m.replicas[from]
	if to == from || r.cut || p.cut {
		return
	}
	msg := modelMessage{
		to:    to,
		delta: p.dir.Since(since),
		zones: make(map[string]zoneWord),
	}
	if msg.delta.Revision == 0 {
		return
	}
	for _, i := range msg.delta.Retained {
		if i.Item.Key.Kind == KindZoneOut {
			msg.zones[i.Item.Key.Name] = p.zones[i.Item.Key.Name]
		}
	}
	m.messages = append(m.messages, msg)
}

func (m *restoreModel) deliver(msg modelMessage) {
	r := m.replicas[msg.to]
	if r.cut {
		return
	}
	era := r.dir.Position().Era
	before, position := r.dir.inForce(), r.dir.Position()
	m.apply(r, msg.delta, false)
	if !msg.relay {
		r.dir.Merge(m.now, msg.delta)
		if msg.delta.Era == r.dir.era {
			r.learn(msg.zones)
		}
	}
	if msg.delta.Era < era {
		require.Equal(m.t, position, r.dir.Position())
		m.checkOldEra(before, r.dir.inForce())
	}
}

func upstreamKey(id string) Key {
	return Key{
		Kind: KindUpstream,
		Name: id,
	}
}

// inForce returns a copy of the items in force.
func (d *Directory) inForce() map[Key]Item {
	all := make(map[Key]Item)
	for k, i := range d.currentItems() {
		all[k] = *i
	}
	return all
}

// checkOldEra checks what a delta of an old era has changed.
func (m *restoreModel) checkOldEra(before, after map[Key]Item) {
	for k, i := range after {
		old, known := before[k]
		if known && i.equivalent(&old) {
			continue
		}
		switch k.Kind {
		case KindPlan:
			require.True(m.t, !known || i.Plan.Version > old.Plan.Version, "an old era's plan")
		case KindZoneOut:
			require.False(m.t, i.Deleted, "an old era puts zone %s back", k.Name)
		case KindUpstream:
			require.True(m.t, !known && i.Deleted || known && i.laterThan(&old), "an old era changes host %s: %+v to %+v", k.Name, old.Upstream, i.Upstream)
		}
	}
	for k := range before {
		require.Contains(m.t, after, k, "an old era removes an item")
	}
}

// check checks the invariants of all replicas.
func (m *restoreModel) check() {
	for n, r := range m.replicas {
		m.checkReplica(n, r)
	}
}

func (m *restoreModel) checkReplica(n int, r *modelReplica) {
	v := r.dir.View(m.now, r.lapsed(m.now))
	if v.Plan != nil {
		require.GreaterOrEqual(m.t, v.Plan.Version, r.plan, "replica %d: plan in force", n)
		r.plan = v.Plan.Version
	}
	entered, restored := m.restored[r.dir.era]
	settled := restored && r.answered.Sub(entered) >= RetentionPeriod
	for z, w := range r.zones {
		require.True(m.t, !w.out || v.ZoneOut(z) || settled, "replica %d: zone %s is in use", n, z)
		// Once settled, the store's word counts in later eras, too.
		w.out = w.out && v.ZoneOut(z)
		r.zones[z] = w
	}
	for _, u := range r.dir.View(m.now, noneLapsed).Eligible("board") {
		b := r.barred[u.ID]
		require.True(m.t, b == nil || u.writtenAfter(b) || settled, "replica %d: host %s is eligible: %+v after %+v", n, u.ID, u, b)
		delete(r.barred, u.ID)
	}
	for _, u := range v.Eligible("board") {
		b := r.barred[u.ID]
		require.True(m.t, b == nil || !b.Draining || u.writtenAfter(b) || settled, "replica %d: host %s counts as lapsed: %+v after %+v", n, u.ID, u, b)
	}
	for k, i := range r.dir.inForce() {
		u := i.Upstream
		if u == nil {
			continue
		}
		if b := r.barred[k.Name]; (u.Draining || i.Deleted) && (b == nil || !b.writtenAfter(u)) {
			r.barred[k.Name] = u
		}
	}
	for _, h := range m.hosts {
		ticket := (&Upstream{ID: h.id}).Ticket()
		start := h.id + h.born.String()
		known, ok := r.knownAt[start]
		if u := v.ByTicket(ticket); u != nil {
			if u.StartedAt.Equal(h.born) {
				r.knownAt[start] = m.now
			}
			continue
		}
		require.False(m.t, h.alive && ok && m.now.Sub(known) < DepartedRetention, "replica %d: host %s has no record", n, h.id)
	}
}

// step does one of the things that happen.
func (m *restoreModel) step() {
	n := rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "replica")
	r := m.replicas[n]
	m.now = m.now.Add(time.Millisecond)
	switch rapid.SampledFrom([]string{
		"pass", "pass", "follow", "follow", "follow", "follow", "read", "answer", "pull", "sync", "sync", "deliver", "deliver",
		"plan", "host", "host", "host", "zone", "copy", "copy", "restore", "cut", "start", "skip",
	}).Draw(m.t, "step") {
	case "pass":
		m.pass(m.draw("pass", 50, 2000))
	case "skip":
		m.pass(m.draw("skip", 2000, 40000))
	case "follow":
		m.follow(r)
	case "sync":
		m.pull(n, rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "peer"), r.dir.Position())
		m.deliverLast()
	case "read":
		m.read(r)
	case "answer":
		m.answer(r)
	case "pull":
		since := r.dir.Position()
		if rapid.Bool().Draw(m.t, "whole") {
			since = Position{}
		}
		m.pull(n, rapid.IntRange(0, len(m.replicas)-1).Draw(m.t, "peer"), since)
	case "deliver":
		m.deliverAny()
	case "plan":
		m.publishPlan()
	case "host":
		m.changeHost()
	case "zone":
		m.setZone(rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "zone"), rapid.Bool().Draw(m.t, "out"))
	case "copy":
		m.copyStore()
	case "restore":
		m.restore()
	case "cut":
		r.cut = !r.cut
	case "start":
		r.start(m.now)
	}
	m.check()
}

// follow lets a replica read all changes: a watch, a listing if that is needed, and the
// answer of an earlier call.
func (m *restoreModel) follow(r *modelReplica) {
	for range 3 {
		m.read(r)
		m.answer(r)
	}
}

// deliverLast delivers the message that was sent last.
func (m *restoreModel) deliverLast() {
	if n := len(m.messages) - 1; n >= 0 {
		msg := m.messages[n]
		m.messages = m.messages[:n]
		m.deliver(msg)
	}
}

// deliverAny delivers any message, which may come again, or loses it.
func (m *restoreModel) deliverAny() {
	if len(m.messages) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.messages)-1).Draw(m.t, "message")
	msg := m.messages[n]
	fate := rapid.SampledFrom([]string{"arrives", "arrives twice", "is lost"}).Draw(m.t, "fate")
	if fate != "arrives twice" {
		m.messages = slices.Delete(m.messages, n, n+1)
	}
	if fate != "is lost" {
		m.deliver(msg)
	}
}

// finish lets all calls and messages arrive, until RetentionPeriod has passed.
func (m *restoreModel) finish() {
	for _, r := range m.replicas {
		r.cut = false
	}
	for _, msg := range m.messages {
		m.deliver(msg)
	}
	m.messages = nil
	for end := m.now.Add(2*RetentionPeriod + modelDrain); m.now.Before(end); {
		for n, r := range m.replicas {
			m.follow(r)
			m.messages = nil
			m.pull(n, (n+1)%len(m.replicas), r.dir.Position())
			for _, msg := range m.messages {
				m.deliver(msg)
			}
			m.messages = nil
			m.check()
		}
		m.pass(modelHeartbeat)
	}
}

// checkAgreement checks that all replicas agree with the store.
func (m *restoreModel) checkAgreement() {
	var hosts []string
	for _, h := range m.hosts {
		if h.alive && !h.draining && !m.zonesOut[h.zone] {
			hosts = append(hosts, h.id)
		}
	}
	for n, r := range m.replicas {
		v := r.dir.View(m.now, r.lapsed(m.now))
		require.Equal(m.t, m.plan, v.Plan.Version, "replica %d", n)
		for _, z := range []string{"a", "b"} {
			require.Equal(m.t, m.zonesOut[z], v.ZoneOut(z), "replica %d: zone %s", n, z)
		}
		var ids []string
		for _, u := range v.Eligible("board") {
			ids = append(ids, u.ID)
		}
		require.Equal(m.t, hosts, ids, "replica %d", n)
	}
}

// TestRestoredStoreModel checks what balancers have in force while a store is restored from
// copies, hosts and an operator write again, and messages are late, lost or doubled.
func TestRestoredStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step()
		}
		m.finish()
		m.checkAgreement()
	})
}
