package keeper

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// Rate limits of work on many watches at once, which keep it from overloading
// callers and upstreams.
const (
	// sweepTick is the time between two steps of the sweeps.
	sweepTick = 50 * time.Millisecond
	// WatchEndRate is the maximum number of watches a second whose callers are
	// told that their upstream is no longer available.
	WatchEndRate = 2000
	// ReregisterRate is the maximum number of watches a second that are
	// registered again at an upstream whose network path went silent.
	ReregisterRate = 500
	// maxScanPerStep is the maximum number of table entries examined in one
	// step.
	maxScanPerStep = 50_000
)

// A sweep processes all watches of one upstream. If upstream is zero, it
// processes the watches with upstreamGone set.
type sweep struct {
	upstream uint32
	// next is the index to process next.
	next uint32
	// watchesPerStep is the maximum number of watches processed in one step.
	watchesPerStep int
}

// ReregisterWatches registers all watches of an upstream again, at
// ReregisterRate, after its network path was replaced. It does not affect
// requests in flight.
func (k *Keeper) ReregisterWatches(now time.Time, upstream uint32) {
	k.startSweep(now, sweep{
		upstream:       upstream,
		watchesPerStep: int(ReregisterRate * sweepTick / time.Second),
	})
}

// closeExchangesAt ends the work at upstreams to which nothing more may be
// sent.
func (k *Keeper) closeExchangesAt(now time.Time, gone map[uint32]bool) {
	if len(gone) == 0 {
		return
	}
	watches := false
	for index := range k.exchanges.allocated {
		e := k.exchanges.entry(index)
		if e.generation%2 == 0 || e.upstreamGone || !gone[e.upstream] {
			continue
		}
		if e.kind == packet.KindWatchOpen {
			e.upstreamGone = true
			watches = true
			continue
		}
		k.abandonRequest(now, index, e)
	}
	if watches {
		k.startSweep(now, sweep{watchesPerStep: int(WatchEndRate * sweepTick / time.Second)})
	}
}

// goneUpstreams returns the upstreams with a limiter to which nothing may be
// sent under c, or which have moved to another service since before, so that
// work sent to them earlier may not continue. before may be nil.
func (k *Keeper) goneUpstreams(before, c *config.Snapshot) map[uint32]bool {
	goneUpstreams := make(map[uint32]bool)
	for id := range k.limiters {
		p := c.Upstream(id)
		if p.Upstream == nil || !c.ZoneIn(p.Upstream.Zone) {
			goneUpstreams[id] = true
			continue
		}
		if before == nil {
			continue
		}
		if s := before.Upstream(id).Service; s != nil && s.ID != p.Service.ID {
			goneUpstreams[id] = true
		}
	}
	return goneUpstreams
}

// endWatchWithRetry ends a watch and tells its caller to register again after
// retry: an answer that is not a success ends an observation (RFC 7641, section
// 3.2).
func (k *Keeper) endWatchWithRetry(now time.Time, index uint32, e *exchange, retry time.Duration) {
	h := &packet.Header{
		Service:   e.service,
		Caller:    e.key.caller(),
		Kind:      e.kind,
		Token:     e.key.token,
		MessageID: k.nextCallerMessageID(),
	}
	k.transport.Refuse(h, newRefusal(verdict.NotRun, verdict.ReasonNoUpstream, retry))
	k.endWatch(now, index, e)
}

func (k *Keeper) startSweep(now time.Time, s sweep) {
	for i := range k.sweeps {
		if k.sweeps[i].upstream == s.upstream {
			k.sweeps[i] = s
			return
		}
	}
	k.sweeps = append(k.sweeps, s)
	if len(k.sweeps) == 1 {
		k.timers.Subscribe(now.Add(sweepTick), (*sweepTimer)(k), 0)
	}
}

// sweepTimer is the timer handler that advances the sweeps.
type sweepTimer Keeper

// Expire performs one step of each sweep.
func (t *sweepTimer) Expire(now time.Time, _ uint64) {
	k := (*Keeper)(t)
	unfinished := k.sweeps[:0]
	for _, s := range k.sweeps {
		if k.step(now, &s) {
			unfinished = append(unfinished, s)
		}
	}
	k.sweeps = unfinished
	if len(k.sweeps) > 0 {
		k.timers.Subscribe(now.Add(sweepTick), t, 0)
	}
}

// step performs one step of a sweep and reports whether more remains.
func (k *Keeper) step(now time.Time, s *sweep) bool {
	remaining := s.watchesPerStep
	last := min(s.next+maxScanPerStep, k.exchanges.allocated)
	for ; s.next < last && remaining > 0; s.next++ {
		e := k.exchanges.entry(s.next)
		if e.generation%2 == 0 || e.kind != packet.KindWatchOpen {
			continue
		}
		switch {
		case s.upstream == 0 && e.upstreamGone:
			k.endWatchWithRetry(now, s.next, e, RetryAfter)
			remaining--
		case s.upstream == e.upstream && !e.upstreamGone && e.registrationRef != 0:
			k.reregister(now, s.next, e)
			remaining--
		}
	}
	return s.next < k.exchanges.allocated
}

// reregister registers a watch again without a message from its caller.
func (k *Keeper) reregister(now time.Time, index uint32, e *exchange) {
	e.forwardedID = k.nextUpstreamMessageID(e.upstream)
	e.reregistered = true
	k.transport.Forward(&Forward{
		Upstream:    e.upstream,
		Token:       k.exchanges.token(index),
		MessageID:   e.forwardedID,
		Confirmable: true,
		Deadline:    e.expires - now.Sub(k.start),
	}, k.registrations.datagram(e.registrationRef))
}

// NextMessageID returns a message id for a message to an upstream that belongs
// to no exchange.
func (k *Keeper) NextMessageID(upstream uint32) uint16 {
	return k.nextUpstreamMessageID(upstream)
}

// abandonRequest ends a request at an upstream to which nothing more may be
// sent.
func (k *Keeper) abandonRequest(now time.Time, index uint32, e *exchange) {
	if e.kind == packet.KindOnce {
		// The answer may still arrive, and nothing needs to be sent to receive
		// it.
		e.upstreamGone = true
		return
	}
	k.endRequest(now, index, e, upstream.ResultCancelled)
}
