package upstream

import "time"

// Parameters of the detection of upstreams that do not answer.
const (
	// DownAfter is the number of consecutive requests or probes without an
	// answer after which an upstream is down.
	DownAfter = 3
	// MinDownRetry and MaxDownRetry bound the backoff until a request is tried
	// at an upstream that is down.
	MinDownRetry = time.Second
	MaxDownRetry = 8 * time.Second
)

// A liveness tracks whether an upstream answers at all.
type liveness struct {
	// lostRequests and lostProbes count requests and probes without an answer
	// since the last answer to a request; an answered probe resets lostProbes
	// only.
	lostRequests uint32
	lostProbes   uint32
	// retryAt is the earliest time for a request while the upstream is down.
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

// mayRetry reports whether a request may be tried at an upstream that is down;
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
