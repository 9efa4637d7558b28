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

// A path is the socket through which an upstream is reached.
type path struct {
	upstream uint32
	remote   netip.AddrPort
	socket   *net.UDPConn
	// retired paths only receive: answers to requests in progress may still
	// come, and nothing may be sent. It belongs to the loop's goroutine.
	retired bool
	// monitor tells whether the path has gone silent; fresh is the path from a
	// fresh source port that it is compared with, or nil.
	monitor   pathmonitor.Monitor
	alternate *path
	// pingID is the message id of the heartbeat under way, if pinged.
	pingID      uint16
	pingPending bool
}

// A pathSet holds the paths that are in use.
type pathSet struct {
	local  netip.Addr
	events *ring.Ring[event]
	paths  map[uint32]*path
	// nextHeartbeat is when heartbeats are due.
	nextHeartbeat time.Time
}

func newPathSet(local netip.Addr, events *ring.Ring[event]) *pathSet {
	return &pathSet{
		local:  local,
		events: events,
		paths:  make(map[uint32]*path),
	}
}

// close closes all paths in use; retired ones close by their timers.
func (s *pathSet) close() {
	for id, p := range s.paths {
		s.closeAlternate(p)
		_ = p.socket.Close()
		delete(s.paths, id)
	}
}

// configure retires the paths to upstreams that are gone, have another address
// or lie in zones taken out.
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

// retire closes a path once every request on it has passed its deadline.
func (s *pathSet) retire(p *path) {
	p.retired = true
	time.AfterFunc(config.MaxDeadline, func() { _ = p.socket.Close() })
}

// get returns the path get u, which it opens if need be.
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

// open returns a path from a fresh source port.
func (s *pathSet) open(upstream uint32, remote netip.AddrPort) (*path, error) {
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.local, 0))
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
