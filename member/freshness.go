package member

import (
	"time"

	"filbertworks.example/filbertworks/config"
)

// Timeouts of the freshness check.
const (
	// PauseLimit is the time between two ticks from which on a process is taken
	// to have been suspended.
	PauseLimit = time.Second
	// PeerGrace is how long a process waits for a peer after it started or
	// resumed before the platform's answer alone is enough: the platform may
	// return a stale version.
	PeerGrace = time.Second
	// ConfirmationTimeout is how long a process waits for any answer after it
	// started or resumed before it acts without one.
	ConfirmationTimeout = 3 * time.Second
)

// A Freshness tells whether a process may act on its view and configuration.
// After a start or a suspension both may be stale: the process may not act
// until a peer or the platform has reported a version, or none did in time, and
// the version in force is not lower than any reported one. It is not safe for
// concurrent use.
type Freshness struct {
	lastTick time.Time
	// resumed is when the process started or resumed; zero once it may act.
	resumed time.Time
	// requiredVersion is the highest version reported since then.
	requiredVersion   config.Version
	peerConfirmed     bool
	platformConfirmed bool
}

// NewFreshness returns the freshness of a process that starts at now.
func NewFreshness(now time.Time) *Freshness {
	return &Freshness{
		lastTick: now,
		resumed:  now,
	}
}

// PeerConfirmed records the version in force at a peer that has answered a
// probe since the process started or resumed.
func (f *Freshness) PeerConfirmed(v config.Version) {
	f.peerConfirmed = true
	f.requiredVersion = max(f.requiredVersion, v)
}

// PlatformConfirmed records the version that the platform returned to a call
// that began at the given time. A call from before the process started or
// resumed is ignored.
func (f *Freshness) PlatformConfirmed(began time.Time, v config.Version) {
	if began.Before(f.resumed) {
		return
	}
	f.platformConfirmed = true
	f.requiredVersion = max(f.requiredVersion, v)
}

// Tick must be called regularly. It reports whether the process was suspended
// since the last call, and the time of that call.
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
