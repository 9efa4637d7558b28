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

// A life is whether an upstream answers at all.
type life struct {
	// lostWork and lostProbes count requests and probes without an answer since
	// the last answer to a request; an answered probe clears lostProbes only.
	lostWork   uint32
	lostProbes uint32
	// retryAt is the earliest time of a request while down.
	retryAt time.Time
	wait    time.Duration
}

func (l *life) answered() {
	*l = life{}
}

func (l *life) down() bool {
	return l.lostWork >= DownAfter || l.lostProbes >= DownAfter
}

func (l *life) probeAnswered() {
	l.lostProbes = 0
}

func (l *life) probeLost() {
	l.lostProbes = min(DownAfter, l.lostProbes+1)
}

// retry reports whether a request may be risked at an upstream that is down;
// requests is the number in flight.
func (l *life) retry(now time.Time, requests uint32) bool {
	return l.lostProbes < DownAfter && requests == 0 && !now.Before(l.retryAt)
}

func (l *life) lose(now time.Time) {
	l.lostWork = min(DownAfter, l.lostWork+1)
	if l.lostWork < DownAfter {
		return
	}
	l.wait = min(MaxDownRetry, max(MinDownRetry, 2*l.wait))
	l.retryAt = now.Add(l.wait)
}
