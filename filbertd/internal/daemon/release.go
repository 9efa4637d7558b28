package daemon

import (
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// Release tells another balancer that watches are kept here now.
func (o *transport) Release(to *member.Member, r *keeper.Release) {
	o.frame = wire.AppendRelease(o.frame[:0], r)
	o.counters.add("release", "sent")
	o.upstreamSender.send(o.now, o.relay, to.Relay, o.frame)
}

// handleRelease takes a release of a known peer.
func (d *Daemon) handleRelease(now time.Time, data []byte) {
	if err := wire.ParseRelease(data, &d.release); err != nil {
		d.counters.add("drop", err.Error())
		return
	}
	d.balancer.HandleRelease(now, &d.release)
	d.counters.add("release", "received")
}
