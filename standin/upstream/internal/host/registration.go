package host

import (
	"net/netip"

	"filbertworks.example/filbertworks/packet"
)

// notifyBuckets is the number of parts of the notification interval. Each watch
// belongs to one of them, which spreads the notifications over the interval.
const notifyBuckets = 20

// A registrationKey identifies a watch by the source and the token of its
// request (RFC 7641).
type registrationKey struct {
	source netip.AddrPort
	token  packet.Token
}

// A registration is an open watch.
type registration struct {
	key registrationKey
	// bucket is the part of the notification interval in which the watch is
	// notified.
	bucket int
	// sent is the number of notifications sent.
	sent int
	// lastMessageID is the message id of the last notification.
	lastMessageID uint16
}

// registrations holds the open watches of a host.
type registrations struct {
	open map[registrationKey]*registration
	// nextBucket, modulo notifyBuckets, is the bucket of the next watch.
	nextBucket int
}

func newRegistrations() *registrations {
	return &registrations{
		open: make(map[registrationKey]*registration),
	}
}

// add opens a watch, or returns it if it is open already. It returns nil if
// limit watches are open.
func (r *registrations) add(key registrationKey, limit int) *registration {
	if g := r.open[key]; g != nil {
		return g
	}
	if len(r.open) >= limit {
		return nil
	}
	added := &registration{
		key:    key,
		bucket: r.nextBucket % notifyBuckets,
	}
	r.nextBucket++
	r.open[key] = added
	return added
}

// forEachInBucket calls visit with each watch of a bucket.
func (r *registrations) forEachInBucket(bucket int, visit func(g *registration)) {
	for _, g := range r.open {
		if g.bucket == bucket {
			visit(g)
		}
	}
}

// removeRejected closes the watch whose last notification source rejected with a
// Reset for the message id.
func (r *registrations) removeRejected(source netip.AddrPort, id uint16) {
	for k, g := range r.open {
		if k.source == source && g.sent > 0 && g.lastMessageID == id {
			delete(r.open, k)
		}
	}
}

func (r *registrations) remove(key registrationKey) {
	delete(r.open, key)
}
