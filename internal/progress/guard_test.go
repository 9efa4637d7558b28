package progress

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGuard checks when a guard stops a transfer of which some bytes come at a time.
func TestGuard(t *testing.T) {
	const minBytes = 100
	for _, test := range []struct {
		name string
		// bytes come each interval, count times.
		bytes    int
		interval time.Duration
		count    int
		// stoppedAfter is the time after which the transfer is stopped; zero for never.
		stoppedAfter time.Duration
	}{
		{
			name:         "nothing comes",
			stoppedAfter: 3 * time.Second,
		},
		{
			name:     "slow and steady",
			bytes:    10,
			interval: 90 * time.Millisecond,
			count:    1000,
		},
		{
			name:         "a byte now and then",
			bytes:        1,
			interval:     90 * time.Millisecond,
			count:        1000,
			stoppedAfter: 3 * time.Second,
		},
		{
			name:         "enough comes, and then nothing",
			bytes:        50,
			interval:     400 * time.Millisecond,
			count:        5,
			stoppedAfter: 2600 * time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				stops := make(chan time.Duration, test.count+1)
				g := NewGuard(3*time.Second, time.Second, minBytes, func() { stops <- time.Since(start) })
				for range test.count {
					<-time.After(test.interval)
					g.Add(test.bytes)
				}
				if test.count == 0 || test.stoppedAfter > 0 {
					<-time.After(5 * time.Second)
				}
				g.Stop()
				synctest.Wait()
				close(stops)
				require.Equal(t, test.stoppedAfter, <-stops)
			})
		})
	}
}

// TestBodyIsCountedWhileItComes guards against transfers that are stopped although they go on: a
// body may fill the whole buffer before it returns, and a large buffer takes long to fill.
func TestBodyIsCountedWhileItComes(t *testing.T) {
	g := NewGuard(time.Hour, time.Hour, 10, func() {})
	defer g.Stop()
	content := bytes.Repeat([]byte("0123456789"), 10)
	b := g.Body(io.NopCloser(bytes.NewReader(content)))
	n, err := b.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, 10, n)
	require.NoError(t, iotest.TestReader(b, content[10:]))
}
