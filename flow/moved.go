package flow

import (
	"net/netip"
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// MaxVerified is the maximum number of flows of a verification.
	MaxVerified = 48
	// maxVerifications is the maximum number of verifications that wait for their results.
	maxVerifications = 8
	// verificationLifetime is how long a verification waits for its result: the other balancers
	// answer after a round trip.
	verificationLifetime = 500 * time.Millisecond
	// verificationInterval is the minimum time between two starts of verifications: many hosts
	// may die together.
	verificationInterval = 100 * time.Millisecond
	// arrivalLag is how long after the news of another balancer the routers may begin to send flows
	// to it: it gets ready, and they probe it each 500 ms.
	arrivalLag = 1500 * time.Millisecond
	// maxAdoptedQuiet is how long a flow that came from another balancer may be quiet until it may
	// have gone back to that one: a balancer that stood still for a moment returns without a sign.
	maxAdoptedQuiet = time.Second
	// uncountInterval is the time between two walks over all flows for those that have moved.
	uncountInterval = time.Second
)

// WithVerification has the forwarder ask the other balancers before it resets a flow whose packets
// may go to one of them since the routers' rotation has changed: the sequence number of the reset would
// be of long ago.
func WithVerification() Option {
	return func(f *Forwarder) {
		f.verifications.enabled = true
	}
}

// A Position is how far a flow has got, as seen by one balancer.
type Position struct {
	Client  netip.AddrPort
	Service netip.AddrPort
	Ticket  directory.Ticket
	// Acknowledged is the sequence number that the client expects next.
	Acknowledged uint32
}

// A Verification asks the other balancers whether they have seen later packets of flows than the
// one that is about to reset them.
type Verification struct {
	// ID identifies the verification among those of its balancer.
	ID uint32
	// Flows are MaxVerified flows at most.
	Flows []Position
}

// A Later tells which flows of a verification another balancer has seen later packets of: bit n is
// that of the flow with index n.
type Later uint64

// verifications holds what a forwarder knows of flows that may have moved to another balancer.
type verifications struct {
	enabled bool
	// movedAt is when flows last moved between balancers, by what is known here, and arrivalUntil
	// until when they may move to a balancer that has come. Entries of the flow table without a
	// packet since then may be outdated.
	movedAt      time.Time
	arrivalUntil time.Time
	// uncountedAt is when the flows that have moved were last taken out of the load.
	uncountedAt time.Time
	// lostAt is when the zone last lost a balancer. What it knew of flows is lost, so that the
	// others can't tell whether an entry from before that is outdated.
	lostAt time.Time
	lastID uint32
	// doubtful are the abandoned flows to verify, and startedAt is when verifications were last
	// started.
	doubtful  []key
	startedAt time.Time
	// pending are the verifications that wait for their results, in order, and unsent those
	// that are to be sent.
	pending []pendingVerification
	unsent  []Verification
}

type pendingVerification struct {
	Verification
	startedAt time.Time
}

// Verifications returns the verifications to send to the other balancers since the last call.
func (f *Forwarder) Verifications() []Verification {
	v := f.verifications.unsent
	f.verifications.unsent = nil
	return v
}

// A RotationChange is a change of the balancers that the routers send flows to.
type RotationChange struct {
	// Arrived tells that a balancer has come, or come back. The routers may send flows to it from now
	// on or soon, and no packet here shows when they do.
	Arrived bool
	// LostAt is when a balancer was last alive that is gone with what it knew; zero if none is.
	LostAt time.Time
}

// HandleRotation tells the forwarder that the routers may send flows to other balancers than before.
func (f *Forwarder) HandleRotation(now time.Time, c RotationChange) {
	f.noteMove(now)
	if c.Arrived {
		f.verifications.arrivalUntil = now.Add(arrivalLag)
	}
	f.verifications.lostAt = latest(f.verifications.lostAt, c.LostAt)
}

// Later answers a verification of another balancer. A flow of the same addresses and ports at
// another upstream is another one.
func (f *Forwarder) Later(v *Verification) Later {
	var later Later
	for i := range v.Flows {
		p := &v.Flows[i]
		s := f.flows.peek(newKey(p.Client, p.Service))
		if s != nil && (s.upstream.Ticket() != p.Ticket || int32(s.acknowledged-p.Acknowledged) > 0) {
			later |= 1 << i
		}
	}
	return later
}

// A Result holds the answers to a verification.
type Result struct {
	ID uint32
	// Later is the union of the answers.
	Later Later
	// Complete reports whether all other balancers have answered.
	Complete bool
}

// Verified applies the result of a verification: the flows that no other balancer has seen later packets
// of are reset, unless one has not answered that they may have got on with by more than the reset of an
// open flow allows. The rest are left to the balancers that get their packets.
func (f *Forwarder) Verified(now time.Time, r Result) {
	f.expireVerifications(now)
	i := slices.IndexFunc(f.verifications.pending, func(p pendingVerification) bool { return p.ID == r.ID })
	if i < 0 {
		return
	}
	flows := f.verifications.pending[i].Flows
	f.verifications.pending = slices.Delete(f.verifications.pending, i, i+1)
	for n := range flows {
		k := newKey(flows[n].Client, flows[n].Service)
		s := f.flows.peek(k)
		// A packet that has come meanwhile was rejected.
		if s == nil || !s.abandoned || s.seenAt.After(s.abandonedAt) || r.Later&(1<<n) != 0 || !f.healthOf(s.upstream).dead(now) {
			continue
		}
		if r.Complete || f.throughput.within(now, k.service(), s, maxSequenceGap) {
			f.reset(now, k, s)
		}
	}
}

// verify starts the verification of the doubtful flows, if that is due and as far as others are not
// pending. The rest are rejected when their next packets come.
func (f *Forwarder) verify(now time.Time) {
	v := &f.verifications
	if len(v.doubtful) == 0 || now.Before(f.nextVerification()) {
		return
	}
	doubtful := v.doubtful
	v.doubtful, v.startedAt = nil, now
	f.expireVerifications(now)
	for chunk := range slices.Chunk(doubtful, MaxVerified) {
		if len(v.pending) >= maxVerifications {
			return
		}
		v.lastID++
		next := Verification{ID: v.lastID}
		for _, k := range chunk {
			s := f.flows.peek(k)
			if s == nil {
				continue
			}
			next.Flows = append(next.Flows, Position{
				Client:       k.client(),
				Service:      k.service(),
				Ticket:       s.upstream.Ticket(),
				Acknowledged: s.acknowledged,
			})
		}
		if len(next.Flows) == 0 {
			continue
		}
		v.pending = append(v.pending, pendingVerification{
			Verification: next,
			startedAt:    now,
		})
		v.unsent = append(v.unsent, next)
	}
}

// nextVerification returns when the verification of the doubtful flows is due; zero if there are none.
func (f *Forwarder) nextVerification() time.Time {
	if len(f.verifications.doubtful) == 0 {
		return time.Time{}
	}
	return f.verifications.startedAt.Add(verificationInterval)
}

func (f *Forwarder) expireVerifications(now time.Time) {
	f.verifications.pending = slices.DeleteFunc(f.verifications.pending, func(p pendingVerification) bool {
		return now.Sub(p.startedAt) >= verificationLifetime
	})
}

// noteMove records that flows have moved between balancers.
func (f *Forwarder) noteMove(now time.Time) {
	f.verifications.movedAt = now
}

// moved reports whether a flow's packets may go to another balancer now.
func (f *Forwarder) moved(now time.Time, s *flowState) bool {
	v := &f.verifications
	left := s.adopted && now.Sub(s.seenAt) >= maxAdoptedQuiet
	return v.enabled && (left || s.seenAt.Before(latest(v.movedAt, v.arrivalUntil)))
}

// uncountMoved takes the flows that have probably moved to another balancer out of the load of their
// upstreams, since they count there. Upstreams that have come since the move have no such flows, and
// would get more than their share of new ones.
func (f *Forwarder) uncountMoved(now time.Time) {
	v := &f.verifications
	movedAt := latest(v.movedAt, v.arrivalUntil)
	if !v.enabled || now.Sub(v.uncountedAt) < uncountInterval || v.uncountedAt.Sub(movedAt) >= maxRetransmitInterval {
		return
	}
	v.uncountedAt = now
	f.flows.forEach(func(_ key, s *flowState) {
		if s.seenAt.Before(movedAt) && now.Sub(s.seenAt) >= maxRetransmitInterval {
			f.setAway(now, s, true)
		}
	})
}

// setAway sets whether a flow does not count in its upstream's load.
func (f *Forwarder) setAway(now time.Time, s *flowState, away bool) {
	if s.away == away || s.closed {
		return
	}
	h := f.healthOf(s.upstream)
	if away {
		f.setRequestActive(now, h, s, false)
		h.load.Flows--
	} else {
		h.load.Flows++
	}
	s.away = away
}

// verifiable reports whether the other balancers know where the packets of a flow went since the last
// one came here.
func (f *Forwarder) verifiable(s *flowState) bool {
	return s.seenAt.After(f.verifications.lostAt)
}
