package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
)

const (
	// packetBufferSize is the size of the receive buffer of the socket for
	// clients' packets, in bytes.
	packetBufferSize = 1 << 20
	// maxDatagramSize is the size of the largest datagram that is read, in bytes.
	maxDatagramSize = 2048
	// maxQueuedPackets is the number of packets that are handled before an inquiry is
	// answered. A balancer that has more waiting runs behind and does not answer.
	maxQueuedPackets = 128
)

// forwardPackets handles clients' packets until ctx ends. Only its goroutine uses
// the forwarder.
func (d *Daemon) forwardPackets(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.packets.Close() })
	defer stop()
	d.awaitView(ctx)
	t, err := newPacketHandler(d)
	if err != nil {
		d.log.Warn(time.Now(), "packets: can't read", logs.F("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		t.handleNext()
	}
}

// awaitView waits for the first view, for firstViewTimeout at most.
func (d *Daemon) awaitView(ctx context.Context) {
	timer := time.NewTimer(firstViewTimeout)
	defer timer.Stop()
	select {
	case <-d.firstView:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Owns reports whether this balancer opens the flows of a cold upstream. Only the
// packet handler's goroutine may call it.
func (d *Daemon) Owns(u *directory.Upstream) bool {
	t := d.owners.Load()
	if t == nil {
		return false
	}
	m, ok := t.Keeper(uint32(u.Ticket()), u.Zone)
	return ok && m.Name == d.options.Name
}

// A packetHandler reads clients' packets and carries out the forwarder's
// decisions. Only one goroutine uses it.
type packetHandler struct {
	daemon    *Daemon
	forwarder *flow.Forwarder
	reader    *packetReader
	buffer    []byte
	reset     []byte
	packet    flow.Packet
	emptyView directory.View
	// resumedAt is the daemon's resumedAt that was handled last.
	resumedAt int64
	// held holds the datagrams of packets that the forwarder holds, with headroom.
	held map[flow.ID][]byte
	// wakeAt is when waker wakes the packet handler next; zero if it does not.
	wakeAt time.Time
	waker  *time.Timer
	// giving holds the services and zones that the own zone gives new flows to.
	// grewAt is when the syncer was last told that the load has grown.
	grewAt time.Time
	giving map[giving]bool
}

func newPacketHandler(d *Daemon) (*packetHandler, error) {
	reader, err := newPacketReader(d.packets)
	options := []flow.Option{flow.WithInquiries(), flow.WithLookups(d), flow.WithVerification()}
	if d.options.Load.Share {
		sharing := d.options.Load.Sharing
		sharing.Seed = rand.Uint64()
		options = append(options, flow.WithSharing(sharing))
	}
	return &packetHandler{
		daemon:    d,
		forwarder: flow.New(time.Now(), d.options.Zone, d, options...),
		reader:    reader,
		buffer:    make([]byte, maxDatagramSize),
		held:      make(map[flow.ID][]byte),
	}, err
}

// handleNext waits for a packet and handles it.
func (t *packetHandler) handleNext() {
	n, err := t.reader.Read(t.buffer[t.daemon.options.Headroom:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.handleWake()
		return
	}
	if err != nil {
		t.recordReadError(err)
		return
	}
	t.handlePacket(n)
}

// handleQueued handles the packets that have arrived, maxQueuedPackets at most. It
// reports whether these were all.
func (t *packetHandler) handleQueued() (drained bool) {
	for range maxQueuedPackets {
		n, ok, err := t.reader.TryRead(t.buffer[t.daemon.options.Headroom:])
		switch {
		case err != nil:
			t.recordReadError(err)
			return false
		case !ok:
			return true
		}
		t.handlePacket(n)
	}
	return false
}

func (t *packetHandler) recordReadError(err error) {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	t.daemon.counters.socketErrors.Add(1)
	t.daemon.log.Warn(time.Now(), "packets: can't read", logs.F("error", err.Error()))
}

// handlePacket handles a packet of n bytes that was read into the buffer.
func (t *packetHandler) handlePacket(n int) {
	d, headroom := t.daemon, t.daemon.options.Headroom
	now := time.Now()
	if err := d.options.Codec.Parse(t.buffer[headroom:headroom+n], &t.packet); err != nil {
		d.counters.malformed.Add(1)
		d.log.Warn(now, "packets: malformed", logs.F("size", n))
		return
	}
	view := t.view()
	t.checkResumed(now)
	t.packet.Delayed = t.reader.Delayed()
	t.forwarder.HandleBacklog(now, t.reader.Waited(now))
	decision := t.forwarder.Forward(now, view, &t.packet)
	if time.Since(now) >= minStall {
		decision = flow.Decision{Reason: flow.ReasonDelayed}
	}
	t.execute(n, &decision)
	t.applyOutcomes(now, view)
	d.counters.recordDecision(&decision, time.Since(now), t.forwarder.Flows())
	t.logDecision(now, n, view, &decision)
	t.exchangeOpenings(now)
}

// view returns the current view of the directory, or an empty one if there is
// none.
func (t *packetHandler) view() *directory.View {
	if v := t.daemon.view.Load(); v != nil {
		return v
	}
	return &t.emptyView
}

// handleWake handles notices and due timers between two packets.
func (t *packetHandler) handleWake() {
	// Clear the deadline first: any wake-up after this ends the next read.
	if err := t.daemon.packets.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	t.wakeAt = time.Time{}
	t.checkResumed(time.Now())
	t.applyPeerNotices()
	now, view := time.Now(), t.view()
	t.forwarder.Advance(now, view)
	t.applyOutcomes(now, view)
	t.exchangeOpenings(now)
}

// applyOutcomes carries out what the forwarder has decided apart from the packet
// itself: resets, reports, probes and state changes.
func (t *packetHandler) applyOutcomes(now time.Time, view *directory.View) {
	t.sendResets(now)
	t.sendVerifications()
	t.sendReports()
	t.queueProbes(now)
	t.logStateChanges(now, view)
	if t.forwarder.LoadGrew() && now.Sub(t.grewAt) >= growthInterval {
		t.grewAt = now
		t.daemon.post(func(now time.Time) { t.daemon.syncer.loads.handleGrowth(now) })
	}
}

// growthInterval is the least time between two notices that the load has grown.
const growthInterval = 500 * time.Millisecond

// queueProbes queues probes of upstreams that have not answered in time, and
// schedules a wake-up for when the next answers are due.
func (t *packetHandler) queueProbes(now time.Time) {
	for _, u := range t.forwarder.UpstreamsToProbe() {
		if !t.daemon.isDraining(u.Ticket()) {
			t.daemon.probeQueue.Offer(u)
		}
	}
	if next := t.forwarder.NextTimer(); !next.IsZero() {
		t.scheduleWake(now, next)
	}
}

// scheduleWake wakes the packet handler at next, unless it wakes before that. A first packet that
// waits for admission may be due before what was known until then.
func (t *packetHandler) scheduleWake(now, next time.Time) {
	switch {
	case t.waker == nil:
		t.waker = time.AfterFunc(next.Sub(now), t.daemon.wakePacketHandler)
	case t.wakeAt.IsZero() || next.Before(t.wakeAt):
		t.waker.Reset(next.Sub(now))
	default:
		return
	}
	t.wakeAt = next
}

// checkResumed tells the forwarder if the process has been stalled or suspended: clients may have
// opened flows by other balancers meanwhile. The boot-time clock takes a system call, so it is read
// only for packets that would open flows.
func (t *packetHandler) checkResumed(now time.Time) {
	d := t.daemon
	d.checkStall(now, false)
	if len(t.held) > 0 || t.packet.Flags.Has(flow.FlagOpen) {
		d.checkSuspension(now)
	}
	if resumedAt := d.resumedAt.Load(); resumedAt != t.resumedAt {
		t.resumedAt = resumedAt
		t.forwarder.HandleResume(now)
		t.reader.MarkDelayed()
		d.log.Warn(now, "daemon: process was stalled")
	}
}

// execute carries out a decision.
func (t *packetHandler) execute(n int, decision *flow.Decision) {
	d := t.daemon
	var err error
	switch decision.Action {
	case flow.Forward:
		out := t.buffer[:d.options.Headroom+n]
		d.options.Codec.Readdress(out, decision.Upstream, decision.Ticket)
		_, err = d.packets.WriteToUDPAddrPort(out, decision.Upstream.Address)
	case flow.Reject:
		err = t.sendReset(&t.packet)
	case flow.Hold:
		t.held[flow.ID{
			Client:   t.packet.Client,
			Service:  t.packet.Service,
			Sequence: t.packet.Sequence,
		}] = slices.Clone(t.buffer[:d.options.Headroom+n])
	case flow.Drop:
	}
	t.recordSendError(err)
}

// sendReset resets the flow of a client's packet.
func (t *packetHandler) sendReset(p *flow.Packet) error {
	reset, to := t.daemon.options.Codec.AppendReset(t.reset[:0], p)
	t.reset = reset
	_, err := t.daemon.packets.WriteToUDPAddrPort(reset, to)
	return err
}

// recordSendError counts and logs the error of sending a datagram, if any. The
// datagram is not sent again: clients and upstreams retransmit.
func (t *packetHandler) recordSendError(err error) {
	if err == nil {
		return
	}
	t.daemon.counters.socketErrors.Add(1)
	t.daemon.log.Warn(time.Now(), "packets: can't send", logs.F("error", err.Error()))
}

// sendResets resets the flows of upstreams that were found dead.
func (t *packetHandler) sendResets(now time.Time) {
	resets := t.forwarder.Resets()
	for i := range resets {
		p := &resets[i]
		t.recordSendError(t.sendReset(&p.Packet))
		t.daemon.counters.abandoned.Add(1)
		t.daemon.log.Info(now, "flow: abandoned", logs.F("flow", p.Client.String()),
			logs.F("service_address", p.Service.String()), logs.F("ticket", uint32(p.Ticket)),
			logs.F("quiet_ms", p.Quiet.Milliseconds()))
	}
}

// logDecision logs a decision, unless the packet just follows its flow's ticket
// and starts no request with an ID.
func (t *packetHandler) logDecision(now time.Time, n int, v *directory.View, decision *flow.Decision) {
	log := t.daemon.log
	headroom := t.daemon.options.Headroom
	id, hasRequest := "", false
	if t.packet.Length > 0 {
		id, hasRequest = t.daemon.options.Codec.RequestID(t.buffer[headroom : headroom+n])
	}
	switch {
	case hasRequest:
		fields := append(t.fields(v, decision), logs.F("request", id), logs.F("repeats", decision.Retransmissions))
		log.Info(now, "flow: request", fields...)
	case decision.Reason != flow.ReasonTicket || decision.Action != flow.Forward:
		log.Info(now, "flow: "+decision.Action.String(), t.fields(v, decision)...)
	}
}

// logStateChanges logs the changes of the states of upstreams.
func (t *packetHandler) logStateChanges(now time.Time, v *directory.View) {
	for _, b := range t.forwarder.StateChanges() {
		t.daemon.counters.stateChanges[b.State].Add(1)
		t.daemon.log.Info(now, "upstream: "+b.State.String(), logs.F("upstream", b.Upstream.ID), logs.F("revision", v.Position.Revision),
			logs.F("silent_flows", b.SilentFlows), logs.F("silent_openings", b.SilentOpenings), logs.F("silence_ms", b.Silence.Milliseconds()),
			logs.F("shared", b.Shared))
	}
}

// fields returns the log fields of a decision and what it was based on.
func (t *packetHandler) fields(v *directory.View, decision *flow.Decision) []logs.Field {
	fields := []logs.Field{
		logs.F("flow", t.packet.Client.String()),
		logs.F("service_address", t.packet.Service.String()),
		logs.F("action", decision.Action.String()),
		logs.F("reason", decision.Reason.String()),
		logs.F("revision", v.Position.Revision),
		logs.F("store_age_ms", t.daemon.storeAge().Milliseconds()),
	}
	if v.Plan != nil {
		fields = append(fields, logs.F("plan", v.Plan.Version))
	}
	if decision.Upstream != nil {
		fields = append(fields, logs.F("upstream", decision.Upstream.ID), logs.F("upstream_zone", decision.Upstream.Zone),
			logs.F("flows", decision.Load.Flows), logs.F("working", decision.Load.ActiveRequests))
	}
	if decision.ZoneLoad > 0 {
		fields = append(fields, logs.F("zone_working", round(decision.ZoneLoad)))
	}
	if decision.Waited > 0 {
		fields = append(fields, logs.F("waited_ms", decision.Waited.Milliseconds()))
	}
	if decision.Service != "" {
		fields = append(fields, logs.F("service", decision.Service))
	}
	if decision.Candidates > 0 {
		fields = append(fields, logs.F("candidates", decision.Candidates))
	}
	if r := &decision.Room; r.Known {
		fields = append(fields, logs.F("priority", r.Priority), logs.F("own_working", round(r.Working)),
			logs.F("own_capacity", round(r.Capacity)), logs.F("own_limit", round(r.Limit)), logs.F("share", round(r.Share)),
			logs.F("load_age_ms", r.Age.Milliseconds()))
	}
	if decision.Reason == flow.ReasonUnknown {
		fields = append(fields, logs.F("ticket", uint32(t.packet.Ticket)))
	}
	return fields
}
