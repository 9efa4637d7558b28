package daemon

import (
	"encoding/hex"
	"net/netip"

	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/balancer"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/ring"
	"filbertworks.example/filbertworks/verdict"
)

// journalSize is the number of decisions that can wait to be logged. Further
// ones are counted but not logged.
const journalSize = 4096

// A record is a copy of a decision that does not refer to its datagram.
type record struct {
	service  uint32
	caller   netip.AddrPort
	kind     packet.Kind
	token    packet.Token
	upstream uint32
	keeper   string
	placed   bool
	reason   verdict.Reason
}

// A journal logs decisions in its own goroutine, so that a slow log does not
// delay datagrams.
type journal struct {
	log     *logrus.Entry
	records *ring.Ring[record]
}

func newJournal(log *logrus.Entry) *journal {
	return &journal{
		log:     log,
		records: ring.New[record](journalSize),
	}
}

// add queues a decision to be logged: at level info if it is a placement or a
// refusal, at level debug if it follows an earlier placement.
func (j *journal) add(d *balancer.Decision) {
	if !j.log.Logger.IsLevelEnabled(level(d.Placed, d.Reason)) {
		return
	}
	j.records.Offer(record{
		service:  d.Header.Service,
		caller:   d.Header.Caller,
		kind:     d.Header.Kind,
		token:    d.Header.Token,
		upstream: d.Upstream,
		keeper:   d.Keeper,
		placed:   d.Placed,
		reason:   d.Reason,
	})
}

// run logs records until stop is closed.
func (j *journal) run(stop <-chan struct{}) {
	for {
		select {
		case r := <-j.records.C():
			j.write(&r)
		case <-stop:
			return
		}
	}
}

func (j *journal) write(r *record) {
	e := j.log.WithFields(logrus.Fields{
		"service":  r.service,
		"caller":   r.caller,
		"kind":     r.kind,
		"token":    hex.EncodeToString(r.token.Slice()),
		"upstream": r.upstream,
		"keeper":   r.keeper,
		"reason":   r.reason,
	})
	switch {
	case r.upstream == 0:
		e.Info("route: refused")
	case r.placed:
		e.Info("route: placed")
	default:
		e.Debug("route: followed")
	}
}

func level(placed bool, reason verdict.Reason) logrus.Level {
	if placed || reason != verdict.ReasonNone {
		return logrus.InfoLevel
	}
	return logrus.DebugLevel
}
