package daemon

import (
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/load"
)

// capacityChange is by which factor an upstream's capacity changes before that is logged.
const capacityChange = 1.5

// logCapacities logs the upstreams of a group whose capacity has changed by capacityChange, also
// those that are back at their slots.
func (e *loadExchange) logCapacities(now time.Time, c *groupCollector, hosts []*directory.Upstream, d *load.Digest) {
	learned := make(map[directory.Ticket]*load.Total, len(d.Totals))
	for i := range d.Totals {
		learned[d.Totals[i].Ticket] = &d.Totals[i]
	}
	known := make(map[directory.Ticket]float64)
	for _, u := range hosts {
		t, slots := u.Ticket(), float64(u.Slots)
		was, ok := c.capacities[t]
		if !ok {
			was = slots
		}
		var total load.Total
		if l := learned[t]; l != nil {
			total = *l
		}
		if total.Capacity <= 0 {
			total.Capacity = slots
		}
		if total.Capacity*capacityChange > was && was*capacityChange > total.Capacity {
			if was != slots {
				known[t] = was
			}
			continue
		}
		if total.Capacity != slots {
			known[t] = total.Capacity
		}
		e.daemon.counters.capacityChanges.Add(1)
		e.daemon.log.Info(now, "upstream: capacity changed", logs.F("upstream", u.ID), logs.F("service", u.Service),
			logs.F("slots", u.Slots), logs.F("capacity", round(total.Capacity)), logs.F("before", round(was)),
			logs.F("answers", total.Answers), logs.F("working", round(total.Working)), logs.F("balancers", d.Balancers))
	}
	c.capacities = known
}

// round rounds a number for logs.
func round(x float64) float64 {
	const digits = 100
	return float64(int(x*digits+0.5)) / digits
}
