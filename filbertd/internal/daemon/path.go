package daemon

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/ring"
)

// A path is the socket through which an upstream is reached.
type path struct {
	upstream uint32
	remote   netip.AddrPort
	socket   *net.UDPConn
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

// close closes all paths.
func (s *pathSet) close() {
	for id, p := range s.paths {
		_ = p.socket.Close()
		delete(s.paths, id)
	}
}

// configure closes the paths to upstreams that are gone, have another address
// or lie in zones taken out.
func (s *pathSet) configure(c *config.Snapshot) {
	for id, p := range s.paths {
		u := c.Upstream(id).Upstream
		if u == nil || u.Address != p.remote || !c.ZoneIn(u.Zone) {
			_ = p.socket.Close()
			delete(s.paths, id)
		}
	}
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
