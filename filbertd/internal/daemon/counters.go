package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// A counterKey identifies one counter.
type counterKey struct {
	name   string
	reason string
}

// A count is the value of one counter.
type count struct {
	name   string
	reason string
	value  uint64
}

// counters holds the daemon's event counters, which metrics and status report. It
// is safe for concurrent use.
type counters struct {
	// values maps counterKey to *atomic.Uint64.
	values sync.Map
}

// add increments a counter, which it creates on first use.
func (c *counters) add(name, reason string) {
	key := counterKey{
		name:   name,
		reason: reason,
	}
	v, ok := c.values.Load(key)
	if !ok {
		v, _ = c.values.LoadOrStore(key, new(atomic.Uint64))
	}
	v.(*atomic.Uint64).Add(1)
}

// list returns the values of all counters, sorted by name and reason.
func (c *counters) list() []count {
	var all []count
	c.values.Range(func(k, v any) bool {
		key := k.(counterKey)
		all = append(all, count{
			name:   key.name,
			reason: key.reason,
			value:  v.(*atomic.Uint64).Load(),
		})
		return true
	})
	slices.SortFunc(all, func(a, b count) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.reason, b.reason))
	})
	return all
}

// register registers the counters with a meter.
func (c *counters) register(meter metric.Meter) error {
	total, err := meter.Int64ObservableCounter("filbertd.events",
		metric.WithDescription("Events by name and reason."))
	if err != nil {
		return eris.Wrap(err, "make counter")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, n := range c.list() {
			o.ObserveInt64(total, int64(n.value), metric.WithAttributes(
				attribute.String("name", n.name),
				attribute.String("reason", n.reason),
			))
		}
		return nil
	}, total)
	return eris.Wrap(err, "register counters")
}
