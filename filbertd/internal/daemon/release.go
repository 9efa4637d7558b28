package daemon

import (
	"time"

	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// Release notifies another balancer that this one now keeps some of its watches.
func (t *transport) Release(to *member.Member, r *keeper.Release) {
	t.frame = wire.AppendRelease(t.frame[:0], r)
	t.counters.add("release", "sent")
	t.upstreamSender.send(t.now, t.relay, to.Relay, t.frame)
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
