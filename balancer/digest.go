package balancer

import (
	"time"

	"filbertworks.example/filbertworks/wire"
)

// Pace of load digests.
const (
	// DigestInterval is the time between two looks at the loads.
	DigestInterval = 250 * time.Millisecond
	// digestRefresh is the time after which an unchanged load is told again; it
	// lies below placement.LoadTTL, so that a lost digest does no harm.
	digestRefresh = 2 * time.Second
	// digestChange is the change of a level that is told at once.
	digestChange = 10
	// digestBudget is the greatest rate of digests, in bytes a second with
	// headers.
	digestBudget = 4000
	// digestBurst is the greatest number of bytes sent at once.
	digestBurst = 4000
	// datagramOverhead is the size of the headers of IP and UDP, in bytes.
	datagramOverhead = 28
)

// A DigestScheduler decides which loads are told to how many peers, and when. A pass
// tells the loads that have changed to one peer after the other, as fast as the
// budget allows; the next one begins when it is over.
type DigestScheduler struct {
	sent map[uint32]sentLoad
	// datagram is that of the pass in hand, empty where there is none.
	datagram []byte
	nextPeer int
	// tokens is the number of bytes that may be sent now.
	tokens   float64
	refilled time.Time
	due      []wire.Load
}

// sentLoad is a load as last sentLoad to peers.
type sentLoad struct {
	load wire.Load
	at   time.Time
}

// NewDigestScheduler returns a digester that has told nothing.
func NewDigestScheduler() *DigestScheduler {
	return &DigestScheduler{sent: make(map[uint32]sentLoad)}
}

// Next returns a datagram and the range of peers, ordered alike at each call,
// that it goes to now. It is valid until the next call.
func (d *DigestScheduler) Next(now time.Time, loads []wire.Load, peers int) (datagram []byte, first, end int) {
	d.refill(now)
	if len(d.datagram) == 0 {
		d.startPass(now, loads)
	}
	if len(d.datagram) == 0 {
		return nil, 0, 0
	}
	size := float64(len(d.datagram) + datagramOverhead)
	first = min(d.nextPeer, peers)
	end = min(peers, first+int(d.tokens/size))
	d.tokens -= float64(end-first) * size
	d.nextPeer = end
	datagram = d.datagram
	if end == peers {
		d.datagram = d.datagram[:0]
		d.nextPeer = 0
	}
	return datagram, first, end
}

// startPass starts a pass with the loads that have changed or are due.
func (d *DigestScheduler) startPass(now time.Time, loads []wire.Load) {
	d.due = d.due[:0]
	for _, l := range loads {
		t, ok := d.sent[l.Upstream]
		if ok && now.Sub(t.at) < digestRefresh && !changed(l.Requests, t.load.Requests) && !changed(l.Watches, t.load.Watches) {
			continue
		}
		if len(d.due) == wire.MaxLoads {
			break
		}
		d.due = append(d.due, l)
		d.sent[l.Upstream] = sentLoad{
			load: l,
			at:   now,
		}
	}
	if len(d.due) > 0 {
		d.datagram = wire.AppendLoads(d.datagram[:0], d.due)
	}
}

func (d *DigestScheduler) refill(now time.Time) {
	if !d.refilled.IsZero() {
		d.tokens += now.Sub(d.refilled).Seconds() * digestBudget
	} else {
		d.tokens = digestBurst
	}
	d.tokens = min(d.tokens, digestBurst)
	d.refilled = now
}

// changed reports whether a level differs materially from the one told.
func changed(level, sent wire.Level) bool {
	return max(level, sent)-min(level, sent) >= digestChange
}
