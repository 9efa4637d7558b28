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
	lastTick time.Time
	// resumed is when the process started or resumed; zero while it is trusted.
	resumed time.Time
	// requiredVersion is the highest version told since then.
	requiredVersion   config.Version
	peerConfirmed     bool
	platformConfirmed bool
}

// NewFreshness returns the trust of a process that starts at now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		lastTick: now,
		resumed:  now,
	}
}

// PeerConfirmed takes the version in force at a peer that answered since the
// process woke.
func (f *Freshness) PeerConfirmed(v config.Version) {
	f.peerConfirmed = true
	f.requiredVersion = max(f.requiredVersion, v)
}

// PlatformConfirmed takes the version of an answer to a call of the platform that
// began at a time.
func (f *Freshness) PlatformConfirmed(began time.Time, v config.Version) {
	if began.Before(f.resumed) {
		return
	}
	f.platformConfirmed = true
	f.requiredVersion = max(f.requiredVersion, v)
}

// Tick takes the time and reports whether the process was paused since the
// last tick, and since when.
func (f *Freshness) Tick(now time.Time) (since time.Time, paused bool) {
	since = f.lastTick
	f.lastTick = now
	if now.Sub(since) < PauseLimit {
		return since, false
	}
	*f = Freshness{
		lastTick: now,
		resumed:  now,
	}
	return since, true
}

// Confirmed reports whether the process may act on the version in force.
func (f *Freshness) Confirmed(now time.Time, inForce config.Version) bool {
	if f.resumed.IsZero() {
		return true
	}
	age := now.Sub(f.resumed)
	confirmed := f.peerConfirmed || f.platformConfirmed && age >= PeerGrace || age >= ConfirmationTimeout
	if !confirmed || inForce < f.requiredVersion {
		return false
	}
	f.resumed = time.Time{}
	return true
}
