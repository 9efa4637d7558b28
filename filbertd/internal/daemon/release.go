package daemon

import (
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// Release notifies another balancer that this one now keeps some of its watches.
func (o *transport) Release(to *member.Member, r *keeper.Release) {
	o.frame = wire.AppendRelease(o.frame[:0], r)
	o.counters.add("release", "sent")
	o.upstreamSender.send(o.now, o.relay, to.Relay, o.frame)
}

// handleRelease processes the release of a known peer.
func (d *Daemon) handleRelease(now time.Time, data []byte) {
	if err := wire.ParseRelease(data, &d.release); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	d.balancer.HandleRelease(now, &d.release)
	d.counters.add("release", "received")
}
