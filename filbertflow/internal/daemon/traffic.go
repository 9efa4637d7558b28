package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
)

const (
	// packetBuffer is the size of the socket's buffer for clients' packets, in
	// bytes.
	packetBuffer = 1 << 20
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 2048
)

// forward takes clients' packets until ctx ends. It alone uses the forwarder.
func (d *Daemon) forward(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = d.packets.Close() })
	defer stop()
	d.awaitView(ctx)
	t := &traffic{
		daemon:    d,
		forwarder: flow.New(time.Now(), d.options.Zone, d),
		buffer:    make([]byte, maxDatagram),
	}
	for ctx.Err() == nil {
		t.next()
	}
}

// awaitView waits for the first view.
func (d *Daemon) awaitView(ctx context.Context) {
	timer := time.NewTimer(firstViewTimeout)
	defer timer.Stop()
	select {
	case <-d.viewed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Owns reports whether this balancer opens the flows of a cold upstream. Only
// the goroutine of packets calls it.
func (d *Daemon) Owns(u *directory.Upstream) bool {
	t := d.owners.Load()
	if t == nil {
		return false
	}
	m, ok := t.Keeper(uint32(u.Ticket()), u.Zone)
	return ok && m.Name == d.options.Name
}

// traffic is the way of clients' packets through a daemon.
type traffic struct {
	daemon    *Daemon
	forwarder *flow.Forwarder
	buffer    []byte
	reset     []byte
	packet    flow.Packet
	empty     directory.View
	// resumed is the daemon's resumed that was taken last.
	resumed int64
	// waking tells that a timer will wake the goroutine of packets.
	waking bool
}

// next takes one packet.
func (t *traffic) next() {
	d := t.daemon
	room := d.options.Headroom
	n, err := d.packets.Read(t.buffer[room:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.wake()
		return
	}
	if err != nil {
		if !errors.Is(err, net.ErrClosed) {
			d.counters.socketErrors.Add(1)
			d.log.Warn(time.Now(), "packets: can't read", logs.F("error", err.Error()))
		}
		return
	}
	now := time.Now()
	if err := d.options.Codec.Parse(t.buffer[room:room+n], &t.packet); err != nil {
		d.counters.malformed.Add(1)
		d.log.Warn(now, "packets: malformed", logs.F("size", n))
		return
	}
	view := t.view()
	t.noteResumed(now)
	t.takeShared(now)
	decision := t.forwarder.Forward(now, view, &t.packet)
	t.act(n, &decision)
	t.settle(now, view)
	d.counters.decided(&decision, time.Since(now), t.forwarder.Flows())
	t.report(now, n, view, &decision)
}

// view returns what is known of the directory.
func (t *traffic) view() *directory.View {
	if v := t.daemon.view.Load(); v != nil {
		return v
	}
	return &t.empty
}

// wake takes peers' beliefs between two packets.
func (t *traffic) wake() {
	// Whatever comes or is due after this ends the next wait.
	if err := t.daemon.packets.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	now, view := time.Now(), t.view()
	t.waking = false
	t.noteResumed(now)
	t.takeShared(now)
	t.forwarder.Advance(now, view)
	t.settle(now, view)
}

// settle carries out what the forwarder has decided beside a packet's way.
func (t *traffic) settle(now time.Time, view *directory.View) {
	t.abandon(now)
	t.shareReports()
	t.probeDoubts(now)
	t.reportBeliefs(now, view)
}

// probeDoubts has upstreams probed that should have answered, and wakes when the
// next ones should have.
func (t *traffic) probeDoubts(now time.Time) {
	for _, u := range t.forwarder.UpstreamsToProbe() {
		t.daemon.probes.Offer(u)
	}
	if next := t.forwarder.NextTimer(); !next.IsZero() && !t.waking {
		t.waking = true
		time.AfterFunc(next.Sub(now), t.daemon.wakePackets)
	}
}

// noteResumed tells the forwarder where the process has not run for a while.
func (t *traffic) noteResumed(now time.Time) {
	d := t.daemon
	d.noteRunning(now, false)
	if resumed := d.resumed.Load(); resumed != t.resumed {
		t.resumed = resumed
		t.forwarder.HandleResume(now)
		d.log.Warn(now, "daemon: did not run for a while")
	}
}

// act carries a decision out.
func (t *traffic) act(n int, decision *flow.Decision) {
	d := t.daemon
	var err error
	switch decision.Action {
	case flow.Forward:
		out := t.buffer[:d.options.Headroom+n]
		d.options.Codec.Readdress(out, decision.Upstream, decision.Ticket)
		_, err = d.packets.WriteToUDPAddrPort(out, decision.Upstream.Address)
	case flow.Reject:
		err = t.sendReset(&t.packet)
	case flow.Drop:
	}
	t.sent(err)
}

// sendReset resets the flow of a client's packet.
func (t *traffic) sendReset(p *flow.Packet) error {
	reset, to := t.daemon.options.Codec.AppendReset(t.reset[:0], p)
	t.reset = reset
	_, err := t.daemon.packets.WriteToUDPAddrPort(reset, to)
	return err
}

// sent takes the error of a datagram that was sent, if any: the ends send again.
func (t *traffic) sent(err error) {
	if err == nil {
		return
	}
	t.daemon.counters.socketErrors.Add(1)
	t.daemon.log.Warn(time.Now(), "packets: can't send", logs.F("error", err.Error()))
}

// abandon resets the flows of upstreams that have been found dead.
func (t *traffic) abandon(now time.Time) {
	resets := t.forwarder.Resets()
	for i := range resets {
		p := &resets[i]
		t.sent(t.sendReset(p))
		t.daemon.counters.abandoned.Add(1)
		t.daemon.log.Info(now, "flow: abandoned", logs.F("flow", p.Client.String()),
			logs.F("service_address", p.Service.String()), logs.F("ticket", uint32(p.Ticket)))
	}
}

// report logs a decision, unless it only follows an earlier one.
func (t *traffic) report(now time.Time, n int, v *directory.View, decision *flow.Decision) {
	log := t.daemon.log
	room := t.daemon.options.Headroom
	id, named := "", false
	if t.packet.Length > 0 {
		id, named = t.daemon.options.Codec.RequestID(t.buffer[room : room+n])
	}
	switch {
	case named:
		fields := append(t.fields(v, decision), logs.F("request", id), logs.F("repeats", decision.Retransmissions))
		log.Info(now, "flow: request", fields...)
	case decision.Reason != flow.ReasonTicket || decision.Action != flow.Forward:
		log.Info(now, "flow: "+decision.Action.String(), t.fields(v, decision)...)
	}
}

// reportBeliefs logs what changed in the beliefs on upstreams.
func (t *traffic) reportBeliefs(now time.Time, v *directory.View) {
	for _, b := range t.forwarder.StateChanges() {
		t.daemon.counters.beliefs[b.State].Add(1)
		t.daemon.log.Info(now, "upstream: "+b.State.String(), logs.F("upstream", b.Upstream.ID), logs.F("revision", v.Revision),
			logs.F("silent_flows", b.SilentFlows), logs.F("silence_ms", b.Silence.Milliseconds()),
			logs.F("shared", b.Shared))
	}
}

// fields returns what decided on the packet.
func (t *traffic) fields(v *directory.View, decision *flow.Decision) []logs.Field {
	fields := []logs.Field{
		logs.F("flow", t.packet.Client.String()),
		logs.F("service_address", t.packet.Service.String()),
		logs.F("action", decision.Action.String()),
		logs.F("reason", decision.Reason.String()),
		logs.F("revision", v.Revision),
		logs.F("store_age_ms", t.daemon.storeAge().Milliseconds()),
	}
	if v.Plan != nil {
		fields = append(fields, logs.F("plan", v.Plan.Version))
	}
	if decision.Upstream != nil {
		fields = append(fields, logs.F("upstream", decision.Upstream.ID), logs.F("upstream_zone", decision.Upstream.Zone),
			logs.F("flows", decision.Load.Flows), logs.F("working", decision.Load.ActiveRequests))
	}
	if decision.Candidates > 0 {
		fields = append(fields, logs.F("service", decision.Service), logs.F("candidates", decision.Candidates))
	}
	if decision.Reason == flow.ReasonUnknown {
		fields = append(fields, logs.F("ticket", uint32(t.packet.Ticket)))
	}
	return fields
}
