package daemon

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	pathmonitor "filbertworks.example/filbertworks/path"
)

// sendPathHeartbeats sends the heartbeats of all paths when they are due, and
// replaces paths that have gone silent. A heartbeat is an empty CON, which a live
// upstream answers with RST.
func (d *Daemon) sendPathHeartbeats(now time.Time) {
	if now.Before(d.paths.nextHeartbeat) {
		return
	}
	d.paths.nextHeartbeat = now.Add(pathmonitor.HeartbeatInterval)
	for _, p := range d.paths.paths {
		d.sendPathHeartbeat(now, p)
	}
}

// sendPathHeartbeat does the next step of a path's monitor: it sends a heartbeat
// on the path, sends one on an alternate path too, or replaces the path.
func (d *Daemon) sendPathHeartbeat(now time.Time, p *path) {
	switch p.monitor.NextHeartbeat() {
	case pathmonitor.Ping:
		d.paths.closeAlternate(p)
		d.sendPing(p)
	case pathmonitor.Compare:
		d.sendPing(p)
		d.comparePath(p)
	case pathmonitor.Replace:
		d.replacePath(now, p)
	}
}

// comparePath sends a heartbeat on the alternate path, which has another source
// port. An answer there alone shows that the path itself is broken, not the
// upstream.
func (d *Daemon) comparePath(p *path) {
	if p.alternate == nil {
		alternate, err := d.paths.open(p.upstream, p.remote)
		if err != nil {
			d.counters.add("path", "open")
			return
		}
		p.alternate = alternate
	}
	d.sendPing(p.alternate)
}

// replacePath replaces a silent path by its alternate. Watches are registered
// again on the new path; requests in flight are left alone.
func (d *Daemon) replacePath(now time.Time, p *path) {
	alternate := p.alternate
	p.alternate = nil
	if alternate == nil {
		return
	}
	d.paths.paths[p.upstream] = alternate
	d.paths.retire(p)
	d.counters.add("path", "replaced")
	d.log.Warnf("path: the path to upstream %d went silent; moving its watches to a new source port", p.upstream)
	d.sendPing(alternate)
	d.balancer.Keeper().ReregisterWatches(now, p.upstream)
}

// handlePathReset processes an upstream's RST. If it answers the last heartbeat
// of a path in use or of its alternate, it is reported to the path's monitor.
func (d *Daemon) handlePathReset(p *path, id uint16) {
	if !p.pingPending || p.pingID != id || p.retired {
		return
	}
	p.pingPending = false
	current := d.paths.paths[p.upstream]
	switch {
	case current == nil:
	case current == p:
		current.monitor.Answered(false)
	case current.alternate == p:
		current.monitor.Answered(true)
	}
}

// sendPing sends a heartbeat on a path.
func (d *Daemon) sendPing(p *path) {
	p.pingID = d.balancer.Keeper().NextMessageID(p.upstream)
	p.pingPending = true
	b := d.transport.writer.Empty(message.Confirmable, p.pingID)
	d.transport.upstreamSender.send(d.transport.now, p.socket, netip.AddrPort{}, b)
}
