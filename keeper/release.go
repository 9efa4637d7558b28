package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
)

// Limits of releases.
const (
	// MaxReleases is the maximum number of watches in one release.
	MaxReleases = 200
	// ReleaseDelay is how long a release waits to be combined with others for
	// the same process.
	ReleaseDelay = 100 * time.Millisecond
)

// A Release tells the former keeper of watches that another keeper has taken
// them over.
type Release struct {
	// Incarnation is the former keeper's incarnation.
	Incarnation uint64
	// Serials are the serials in the former keeper's tickets for the watches,
	// at most MaxReleases.
	Serials []uint64
}

// A Releaser sends releases to the processes that they are for.
type Releaser interface {
	// Reachable returns false for a process that may be running but is not
	// known yet.
	Reachable(incarnation uint64) bool
	// Release sends r, which is valid only during the call. A lost release has
	// no lasting effect, because the lease at the former keeper expires.
	Release(r *Release)
}

// Release handles another keeper's release: it ends the watches at their
// upstreams without a message to their callers. It returns the number of
// watches ended.
func (k *Keeper) Release(now time.Time, r *Release) int {
	if r.Incarnation != k.incarnation {
		return 0
	}
	n := 0
	for _, serial := range r.Serials {
		index, e := k.findWatchBySerial(serial)
		if e == nil {
			continue
		}
		k.cancel(index, e)
		k.endWatch(now, index, e)
		n++
	}
	return n
}

// assignSerial gives the watch at index a new serial, which differs from those
// of earlier watches at that index: a delayed release must not end a later
// watch.
func (k *Keeper) assignSerial(index uint32, e *exchange) {
	k.epoch++
	e.serial = uint64(index)<<16 | uint64(k.epoch)
}

// queueRelease queues a release of the watch of a serial to the process of an
// incarnation. It returns false if that process is not reachable yet.
func (k *Keeper) queueRelease(now time.Time, incarnation, serial uint64) bool {
	if k.releaser == nil {
		return true
	}
	if !k.releaser.Reachable(incarnation) {
		return false
	}
	if len(k.pendingReleases) == 0 {
		k.timers.Subscribe(now.Add(ReleaseDelay), (*releaseTimer)(k), 0)
	}
	serials := k.pendingReleases[incarnation]
	serials = append(serials, serial)
	if len(serials) >= MaxReleases {
		k.releaser.Release(&Release{
			Incarnation: incarnation,
			Serials:     serials,
		})
		serials = serials[:0]
	}
	k.pendingReleases[incarnation] = serials
	return true
}

// releaseFormerKeeper sends a release to the former keeper of the watch at
// index, if there is one.
func (k *Keeper) releaseFormerKeeper(now time.Time, index uint32, e *exchange) {
	if e.formerKeeper == 0 || !k.queueRelease(now, e.formerKeeper, e.serial) {
		return
	}
	e.formerKeeper = 0
	k.assignSerial(index, e)
}

// releaseTicketWatch ends the watch that r's ticket identifies, at this keeper
// or at another.
func (k *Keeper) releaseTicketWatch(now time.Time, r *Request) {
	t := r.Ticket
	if t.IsExecution() {
		return
	}
	if t.Incarnation != k.incarnation {
		k.queueRelease(now, t.Incarnation, t.Serial)
		return
	}
	k.Release(now, &Release{
		Incarnation: t.Incarnation,
		Serials:     []uint64{t.Serial},
	})
}

// findWatchBySerial returns the open watch of a serial, or nil.
func (k *Keeper) findWatchBySerial(serial uint64) (uint32, *exchange) {
	index := uint32(serial >> 16)
	if index >= k.exchanges.allocated {
		return 0, nil
	}
	e := k.exchanges.entry(index)
	open := e.generation%2 == 1 && e.kind == packet.KindWatchOpen
	if !open || e.serial != serial || e.formerKeeper != 0 {
		return 0, nil
	}
	return index, e
}

// releaseTimer is the timer handler that sends the pending releases.
type releaseTimer Keeper

// Expire sends all pending releases.
func (t *releaseTimer) Expire(time.Time, uint64) {
	for incarnation, serials := range t.pendingReleases {
		if len(serials) > 0 {
			t.releaser.Release(&Release{
				Incarnation: incarnation,
				Serials:     serials,
			})
		}
		delete(t.pendingReleases, incarnation)
	}
}
