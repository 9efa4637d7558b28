package daemon

import (
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
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
}

// A pathSet holds the paths that are in use.
type pathSet struct {
	local  netip.Addr
	events *ring.Ring[event]
	paths  map[uint32]*path
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
			s.retire(p)
		}
	}
}

// retire closes a path once every request on it has passed its deadline.
func (s *pathSet) retire(p *path) {
	p.retired = true
	time.AfterFunc(config.MaxDeadline, func() { _ = p.socket.Close() })
}

// to returns the path to u, which it opens if need be.
func (s *pathSet) to(u *config.Upstream) (*path, error) {
	if p := s.paths[u.ID]; p != nil {
		return p, nil
	}
	local := net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.local, 0))
	socket, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(u.Address))
	if err != nil {
		return nil, eris.Wrapf(err, "open path to upstream %s", u.Name)
	}
	p := &path{
		upstream: u.ID,
		remote:   u.Address,
		socket:   socket,
	}
	s.paths[u.ID] = p
	go readDatagrams(socket, s.events, event{
		source: sourceUpstream,
		id:     u.ID,
		path:   p,
	})
	return p, nil
}
