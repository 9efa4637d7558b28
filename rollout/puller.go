package rollout

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/config"
)

// Timeouts and limits of a puller.
const (
	// PullTimeout is the timeout of one call to a peer.
	PullTimeout = 10 * time.Second
	// PullRetryDelay is the delay before the next call after one that returned no
	// newer version.
	PullRetryDelay = 200 * time.Millisecond
	// offerTTL is how long an offer stays valid after the peer last reported
	// its version.
	offerTTL = 10 * time.Second
	// maxOffers is the maximum number of peers whose offers are kept.
	maxOffers = 8
)

// A Puller chooses the peer to ask for a newer version. Only one call is in
// progress at a time. Peers with fewer failed calls are preferred, then those
// with a higher version. It is not safe for concurrent use.
type Puller struct {
	offers []offer
	// callDeadline is when the call in progress times out; zero if there is
	// none.
	callDeadline time.Time
	// retryAt is the earliest time of the next call.
	retryAt time.Time
}

// offer is a peer's report of the version in force there.
type offer struct {
	peer       netip.AddrPort
	version    config.Version
	receivedAt time.Time
	// failures counts the calls to the peer that returned no newer version.
	failures int
}

// Done records that the call to a peer has ended; ok reports whether it
// returned a newer version.
func (p *Puller) Done(now time.Time, peer netip.AddrPort, ok bool) {
	p.callDeadline = time.Time{}
	if ok {
		return
	}
	p.retryAt = now.Add(PullRetryDelay)
	for i := range p.offers {
		if p.offers[i].peer == peer {
			p.offers[i].failures++
		}
	}
}

// Next returns the peer to ask for a version newer than the one in force, and
// counts the call as started; ok is false if no call is due.
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

// Offer records that a peer reported version v as in force there.
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
		peer:       peer,
		version:    v,
		receivedAt: now,
	})
}
