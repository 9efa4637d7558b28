package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/wire"
)

// tickInterval is the interval at which the loop processes timers.
const tickInterval = 50 * time.Millisecond

// loop processes events, calls and timers one after the other until ctx ends.
// Only its goroutine uses the balancer and the other state of the daemon that
// has no lock.
func (d *Daemon) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-d.events.C():
			d.handleEvent(time.Now(), &e)
			e.buffer.release()
		case f := <-d.loopCalls:
			d.transport.now = time.Now()
			d.updateFreshness(d.transport.now)
			f(d.transport.now)
		case now := <-ticker.C:
			d.advance(now)
		case <-ctx.Done():
			return
		}
	}
}

// advance does the periodic work that is due. While the configuration is not
// confirmed it only sends heartbeats to peers and pulls configurations.
func (d *Daemon) advance(now time.Time) {
	d.transport.now = now
	confirmed := d.updateFreshness(now)
	d.sendHeartbeats(now)
	d.balancer.SetMembers(d.tracker.Table(), d.tracker.Settled(now))
	if confirmed {
		d.balancer.Advance(now)
		d.sendPathHeartbeats(now)
		d.balancer.UpdateOwnership(now)
	}
	d.pull(now)
}

// handleEvent processes a received datagram.
func (d *Daemon) handleEvent(now time.Time, e *event) {
	d.transport.now = now
	d.updateFreshness(now)
	switch e.source {
	case sourceCaller:
		d.handleCaller(now, e)
	case sourcePeer:
		d.handlePeer(now, e)
	case sourceUpstream:
		d.handleUpstream(now, e)
	}
}

// handleCaller processes a caller's datagram.
func (d *Daemon) handleCaller(now time.Time, e *event) {
	if d.transport.fenced {
		// Dropping is safe: the caller's retransmission reaches another
		// balancer.
		d.counters.add("drop", "distrust")
		return
	}
	h := &d.header
	if err := d.parser.ParseRequest(e.buffer.data(), e.id, e.from, h); err != nil {
		d.reject(e, h, err)
		return
	}
	if h.Kind == packet.KindPing {
		d.transport.sendToCaller(e.id, e.from, d.transport.writer.Empty(message.Reset, h.MessageID))
		return
	}
	d.balancer.HandleCaller(now, h, e.buffer.data())
}

// handlePeer processes a datagram on the peers' socket: a heartbeat, a load
// report, a release or a relayed caller's datagram. Everything but heartbeats is
// dropped unless it comes from a known peer.
func (d *Daemon) handlePeer(now time.Time, e *event) {
	if wire.IsHeartbeat(e.buffer.data()) {
		d.handleHeartbeat(now, e.from, e.buffer.data())
		return
	}
	if d.transport.fenced {
		d.counters.add("drop", "distrust")
		return
	}
	if _, ok := d.balancer.Members().ByRelay(e.from); !ok {
		d.counters.add("drop", "unknown-peer")
		return
	}
	if wire.IsLoads(e.buffer.data()) {
		d.handleLoads(now, e.buffer.data())
		return
	}
	if wire.IsRelease(e.buffer.data()) {
		d.handleRelease(now, e.buffer.data())
		return
	}
	var r wire.Relay
	datagram, err := wire.ParseRelay(e.buffer.data(), &r)
	if err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	var h packet.Header
	if err := d.parser.ParseRequest(datagram, r.Service, r.Caller, &h); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	d.balancer.HandleRelay(now, &r, &h, datagram)
}

// handleUpstream processes an upstream's datagram. It acknowledges confirmable
// messages of known exchanges and resets messages of unknown ones.
func (d *Daemon) handleUpstream(now time.Time, e *event) {
	var r coap.Response
	if err := d.parser.ParseResponse(e.buffer.data(), &r); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	if r.Reset() {
		d.handlePathReset(e.path, r.MessageID)
		return
	}
	if r.IsEmptyAck() || d.handleProbeAnswer(now, e.id, &r) {
		return
	}
	known := d.balancer.HandleUpstreamMessage(now, e.id, &keeper.UpstreamMessage{
		Token:        r.Token,
		Shed:         r.Shed(),
		Observed:     r.HasObserve,
		Acknowledged: r.Type == message.Acknowledgement,
	}, e.buffer.data())
	switch {
	case !known && r.Type != message.Acknowledgement:
		d.counters.add("drop", "unknown-exchange")
		d.sendOnPath(e.path, d.transport.writer.Empty(message.Reset, r.MessageID))
	case r.Type == message.Confirmable:
		d.sendOnPath(e.path, d.transport.writer.Empty(message.Acknowledgement, r.MessageID))
	}
}

// installConfig puts a configuration in force, unless the same or a higher version
// already is. patches are the patches that led to it from the one before; they are
// empty if it came as a whole document.
func (d *Daemon) installConfig(now time.Time, c *config.Snapshot, patches []config.Patch) {
	if !d.balancer.Configure(now, c) {
		return
	}
	d.history.Add(c, patches)
	d.tracker.AnnounceVersion(d.history.Current())
	d.installedAt = now
	d.paths.configure(c)
	d.listeners.configure(c)
	d.log.Infof("config: version %d in force", c.Version)
}

// sendOnPath sends a datagram to an upstream on the path p, unless the transport
// is fenced or p is retired.
func (d *Daemon) sendOnPath(p *path, b []byte) {
	if d.transport.fenced {
		d.counters.add("send", "distrust")
		return
	}
	if p.retired {
		d.counters.add("send", "retired-path")
		return
	}
	d.transport.upstreamSender.send(d.transport.now, p.socket, netip.AddrPort{}, b)
}
