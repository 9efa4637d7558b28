package member

import (
	"time"

	"filbertworks.example/filbertworks/config"
)

// Times of trust in one's own view.
const (
	// PauseLimit is the longest time between two ticks of a process that is
	// taken to have run all the time.
	PauseLimit = time.Second
	// PeerGrace is how long a process that woke waits for a peer before the
	// platform's word is enough: the platform may be stale.
	PeerGrace = time.Second
	// ConfirmationTimeout is how long a process that woke waits for anybody.
	ConfirmationTimeout = 3 * time.Second
)

// A Freshness tells whether a process may act on its view and configuration. A
// process that starts or wakes may not, until someone has told it the version
// in force since, or nobody could in time. It is not safe for concurrent use.
type Freshness struct {
	ticked time.Time
	// woke is when the process started or woke; zero while it is trusted.
	woke time.Time
	// required is the highest version told since then.
	required config.Version
	peer     bool
	platform bool
}

// NewFreshness returns the trust of a process that starts at now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		ticked: now,
		woke:   now,
	}
}

// PeerConfirmed takes the version in force at a peer that answered since the
// process woke.
func (t *Freshness) PeerConfirmed(v config.Version) {
	t.peer = true
	t.required = max(t.required, v)
}

// PlatformConfirmed takes the version of an answer to a call of the platform that
// began at a time.
func (t *Freshness) PlatformConfirmed(began time.Time, v config.Version) {
	if began.Before(t.woke) {
		return
	}
	t.platform = true
	t.required = max(t.required, v)
}

// Tick takes the time and reports whether the process was paused since the
// last tick, and since when.
func (t *Freshness) Tick(now time.Time) (since time.Time, paused bool) {
	since = t.ticked
	t.ticked = now
	if now.Sub(since) < PauseLimit {
		return since, false
	}
	*t = Freshness{
		ticked: now,
		woke:   now,
	}
	return since, true
}

// Confirmed reports whether the process may act on the version in force.
func (t *Freshness) Confirmed(now time.Time, inForce config.Version) bool {
	if t.woke.IsZero() {
		return true
	}
	age := now.Sub(t.woke)
	told := t.peer || t.platform && age >= PeerGrace || age >= ConfirmationTimeout
	if !told || inForce < t.required {
		return false
	}
	t.woke = time.Time{}
	return true
}
