// Package progress tells a transfer that is slow from one that has stopped.
package progress

import (
	"io"
	"net"
	"time"
)

// A Guard ends a transfer that makes too little progress. However long the transfer takes in all,
// it is not ended while it goes on. Only one goroutine may add bytes.
type Guard struct {
	timer    *time.Timer
	interval time.Duration
	minBytes int
	// missing is the number of bytes that must come until the timer fires, above 0.
	missing int
}

// NewGuard returns a guard that calls stop, in its own goroutine, unless the first minBytes bytes
// come within first, and each minBytes bytes after that within interval. It may call stop again if
// more bytes come after that.
func NewGuard(first, interval time.Duration, minBytes int, stop func()) *Guard {
	return &Guard{
		timer:    time.AfterFunc(first, stop),
		interval: interval,
		minBytes: minBytes,
		missing:  minBytes,
	}
}

// Add records that n more bytes have come.
func (g *Guard) Add(n int) {
	if g.missing -= n; g.missing <= 0 {
		g.missing = g.minBytes
		g.timer.Reset(g.interval)
	}
}

// Body returns a reader of b's bytes, which the guard counts.
func (g *Guard) Body(b io.ReadCloser) io.ReadCloser {
	return &body{
		ReadCloser: b,
		guard:      g,
	}
}

// Stop ends the supervision of the transfer.
func (g *Guard) Stop() {
	g.timer.Stop()
}

// Conn returns a connection of which the guard counts the bytes that are read.
func (g *Guard) Conn(c net.Conn) net.Conn {
	return &conn{
		Conn:  c,
		guard: g,
	}
}

type conn struct {
	net.Conn
	guard *Guard
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.guard.Add(n)
	return n, err
}

type body struct {
	io.ReadCloser
	guard *Guard
}

// Read implements io.Reader. It reads few bytes at once, since a body may not return before it
// has filled the buffer.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data[:min(len(data), b.guard.minBytes)])
	b.guard.Add(n)
	return n, err
}
