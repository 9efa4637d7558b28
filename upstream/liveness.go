package upstream

import "time"

// Times and counts of an upstream that does not answer.
const (
	// DownAfter is the number of requests or of probes in a row without an
	// answer after which an upstream is down.
	DownAfter = 3
	// MinDownRetry and MaxDownRetry bound the time until a request is risked at
	// an upstream that is down.
	MinDownRetry = time.Second
	MaxDownRetry = 8 * time.Second
)

// A liveness is whether an upstream answers at all.
type liveness struct {
	// lostRequests and lostProbes count requests and probes without an answer since
	// the last answer to a request; an answered probe clears lostProbes only.
	lostRequests uint32
	lostProbes   uint32
	// retryAt is the earliest time of a request while down.
	retryAt    time.Time
	retryDelay time.Duration
}

func (l *liveness) onAnswer() {
	*l = liveness{}
}

func (l *liveness) down() bool {
	return l.lostRequests >= DownAfter || l.lostProbes >= DownAfter
}

func (l *liveness) probeAnswered() {
	l.lostProbes = 0
}

func (l *liveness) probeLost() {
	l.lostProbes = min(DownAfter, l.lostProbes+1)
}

// mayRetry reports whether a request may be risked at an upstream that is down;
// requests is the number in flight.
func (l *liveness) mayRetry(now time.Time, requests uint32) bool {
	return l.lostProbes < DownAfter && requests == 0 && !now.Before(l.retryAt)
}

func (l *liveness) requestLost(now time.Time) {
	l.lostRequests = min(DownAfter, l.lostRequests+1)
	if l.lostRequests < DownAfter {
		return
	}
	l.retryDelay = min(MaxDownRetry, max(MinDownRetry, 2*l.retryDelay))
	l.retryAt = now.Add(l.retryDelay)
}
