package daemon

import (
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/ring"
)

// listeners holds the sockets that receive callers' datagrams, by service ID.
type listeners struct {
	// ip is the address to listen on instead of the services' own addresses, if
	// it is valid.
	ip      netip.Addr
	events  *ring.Ring[event]
	log     *logrus.Entry
	sockets map[uint32]*listener
}

type listener struct {
	address netip.AddrPort
	socket  *net.UDPConn
}

func newListeners(ip netip.Addr, events *ring.Ring[event], log *logrus.Entry) *listeners {
	return &listeners{
		ip:      ip,
		events:  events,
		log:     log,
		sockets: make(map[uint32]*listener),
	}
}

func (l *listeners) close() {
	for id := range l.sockets {
		l.stop(id)
	}
}

// configure opens and closes sockets so that they match the services of c.
func (l *listeners) configure(c *config.Snapshot) {
	for id, s := range l.sockets {
		if v := c.Service(id); v == nil || l.address(v) != s.address {
			l.stop(id)
		}
	}
	for i := range c.Document.Services {
		s := &c.Document.Services[i]
		if l.sockets[s.ID] == nil {
			l.start(s)
		}
	}
}

// socket returns the socket of a service, or nil if there is none.
func (l *listeners) socket(service uint32) *net.UDPConn {
	if s := l.sockets[service]; s != nil {
		return s.socket
	}
	return nil
}

// address returns the address to listen on for a service.
func (l *listeners) address(s *config.Service) netip.AddrPort {
	if !l.ip.IsValid() {
		return s.Address
	}
	return netip.AddrPortFrom(l.ip, s.Address.Port())
}

// start opens the socket of a service. A failure is logged, and tried again with
// the next configuration.
func (l *listeners) start(s *config.Service) {
	a := l.address(s)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		l.log.WithError(err).Errorf("listener: can't listen for service %s on %v", s.Name, a)
		return
	}
	l.sockets[s.ID] = &listener{
		address: a,
		socket:  socket,
	}
	l.log.Infof("listener: service %s on %v", s.Name, a)
	go readDatagrams(socket, l.events, event{
		source: sourceCaller,
		id:     s.ID,
	})
}

func (l *listeners) stop(id uint32) {
	_ = l.sockets[id].socket.Close()
	delete(l.sockets, id)
}
