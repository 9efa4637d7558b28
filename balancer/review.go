package balancer

import "time"

// Review tells the keeper which upstreams are this balancer's by the view in
// force.
func (b *Balancer) Review(now time.Time) {
	if b.config == nil {
		return
	}
	b.keeper.Review(now, b.keeps)
}

// keeps reports whether this balancer keeps an upstream.
func (b *Balancer) keeps(id uint32) bool {
	u := b.config.Upstream(id).Upstream
	if u == nil {
		return false
	}
	m, ok := b.table.Keeper(id, u.Zone)
	return ok && m.Incarnation == b.options.Incarnation
}
