package daemon

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	pathmonitor "filbertworks.example/filbertworks/path"
)

// sendPathHeartbeats sends the heartbeats of the paths that are due: an empty CON, which
// a live upstream answers with RST. It replaces paths that have gone silent.
func (d *Daemon) sendPathHeartbeats(now time.Time) {
	if now.Before(d.paths.nextHeartbeat) {
		return
	}
	d.paths.nextHeartbeat = now.Add(pathmonitor.HeartbeatInterval)
	for _, p := range d.paths.paths {
		d.sendPathHeartbeat(now, p)
	}
}

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

// comparePath sends a heartbeat from a fresh source port.
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

// replacePath moves the work of a silent path to its fresh source port. The
// watches are registered again there; requests in flight are left alone.
func (d *Daemon) replacePath(now time.Time, p *path) {
	alternate := p.alternate
	p.alternate = nil
	if alternate == nil {
		return
	}
	d.paths.paths[p.upstream] = alternate
	d.paths.retire(p)
	d.counters.add("path", "replaced")
	d.log.Warnf("path: the path to upstream %d went silent; its watches move to a fresh source port", p.upstream)
	d.sendPing(alternate)
	d.balancer.Keeper().ReregisterWatches(now, p.upstream)
}

// handlePathReset takes an RST of an upstream.
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

func (d *Daemon) sendPing(p *path) {
	p.pingID = d.balancer.Keeper().NextMessageID(p.upstream)
	p.pingPending = true
	b := d.transport.writer.Empty(message.Confirmable, p.pingID)
	d.transport.upstreamSender.send(d.transport.now, p.socket, netip.AddrPort{}, b)
}
