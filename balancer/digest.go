package balancer

import (
	"time"

	"filbertworks.example/filbertworks/wire"
)

// Rate of load digests.
const (
	// DigestInterval is the interval at which loads are checked for changes.
	DigestInterval = 250 * time.Millisecond
	// digestRefresh is the time after which an unchanged load is sent again. It
	// is less than half of placement.LoadTTL, so that a load does not expire if
	// one digest is lost.
	digestRefresh = 2 * time.Second
	// digestChange is the smallest change of a level, in hundredths of the
	// capacity, that is sent before digestRefresh has passed.
	digestChange = 10
	// digestBudget is the maximum rate of digests, in bytes per second
	// including headers.
	digestBudget = 4000
	// digestBurst is the maximum number of bytes that are sent at once.
	digestBurst = 4000
	// datagramOverhead is the size of the IP and UDP headers, in bytes.
	datagramOverhead = 28
)

// A DigestScheduler decides which loads are sent to which peers, and when. A
// pass sends the loads that have changed to one peer after the other, as fast
// as the rate limit allows; the next pass starts when all peers were served.
type DigestScheduler struct {
	// sent holds the loads last sent, by upstream.
	sent map[uint32]sentLoad
	// datagram is the digest of the current pass, empty between passes.
	datagram []byte
	// nextPeer is the index of the first peer not served in the current pass.
	nextPeer int
	// tokens is the number of bytes that may be sent now.
	tokens float64
	// refilled is when tokens was last increased.
	refilled time.Time
	// due is scratch space for the loads of a pass.
	due []wire.Load
}

// A sentLoad is a load as it was last sent to peers.
type sentLoad struct {
	load wire.Load
	at   time.Time
}

// NewDigestScheduler returns a scheduler that has sent nothing yet.
func NewDigestScheduler() *DigestScheduler {
	return &DigestScheduler{sent: make(map[uint32]sentLoad)}
}

// Next returns a datagram and the range of peers to send it to now. Peers must
// be in the same order at each call. The datagram is valid until the next call.
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

// refill adds the tokens for the time since the last call.
func (d *DigestScheduler) refill(now time.Time) {
	if !d.refilled.IsZero() {
		d.tokens += now.Sub(d.refilled).Seconds() * digestBudget
	} else {
		d.tokens = digestBurst
	}
	d.tokens = min(d.tokens, digestBurst)
	d.refilled = now
}

// changed reports whether a level differs by at least digestChange from the one
// last sent.
func changed(level, sent wire.Level) bool {
	return max(level, sent)-min(level, sent) >= digestChange
}
