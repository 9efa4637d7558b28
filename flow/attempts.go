package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// attemptLifetime is how long a client's unanswered first packet counts: the
	// client gives up after 1.4 s.
	attemptLifetime = 1500 * time.Millisecond
	// maxAttempts is the number of upstreams remembered for a client.
	maxAttempts = 3
)

// attempts remembers the upstreams of flows that clients are opening: one that
// opens another flow to the same address meanwhile may have been refused.
type attempts struct {
	current, previous map[attemptKey][]directory.Ticket
	rotatedAt         time.Time
}

// An attemptKey names a client's IP address and what it sends to.
type attemptKey [10]byte

func newAttempts() *attempts {
	return &attempts{
		current: make(map[attemptKey][]directory.Ticket),
	}
}

// add takes a flow that a client begins to open.
func (a *attempts) add(now time.Time, p *Packet, t directory.Ticket) {
	a.rotate(now)
	k := attemptKeyOf(p)
	open := append(a.find(k), t)
	if len(open) > maxAttempts {
		open = open[1:]
	}
	a.current[k] = open
}

// remove takes a flow that is open.
func (a *attempts) remove(p *Packet, t directory.Ticket) {
	k := attemptKeyOf(p)
	for _, generation := range []map[attemptKey][]directory.Ticket{a.current, a.previous} {
		open := generation[k]
		if i := slices.Index(open, t); i >= 0 {
			open = slices.Delete(open, i, i+1)
		}
		if len(open) == 0 {
			delete(generation, k)
		} else {
			generation[k] = open
		}
	}
}

// tickets returns the upstreams tickets the flows that p's client is opening.
func (a *attempts) tickets(p *Packet) []directory.Ticket {
	return a.find(attemptKeyOf(p))
}

func (a *attempts) find(k attemptKey) []directory.Ticket {
	if open, ok := a.current[k]; ok {
		return open
	}
	return slices.Clone(a.previous[k])
}

// rotate forgets attempts after one to two lives.
func (a *attempts) rotate(now time.Time) {
	if now.Sub(a.rotatedAt) < attemptLifetime {
		return
	}
	a.previous, a.current = a.current, make(map[attemptKey][]directory.Ticket)
	a.rotatedAt = now
}

func attemptKeyOf(p *Packet) attemptKey {
	k := p.key()
	var a attemptKey
	copy(a[:], k[:8])
	copy(a[8:], k[10:])
	return a
}
