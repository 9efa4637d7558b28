// Package path distinguishes a path to an upstream that has permanently failed
// from an upstream that does not answer: something in the network between the
// two ends may lose the state of an old source port while new source ports
// work.
package path

import "time"

// Interval and thresholds of a monitor.
const (
	// HeartbeatInterval is the time between two heartbeats on a path.
	HeartbeatInterval = 500 * time.Millisecond
	// MaxMissed is the number of heartbeats in a row without an answer after
	// which the path is compared with one from a fresh source port.
	MaxMissed = 4
	// MinConfirmed is the number of heartbeats in a row that only the fresh
	// path answered after which it replaces the old one. If one in ten
	// exchanges is lost, in both directions together, a working path is
	// replaced about once in a million heartbeats.
	MinConfirmed = 2
	// MaxDetectionHeartbeats is the maximum number of heartbeats from the
	// failure of a path until it is replaced, provided that the fresh path
	// loses none.
	MaxDetectionHeartbeats = 1 + MaxMissed + MinConfirmed
)

// An Action is what the caller has to do at a heartbeat.
type Action uint8

// Actions at a heartbeat.
const (
	// Ping sends a heartbeat on the path.
	Ping Action = iota
	// Compare sends one heartbeat on the path and one from a fresh source port.
	// The fresh path is kept until another action follows.
	Compare
	// Replace replaces the path by the fresh one and sends a heartbeat on it.
	Replace
)

// A Monitor detects the failure of one path by heartbeats. It is not safe for
// concurrent use.
type Monitor struct {
	// pending reports that a heartbeat has been sent whose result has not been
	// recorded yet.
	pending bool
	// answered and fresh report whether the pending heartbeat was answered on
	// the path and on the fresh path.
	answered bool
	fresh    bool
	missed   int
	// confirmed counts the heartbeats in a row that only the fresh path
	// answered.
	confirmed int
}

// Answered records an answer to the pending heartbeat; fresh tells that it came
// on the fresh path.
func (m *Monitor) Answered(fresh bool) {
	if fresh {
		m.fresh = true
		return
	}
	m.answered = true
}

// NextHeartbeat records the result of the pending heartbeat, starts the next
// one and returns the action for it.
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
