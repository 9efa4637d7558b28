package flow

import (
	"net/netip"
	"time"
)

// throughputPeriod is the time over which the throughput of flows is measured.
const throughputPeriod = time.Second

// throughput is the most that the client of any flow has acknowledged within throughputPeriod, in bytes, by
// the address that clients connect to, in two generations.
type throughput struct {
	current, previous map[netip.AddrPort]uint32
}

func newThroughput() throughput {
	return throughput{
		current: make(map[netip.AddrPort]uint32),
	}
}

// observe measures the throughput of a flow at a packet that acknowledges content.
func (t *throughput) observe(now time.Time, s *flowState, p *Packet) {
	switch {
	case p.Acknowledged-s.acknowledged > maxInFlight:
		// Some of it was acknowledged by another balancer, at an unknown time.
		s.measuredAt, s.measuredFrom = now, p.Acknowledged
	case now.Sub(s.measuredAt) >= throughputPeriod:
		s.measuredAt, s.measuredFrom = now, s.acknowledged
	}
	if n := p.Acknowledged - s.measuredFrom; n > t.current[p.Service] {
		t.current[p.Service] = n
	}
}

// rotate starts a new generation.
func (t *throughput) rotate() {
	t.previous, t.current = t.current, make(map[netip.AddrPort]uint32, len(t.current))
}

// within reports whether a flow can't have got on by more than limit bytes since its last packet came
// here, unless it gets on faster than all others to the same address have lately. It returns false if
// there were none. Progress that falls into two periods of the measurement counts in each only in part.
func (t *throughput) within(now time.Time, service netip.AddrPort, s *flowState, limit uint32) bool {
	most := 2 * max(t.current[service], t.previous[service])
	periods := (now.Sub(s.seenAt) + throughputPeriod).Seconds() / throughputPeriod.Seconds()
	return most > 0 && periods*float64(most) <= float64(limit)
}

// beginMeasurement begins the measurement of a flow's throughput, at the first packet here that
// acknowledges content.
func (s *flowState) beginMeasurement(now time.Time, p *Packet) {
	s.measuredAt, s.measuredFrom, s.acknowledged = now, p.Acknowledged, p.Acknowledged
}
