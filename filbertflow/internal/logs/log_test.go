package logs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// run returns the lines that f logs.
func run(t *testing.T, rate int, f func(l *Log)) []map[string]any {
	t.Helper()
	var out bytes.Buffer
	l := New(&out, "lb-1", logrus.InfoLevel, rate)
	f(l)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	var lines []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if text == "" {
			continue
		}
		line := make(map[string]any)
		require.NoError(t, json.Unmarshal([]byte(text), &line))
		lines = append(lines, line)
	}
	return lines
}

func TestLinesHaveFields(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lines := run(t, 10, func(l *Log) { l.Warn(now, "store: calls fail", F("revision", 7)) })
	require.Equal(t, []map[string]any{{
		"balancer": "lb-1",
		"level":    "warning",
		"msg":      "store: calls fail",
		"revision": 7.0,
		"time":     "2026-01-01T00:00:00Z",
	}}, lines)
}

func TestRateLimitIsPerMessage(t *testing.T) {
	now := time.Now()
	var dropped uint64
	lines := run(t, 10, func(l *Log) {
		for range 100 {
			l.Info(now, "flow: forward")
		}
		l.Info(now, "flow: reject")
		l.Info(now.Add(time.Second), "flow: forward")
		dropped = l.Dropped()
	})
	kinds := make(map[any]int)
	for _, line := range lines {
		kinds[line["msg"]]++
	}
	require.Equal(t, map[any]int{
		"flow: forward": 11,
		"flow: reject":  1,
	}, kinds)
	require.Equal(t, uint64(90), dropped)
	require.InDelta(t, 90, lines[len(lines)-1]["left_out"], 0)
}

// blockedWriter is a writer that nobody reads from.
type blockedWriter struct{ ended chan struct{} }

func (s blockedWriter) Write([]byte) (int, error) {
	<-s.ended
	return 0, io.ErrClosedPipe
}

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	s := blockedWriter{ended: make(chan struct{})}
	defer close(s.ended)
	l := New(s, "lb-1", logrus.InfoLevel, 1<<20)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	now := time.Now()
	for range 100 * ringSize {
		l.Info(now, "flow: forward", F("flow", strings.Repeat("x", 100)))
	}
	require.Positive(t, l.Dropped())
	cancel()
}

// BenchmarkInfo compares a line that is written, one that exceeds its rate and
// one below the log level.
func BenchmarkInfo(b *testing.B) {
	for _, bench := range []struct {
		name  string
		rate  int
		level logrus.Level
	}{
		{
			name:  "none",
			rate:  1,
			level: logrus.ErrorLevel,
		},
		{
			name:  "over the rate",
			rate:  1,
			level: logrus.InfoLevel,
		},
		{
			name:  "written",
			rate:  1 << 30,
			level: logrus.InfoLevel,
		},
	} {
		b.Run(bench.name, func(b *testing.B) {
			l := New(io.Discard, "lb-1", bench.level, bench.rate)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.Run(ctx)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				l.Info(now, "flow: forward", F("flow", "100.64.0.7:40001"), F("upstream", "i-7f3a91c2"), F("revision", 12))
			}
		})
	}
}
