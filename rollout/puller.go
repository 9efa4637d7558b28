package rollout

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Times of pulling.
const (
	// PullTimeout bounds one call of a peer.
	PullTimeout = 10 * time.Second
	// PullRetry is the pause after a call that brought nothing.
	PullRetry = 200 * time.Millisecond
	// offerTTL is how long a peer's word that it has a version counts.
	offerTTL = 10 * time.Second
	// maxOffers is the number of peers remembered.
	maxOffers = 8
)

// A Puller chooses the peer that a newer version is asked of: one call at a
// time, of the peer with the highest version. It is not safe for concurrent
// use.
type Puller struct {
	offers []offer
	// callDeadline is the time at which the call in progress is given up; zero where
	// there is none.
	callDeadline time.Time
	// retryAt is the time before which no call starts.
	retryAt time.Time
}

// offer is a peer's word that it has a version.
type offer struct {
	peer    netip.AddrPort
	version config.Version
	receivedAt      time.Time
	// failures counts the calls of the peer that brought nothing.
	failures int
}

// Done takes the end of a call of a peer and whether it brought a newer
// version.
func (p *Puller) Done(now time.Time, peer netip.AddrPort, ok bool) {
	p.callDeadline = time.Time{}
	if ok {
		return
	}
	p.retryAt = now.Add(PullRetry)
	for i := range p.offers {
		if p.offers[i].peer == peer {
			p.offers[i].failures++
		}
	}
}

// Next returns the peer to ask for a version above the one in force; ok is
// false where there is none now.
func (p *Puller) Next(now time.Time, inForce config.Version) (peer netip.AddrPort, ok bool) {
	p.offers = slices.DeleteFunc(p.offers, func(o offer) bool {
		return o.version <= inForce || now.Sub(o.receivedAt) >= offerTTL
	})
	if len(p.offers) == 0 || now.Before(p.callDeadline) || now.Before(p.retryAt) {
		return netip.AddrPort{}, false
	}
	best := &p.offers[0]
	for i := range p.offers {
		o := &p.offers[i]
		if o.failures < best.failures || o.failures == best.failures && o.version > best.version {
			best = o
		}
	}
	p.callDeadline = now.Add(PullTimeout)
	return best.peer, true
}

// Offer takes a peer's word that a version is in force there.
func (p *Puller) Offer(now time.Time, peer netip.AddrPort, v config.Version) {
	for i := range p.offers {
		if p.offers[i].peer == peer {
			p.offers[i].version = max(p.offers[i].version, v)
			p.offers[i].receivedAt = now
			return
		}
	}
	if len(p.offers) == maxOffers {
		p.offers = slices.Delete(p.offers, 0, 1)
	}
	p.offers = append(p.offers, offer{
		peer:    peer,
		version: v,
		receivedAt:      now,
	})
}
