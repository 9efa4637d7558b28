package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
)

// Sizes and times of releases.
const (
	// MaxReleases is the greatest number of watches that a release names.
	MaxReleases = 200
	// ReleaseDelay is how long a release waits for others to the same process.
	ReleaseDelay = 100 * time.Millisecond
)

// A Release tells the former keeper of watches that another one keeps them now.
type Release struct {
	// Incarnation is the former keeper's.
	Incarnation uint64
	// Serials are those of the former keeper's tickets for the watches, at most
	// MaxReleases.
	Serials []uint64
}

// A Releaser passes releases on to the processes that they name.
type Releaser interface {
	// Reachable reports false where a process may live but is not known yet.
	Reachable(incarnation uint64) bool
	// Release passes r on; r is valid only during the call. A lost release does
	// no harm: the former keeper's lease ends.
	Release(r *Release)
}

// Release takes another keeper's release; it ends the watches at their upstreams
// and tells their callers nothing. It returns how many there were.
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

// assignSerial gives the watch at a place a serial that names it and no earlier
// one of the place: a delayed release must not end what came after it.
func (k *Keeper) assignSerial(index uint32, e *exchange) {
	k.epoch++
	e.serial = uint64(index)<<16 | uint64(k.epoch)
}

// queueRelease has the process of an incarnation let go of the watch of a serial,
// and reports whether it could be told.
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

// releaseFormerKeeper has the former keeper of the watch at a place let go of it.
func (k *Keeper) releaseFormerKeeper(now time.Time, index uint32, e *exchange) {
	if e.formerKeeper == 0 || !k.queueRelease(now, e.formerKeeper, e.serial) {
		return
	}
	e.formerKeeper = 0
	k.assignSerial(index, e)
}

// releaseTicketWatch ends the watch that r's ticket names, wherever it is kept.
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

// findWatchBySerial returns the watch of a serial, or nil.
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

// releaseTimer passes on the releases that have waited.
type releaseTimer Keeper

// Expire passes all releases on.
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
