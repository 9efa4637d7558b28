package flow

import (
	"time"
)

// Parameters of the retransmission of confirmable messages (RFC 7252).
const (
	// maxRetransmit is the greatest number of retransmissions.
	maxRetransmit = 4
	// ackRandomFactor is the greatest factor by which the initial timeout is
	// randomly lengthened.
	ackRandomFactor = 1.5
)

// A transmission is a confirmable message that is not acknowledged yet.
type transmission struct {
	datagram []byte
	// messageID is the message id of the datagram.
	messageID           uint16
	nextTimeout         time.Time
	timeout             time.Duration
	retransmissionsLeft int
}

// newTransmission returns a transmission that is first sent now. The initial
// timeout is ackTimeout times a factor from 1 to ackRandomFactor, which random
// selects with a value from 0 to 1.
func newTransmission(now time.Time, datagram []byte, messageID uint16, ackTimeout time.Duration, random float64) *transmission {
	timeout := time.Duration((1 + random*(ackRandomFactor-1)) * float64(ackTimeout))
	return &transmission{
		datagram:            datagram,
		messageID:           messageID,
		nextTimeout:         now.Add(timeout),
		timeout:             timeout,
		retransmissionsLeft: maxRetransmit,
	}
}

// failed reports whether the timeout of the last retransmission has passed.
func (t *transmission) failed(now time.Time) bool {
	return t.retransmissionsLeft == 0 && !now.Before(t.nextTimeout)
}

// retransmit reports whether the datagram must be sent again now. If so, it
// doubles the timeout.
func (t *transmission) retransmit(now time.Time) bool {
	if t.retransmissionsLeft == 0 || now.Before(t.nextTimeout) {
		return false
	}
	t.retransmissionsLeft--
	t.timeout *= 2
	t.nextTimeout = now.Add(t.timeout)
	return true
}
