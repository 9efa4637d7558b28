package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// A link is the path of one machine to the store: a proxy that passes on so many bytes a second
// to the machine.
type link struct {
	listener net.Listener
	to       string
	rate     float64

	mu   sync.Mutex
	free time.Time // when the link has passed on all that was sent so far
}

// maxLag is how far a link may lag behind its rate and still catch up.
const maxLag = 20 * time.Millisecond

// megabit is the number of bytes in a megabit.
const megabit = 125_000

func newLink(at, to netip.AddrPort, mbps float64) (*link, error) {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, to: to.String(), rate: mbps * megabit}
	go k.accept()
	return k, nil
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp4", l.to)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.Close()
	}()
	b := make([]byte, 1460)
	for {
		n, err := s.Read(b)
		if n > 0 {
			time.Sleep(time.Until(l.pass(n)))
			if _, err := c.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass returns when n more bytes have been passed on. A sleep that lasted too long is made up for,
// up to maxLag.
func (l *link) pass(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now.Add(-maxLag)) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}
