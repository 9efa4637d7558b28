// Package path tells a path to an upstream that has gone silent for good from
// an upstream that does not answer: something between the two ends may lose
// track of an old source port while new ones work.
package path

import "time"

// Times and counts of a monitor.
const (
	// HeartbeatInterval is the time between two heartbeats on a path.
	HeartbeatInterval = 500 * time.Millisecond
	// MaxMissed is the number of heartbeats without an answer after which the
	// path is compared with one from a fresh source port.
	MaxMissed = 4
	// MinConfirmed is the number of heartbeats that only the fresh path
	// answered, in a row, after which it replaces the old one. A loss of one in
	// ten in both directions together takes a path for silent about once in a
	// million heartbeats.
	MinConfirmed = 2
	// MaxDetection is the greatest number of heartbeats from the loss of a path
	// until it is replaced, while the fresh path loses none.
	MaxDetection = 1 + MaxMissed + MinConfirmed
)

// An Action is what a monitor asks for at a heartbeat.
type Action uint8

// Actions at a heartbeat.
const (
	// Ping sends a heartbeat on the path.
	Ping Action = iota
	// Compare sends one on the path and one from a fresh source port, which is
	// kept until another action follows.
	Compare
	// Replace puts the fresh source port in the path's place, and sends a
	// heartbeat on it.
	Replace
)

// A Monitor watches one path. It is not safe for concurrent use.
type Monitor struct {
	// pending tells that a heartbeat is under way.
	pending bool
	// answered and fresh tell what the heartbeat under way brought.
	answered bool
	fresh    bool
	missed   int
	// confirmed counts heartbeats in a row that only the fresh path answered.
	confirmed int
}

// Answered takes the answer to a heartbeat; fresh tells that it came on the
// fresh path.
func (m *Monitor) Answered(fresh bool) {
	if fresh {
		m.fresh = true
		return
	}
	m.answered = true
}

// NextHeartbeat ends one heartbeat and begins the next.
func (m *Monitor) NextHeartbeat() Action {
	m.recordResult()
	m.pending = true
	m.answered = false
	m.fresh = false
	switch {
	case m.confirmed >= MinConfirmed:
		m.missed = 0
		m.confirmed = 0
		return Replace
	case m.missed >= MaxMissed:
		return Compare
	default:
		return Ping
	}
}

func (m *Monitor) recordResult() {
	switch {
	case !m.pending:
	case m.answered:
		m.missed = 0
		m.confirmed = 0
	case m.fresh:
		m.missed++
		m.confirmed++
	default:
		m.missed++
		m.confirmed = 0
	}
}
