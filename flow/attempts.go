package flow

import (
	"slices"
	"time"

	"filbertworks.example/filbertworks/directory"
)

const (
	// attemptLifetime is how long an unanswered first packet counts as an open
	// attempt. It exceeds the 1.4 s after which the client gives up.
	attemptLifetime = 1500 * time.Millisecond
	// maxAttempts is the maximum number of upstreams remembered per client and
	// service address.
	maxAttempts = 3
)

// attempts records the upstreams of flows that clients are opening. A client that
// opens another flow to the same address in the meantime may have been refused
// there, so the new flow avoids those upstreams.
type attempts struct {
	current, previous map[attemptKey][]directory.Ticket
	rotatedAt         time.Time
}

// An attemptKey identifies a client's IP address and the address and port that it
// connects to. It leaves out the client's port.
type attemptKey [10]byte

func newAttempts() *attempts {
	return &attempts{
		current: make(map[attemptKey][]directory.Ticket),
	}
}

// add records the upstream of a flow that a client has started to open.
func (a *attempts) add(now time.Time, p *Packet, t directory.Ticket) {
	a.rotate(now)
	k := attemptKeyOf(p)
	open := append(a.find(k), t)
	if len(open) > maxAttempts {
		open = open[1:]
	}
	a.current[k] = open
}

// remove forgets the attempt of a flow that has been established.
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

// tickets returns the upstreams of the flows that p's client is opening to p's
// service address.
func (a *attempts) tickets(p *Packet) []directory.Ticket {
	return a.find(attemptKeyOf(p))
}

func (a *attempts) find(k attemptKey) []directory.Ticket {
	if open, ok := a.current[k]; ok {
		return open
	}
	return slices.Clone(a.previous[k])
}

// rotate starts a new generation after each attemptLifetime, so that attempts are
// forgotten after one to two lifetimes.
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
