package flow

import (
	"time"

	"filbertworks.example/filbertworks/directory"
)

// probeInterval is the shortest time between two probes of an upstream by one
// balancer.
const probeInterval = 500 * time.Millisecond

// opening is the first packet of a flow to an upstream of the own zone.
type opening struct {
	upstream *directory.Upstream
	at       time.Time
}

// Doubts returns the upstreams to probe since the last call: they left a first
// packet unanswered. One whose address refuses connections has crashed.
func (f *Forwarder) Doubts() []*directory.Upstream {
	d := f.doubts
	f.doubts = nil
	return d
}

// Next returns when Advance has something to do; zero for never.
func (f *Forwarder) Next() time.Time {
	if len(f.openings) == 0 {
		return time.Time{}
	}
	return f.openings[0].at.Add(refuseAfter)
}

// doubt looks at the first packets that should have been answered by now.
func (f *Forwarder) doubt(now time.Time) {
	for len(f.openings) > 0 && now.Sub(f.openings[0].at) >= refuseAfter {
		o := f.openings[0]
		f.openings = f.openings[1:]
		h := f.healthOf(o.upstream)
		if h.openings == 0 || h.progressed.After(o.at) || now.Sub(h.probed) < probeInterval {
			continue
		}
		h.probed = now
		f.doubts = append(f.doubts, o.upstream)
	}
}
