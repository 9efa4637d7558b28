package flow

import (
	"net/netip"
	"time"
)

// progressPeriod is the time over which the progress of flows is measured.
const progressPeriod = time.Second

// progress is the most that the client of any flow has acknowledged within progressPeriod, in bytes, by
// the address that clients connect to, in two generations.
type progress struct {
	current, previous map[netip.AddrPort]uint32
}

func newProgress() progress {
	return progress{
		current: make(map[netip.AddrPort]uint32),
	}
}

// observe records the progress of a flow at a packet that acknowledges content.
func (g *progress) observe(now time.Time, s *flowState, p *Packet) {
	switch {
	case p.Acknowledged-s.acknowledged > maxInFlight:
		// Some of it was acknowledged by another balancer, at an unknown time.
		s.progressAt, s.progressFrom = now, p.Acknowledged
	case now.Sub(s.progressAt) >= progressPeriod:
		s.progressAt, s.progressFrom = now, s.acknowledged
	}
	if n := p.Acknowledged - s.progressFrom; n > g.current[p.Service] {
		g.current[p.Service] = n
	}
}

// rotate starts a new generation.
func (g *progress) rotate() {
	g.previous, g.current = g.current, make(map[netip.AddrPort]uint32, len(g.current))
}

// within reports whether a flow can't have got on by more than limit bytes since its last packet came
// here, unless it gets on faster than all others to the same address have lately. It returns false if
// there were none. Progress that falls into two periods of the measurement counts in each only in part.
func (g *progress) within(now time.Time, service netip.AddrPort, s *flowState, limit uint32) bool {
	most := 2 * max(g.current[service], g.previous[service])
	periods := (now.Sub(s.seenAt) + progressPeriod).Seconds() / progressPeriod.Seconds()
	return most > 0 && periods*float64(most) <= float64(limit)
}

// beginProgress begins the measurement of a flow's progress, at the first packet here that acknowledges
// content.
func (s *flowState) beginProgress(now time.Time, p *Packet) {
	s.progressAt, s.progressFrom, s.acknowledged = now, p.Acknowledged, p.Acknowledged
}
