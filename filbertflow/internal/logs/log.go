// Package logs writes structured log lines at a bounded rate and never blocks its
// callers.
package logs

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/ring"
)

const (
	// ringSize is the number of lines that may wait to be written.
	ringSize = 512
	// flushTimeout bounds the time for writing the remaining lines when the log
	// ends.
	flushTimeout = 200 * time.Millisecond
)

// A Field is a named value of a line.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}

// A line is waiting to be written.
type line struct {
	at      time.Time
	level   logrus.Level
	message string
	fields  []Field
	// dropped is the number of lines with the same message that were dropped
	// since the last one.
	dropped uint64
}

// A Log writes lines and is safe for concurrent use. It counts and drops lines
// whose message exceeds its rate, and those for which the ring has no room.
type Log struct {
	out     *logrus.Logger
	buffer  *bufio.Writer
	name    string
	rate    float64
	lines   *ring.Ring[line]
	dropped atomic.Uint64

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// A tokenBucket limits the rate of lines with one message.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	// dropped is the number of lines dropped since the last one that was allowed.
	dropped uint64
}

// New returns a log that writes to w at most rate lines with the same message per
// second. The name is that of the balancer.
func New(w io.Writer, name string, level logrus.Level, rate int) *Log {
	l := &Log{
		out:     logrus.New(),
		buffer:  bufio.NewWriter(w),
		name:    name,
		rate:    float64(rate),
		lines:   ring.New[line](ringSize),
		buckets: make(map[string]*tokenBucket),
	}
	l.out.SetOutput(l.buffer)
	l.out.SetLevel(level)
	l.out.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l
}

// Dropped returns the number of lines dropped so far.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load() + l.lines.Refused()
}

// Info writes a line. The message must be constant: lines are limited by message.
func (l *Log) Info(now time.Time, message string, fields ...Field) {
	l.write(now, logrus.InfoLevel, message, fields)
}

// Run writes lines until ctx ends.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case next := <-l.lines.C():
			l.emit(&next)
			l.flushIdle()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

// Warn writes a line that reports a fault. The message must be constant: lines
// are limited by message.
func (l *Log) Warn(now time.Time, message string, fields ...Field) {
	l.write(now, logrus.WarnLevel, message, fields)
}

func (l *Log) emit(next *line) {
	fields := make(logrus.Fields, len(next.fields)+2)
	fields["balancer"] = l.name
	for _, f := range next.fields {
		fields[f.Name] = f.Value
	}
	if next.dropped > 0 {
		fields["left_out"] = next.dropped
	}
	l.out.WithTime(next.at).WithFields(fields).Log(next.level, next.message)
}

// drain writes the remaining lines, unless that takes longer than flushTimeout.
func (l *Log) drain() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for l.lines.Len() > 0 {
			next := <-l.lines.C()
			l.emit(&next)
		}
		l.flushIdle()
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// flushIdle flushes the buffer if no more lines are waiting.
func (l *Log) flushIdle() {
	if l.lines.Len() > 0 {
		return
	}
	if err := l.buffer.Flush(); err != nil {
		// The writer has failed, and there is no other place to report that.
		l.dropped.Add(1)
		l.buffer.Reset(io.Discard)
	}
}

// allow reports whether a line with a message may be written, and how many lines
// with that message were dropped before it.
func (l *Log) allow(now time.Time, message string) (dropped uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[message]
	if b == nil {
		b = &tokenBucket{
			tokens:     l.rate,
			refilledAt: now,
		}
		l.buckets[message] = b
	}
	b.tokens = min(b.tokens+l.rate*now.Sub(b.refilledAt).Seconds(), l.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		b.dropped++
		l.dropped.Add(1)
		return 0, false
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}

func (l *Log) write(now time.Time, level logrus.Level, message string, fields []Field) {
	if !l.out.IsLevelEnabled(level) {
		return
	}
	dropped, ok := l.allow(now, message)
	if !ok {
		return
	}
	l.lines.Offer(line{
		at:      now,
		level:   level,
		message: message,
		fields:  fields,
		dropped: dropped,
	})
}
