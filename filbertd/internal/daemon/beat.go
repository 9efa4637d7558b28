package daemon

import (
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	pathmonitor "filbertworks.example/filbertworks/path"
)

// beatPaths sends the heartbeats of the paths that are due: an empty CON, which
// a live upstream answers with RST. It replaces paths that have gone silent.
func (d *Daemon) beatPaths(now time.Time) {
	if now.Before(d.paths.nextBeat) {
		return
	}
	d.paths.nextBeat = now.Add(pathmonitor.HeartbeatInterval)
	for _, p := range d.paths.paths {
		d.beatPath(now, p)
	}
}

func (d *Daemon) beatPath(now time.Time, p *path) {
	switch p.monitor.NextHeartbeat() {
	case pathmonitor.Ping:
		d.paths.dropFresh(p)
		d.ping(p)
	case pathmonitor.Compare:
		d.ping(p)
		d.comparePath(p)
	case pathmonitor.Replace:
		d.replacePath(now, p)
	}
}

// comparePath sends a heartbeat from a fresh source port.
func (d *Daemon) comparePath(p *path) {
	if p.fresh == nil {
		fresh, err := d.paths.open(p.upstream, p.remote)
		if err != nil {
			d.counters.add("path", "open")
			return
		}
		p.fresh = fresh
	}
	d.ping(p.fresh)
}

// replacePath moves the work of a silent path to its fresh source port. The
// watches are registered again there; requests in flight are left alone.
func (d *Daemon) replacePath(now time.Time, p *path) {
	fresh := p.fresh
	p.fresh = nil
	if fresh == nil {
		return
	}
	d.paths.paths[p.upstream] = fresh
	d.paths.retire(p)
	d.counters.add("path", "replaced")
	d.log.Warnf("path: the path to upstream %d went silent; its watches move to a fresh source port", p.upstream)
	d.ping(fresh)
	d.balancer.Keeper().ReregisterWatches(now, p.upstream)
}

// pathAnswered takes an RST of an upstream.
func (d *Daemon) pathAnswered(p *path, id uint16) {
	if !p.pinged || p.ping != id || p.retired {
		return
	}
	p.pinged = false
	current := d.paths.paths[p.upstream]
	switch {
	case current == nil:
	case current == p:
		current.monitor.Answered(false)
	case current.fresh == p:
		current.monitor.Answered(true)
	}
}

func (d *Daemon) ping(p *path) {
	p.ping = d.balancer.Keeper().NextMessageID(p.upstream)
	p.pinged = true
	b := d.outlet.writer.Empty(message.Confirmable, p.ping)
	d.outlet.inward.send(d.outlet.now, p.socket, netip.AddrPort{}, b)
}
