package daemon

import (
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	pathmonitor "filbertworks.example/filbertworks/path"
	"filbertworks.example/filbertworks/ring"
)

// A path is a connected socket to an upstream, with a source port of its own.
type path struct {
	upstream uint32
	remote   netip.AddrPort
	socket   *net.UDPConn
	// retired is set on a path that only receives: answers to requests in
	// progress may still arrive, but nothing may be sent. Only the loop's
	// goroutine uses it.
	retired bool
	// monitor detects that the path has gone silent. alternate is a path from a
	// new source port that this path is compared with, or nil.
	monitor   pathmonitor.Monitor
	alternate *path
	// pingID is the message ID of the last heartbeat, and pingPending whether it
	// has no answer yet.
	pingID      uint16
	pingPending bool
}

// A pathSet holds the paths in use by upstream ID.
type pathSet struct {
	localIP netip.Addr
	events  *ring.Ring[event]
	paths   map[uint32]*path
	// nextHeartbeat is when the next heartbeats are due.
	nextHeartbeat time.Time
}

func newPathSet(local netip.Addr, events *ring.Ring[event]) *pathSet {
	return &pathSet{
		localIP: local,
		events:  events,
		paths:   make(map[uint32]*path),
	}
}

// close closes all paths in use. Retired paths are closed by their timers.
func (s *pathSet) close() {
	for id, p := range s.paths {
		s.closeAlternate(p)
		_ = p.socket.Close()
		delete(s.paths, id)
	}
}

// configure retires the paths to upstreams that have been removed, have another
// address or are in zones that are out.
func (s *pathSet) configure(c *config.Snapshot) {
	for id, p := range s.paths {
		u := c.Upstream(id).Upstream
		if u == nil || u.Address != p.remote || !c.ZoneIn(u.Zone) {
			delete(s.paths, id)
			s.closeAlternate(p)
			s.retire(p)
		}
	}
}

// retire stops sending on a path and closes it when every request on it has
// passed its deadline.
func (s *pathSet) retire(p *path) {
	p.retired = true
	time.AfterFunc(config.MaxDeadline, func() { _ = p.socket.Close() })
}

// get returns the path to an upstream and opens one if there is none.
func (s *pathSet) get(u *config.Upstream) (*path, error) {
	if p := s.paths[u.ID]; p != nil {
		return p, nil
	}
	p, err := s.open(u.ID, u.Address)
	if err != nil {
		return nil, err
	}
	s.paths[u.ID] = p
	return p, nil
}

// closeAlternate closes the path that p is compared with, if there is one.
func (s *pathSet) closeAlternate(p *path) {
	if p.alternate != nil {
		_ = p.alternate.socket.Close()
		p.alternate = nil
	}
}

// open returns a new path, whose source port the operating system chooses. A
// goroutine reads its datagrams until its socket is closed.
func (s *pathSet) open(upstream uint32, remote netip.AddrPort) (*path, error) {
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.localIP, 0))
	socket, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(remote))
	if err != nil {
		return nil, eris.Wrapf(err, "open path to upstream %d", upstream)
	}
	p := &path{
		upstream: upstream,
		remote:   remote,
		socket:   socket,
	}
	go readDatagrams(socket, s.events, event{
		source: sourceUpstream,
		id:     upstream,
		path:   p,
	})
	return p, nil
}
