package balancer

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/upstream"
)

// ForEachKept calls f with each upstream that this balancer keeps and its
// limiter.
func (b *Balancer) ForEachKept(now time.Time, f func(s *config.Service, u *config.Upstream, g *upstream.Limiter)) {
	if b.config == nil {
		return
	}
	services := b.config.Document.Services
	for i := range services {
		s := &services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			if b.config.ZoneIn(u.Zone) && b.keeps(u.ID) {
				f(s, u, b.keeper.StartLimiter(now, u))
			}
		}
	}
}

// UpdateOwnership tells the keeper which upstreams this balancer keeps
// according to the current member view.
func (b *Balancer) UpdateOwnership(now time.Time) {
	if b.config == nil {
		return
	}
	b.keeper.UpdateOwnership(now, b.keeps)
	if b.ownershipVersion != b.config.Version {
		b.ownershipVersion = b.config.Version
		// Starts the limiters of upstreams that the new version assigns here.
		b.ForEachKept(now, func(*config.Service, *config.Upstream, *upstream.Limiter) {})
	}
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
