package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWakeBeforeLaterOne guards against first packets that wait for longer than they may since a
// later wake-up is scheduled already, such as for a second probe.
func TestWakeBeforeLaterOne(t *testing.T) {
	h, err := newPacketHandler(newDaemon(t))
	require.NoError(t, err)
	now := time.Now()
	h.scheduleWake(now, now.Add(time.Minute))
	h.scheduleWake(now, now.Add(10*time.Millisecond))
	woken := make(chan struct{})
	go func() {
		h.handleNext()
		close(woken)
	}()
	select {
	case <-woken:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the packet handler was not woken")
	}
}
