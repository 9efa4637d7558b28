package flow

import (
	"time"
)

// Retransmission of confirmable messages (RFC 7252).
const (
	// maxRetransmit is the number of retransmissions.
	maxRetransmit = 4
	// ackRandomFactor bounds the factor on the initial timeout.
	ackRandomFactor = 1.5
)

// A transmission is a confirmable message on its way.
type transmission struct {
	datagram []byte
	// messageID is the message id of the datagram.
	messageID           uint16
	nextTimeout         time.Time
	timeout             time.Duration
	retransmissionsLeft int
}

// newTransmission returns a transmission sent now; random is from 0 to 1.
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

// failed reports whether the last retransmission went unanswered.
func (t *transmission) failed(now time.Time) bool {
	return t.retransmissionsLeft == 0 && !now.Before(t.nextTimeout)
}

// retransmit reports whether the datagram is to be sent again now.
func (t *transmission) retransmit(now time.Time) bool {
	if t.retransmissionsLeft == 0 || now.Before(t.nextTimeout) {
		return false
	}
	t.retransmissionsLeft--
	t.timeout *= 2
	t.nextTimeout = now.Add(t.timeout)
	return true
}
