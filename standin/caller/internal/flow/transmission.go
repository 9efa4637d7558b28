package flow

import (
	"time"
)

// Retransmission of confirmable messages (RFC 7252).
const (
	// maxRetransmit is the number of retransmissions.
	maxRetransmit = 4
	// ackRandom bounds the factor on the initial timeout.
	ackRandom = 1.5
)

// A transmission is a confirmable message on its way.
type transmission struct {
	datagram []byte
	// id is the message id of the datagram.
	id      uint16
	due     time.Time
	timeout time.Duration
	left    int
}

// newTransmission returns a transmission sent now; random is from 0 to 1.
func newTransmission(now time.Time, datagram []byte, id uint16, ackTimeout time.Duration, random float64) *transmission {
	timeout := time.Duration((1 + random*(ackRandom-1)) * float64(ackTimeout))
	return &transmission{
		datagram: datagram,
		id:       id,
		due:      now.Add(timeout),
		timeout:  timeout,
		left:     maxRetransmit,
	}
}

// failed reports whether the last retransmission went unanswered.
func (t *transmission) failed(now time.Time) bool {
	return t.left == 0 && !now.Before(t.due)
}

// resend reports whether the datagram is to be sent again now.
func (t *transmission) resend(now time.Time) bool {
	if t.left == 0 || now.Before(t.due) {
		return false
	}
	t.left--
	t.timeout *= 2
	t.due = now.Add(t.timeout)
	return true
}
