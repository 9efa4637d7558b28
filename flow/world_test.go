package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// roundTrip is the time from a client's packet to its next one that answers
// the host.
const roundTrip = 10 * time.Millisecond

var (
	boardAddress = netip.MustParseAddrPort("198.18.0.1:443")
	plansAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// owner owns all cold upstreams, or none.
type owner bool

func (o owner) Owns(*directory.Upstream) bool { return bool(o) }

// world is one balancer with its directory, and clients that send to it.
type world struct {
	t         *testing.T
	now       time.Time
	dir       *directory.Directory
	revision  uint64
	forwarder *Forwarder
	port      uint16
}

// newWorld returns a balancer of zone "a" that knows hosts named zone-number in
// zones a and b, as many as given for each.
func newWorld(t *testing.T, hosts int) *world {
	t.Helper()
	w := &world{
		t:    t,
		now:  time.Now(),
		dir:  directory.New(),
		port: 1024,
	}
	w.forwarder = New(w.now, "a", owner(true))
	w.set(directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: plan(1, boardAddress, plansAddress),
	})
	for _, zone := range []string{"a", "b"} {
		for i := range hosts {
			w.host(fmt.Sprintf("%s%d", zone, i), zone, "board")
		}
	}
	return w
}

func plan(version uint64, addresses ...netip.AddrPort) *directory.Plan {
	p := &directory.Plan{
		Version: version,
		Services: []directory.Service{{
			Name:            "board",
			WarmupPerSecond: 10,
		}},
	}
	for _, a := range addresses {
		service := "board"
		if a == plansAddress {
			service = "plans"
		}
		p.Routes = append(p.Routes, directory.Route{
			Name:    a.String(),
			Address: a,
			Targets: []directory.Target{{
				Service: service,
				Weight:  1,
			}},
		})
	}
	return p
}

// set puts an item into the directory.
func (w *world) set(i directory.Item) {
	w.t.Helper()
	w.revision++
	i.Revision = w.revision
	_, err := w.dir.Apply(w.now, &directory.Delta{
		Base:     w.revision - 1,
		Revision: w.revision,
		Items:    []directory.Item{i},
	})
	require.NoError(w.t, err)
}

// host registers a host.
func (w *world) host(id, zone, service string, change ...func(*directory.Upstream)) {
	u := &directory.Upstream{
		ID:      id,
		Service: service,
		Zone:    zone,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(len(id)) + id[len(id)-1]}), 80),
		Slots:   4,
	}
	for _, f := range change {
		f(u)
	}
	w.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Upstream: u,
	})
}

// remove takes a host's entry away.
func (w *world) remove(id string) {
	w.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Deleted: true,
	})
}

func (w *world) view() *directory.View {
	return w.dir.View(w.now, func(*directory.Upstream) bool { return false })
}

func (w *world) send(p Packet) Decision {
	return w.forwarder.Forward(w.now, w.view(), &p)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
}

// client is one flow's client.
type client struct {
	w    *world
	addr netip.AddrPort
	to   netip.AddrPort
	seq  uint32
	ack  uint32
	host *directory.Upstream
}

// client returns a client of an IP address of its own.
func (w *world) client(to netip.AddrPort) *client {
	w.port++
	return &client{
		w:    w,
		addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(w.port >> 8), byte(w.port)}), w.port),
		to:   to,
		seq:  1000,
	}
}

// open sends the first packet, or a copy of it.
func (c *client) open() Decision {
	d := c.w.send(Packet{
		Client:   c.addr,
		Service:  c.to,
		Flags:    Open,
		Sequence: c.seq,
	})
	c.host = d.Upstream
	return d
}

// established opens a flow whose host answers.
func (c *client) established() *client {
	c.open()
	c.w.pass(roundTrip)
	c.ack = 5000
	c.acknowledge()
	return c
}

func (c *client) packet() Packet {
	p := Packet{
		Client:       c.addr,
		Service:      c.to,
		Flags:        Acknowledge,
		Sequence:     c.seq,
		Acknowledged: c.ack,
	}
	if c.host != nil {
		p.Ticket = c.host.Ticket()
	}
	return p
}

func (c *client) acknowledge() {
	c.w.send(c.packet())
}

// request sends a request of 100 bytes; again repeats the last one.
func (c *client) request() Decision {
	p := c.packet()
	p.Length = 100
	d := c.w.send(p)
	c.seq += 100
	return d
}

func (c *client) again() Decision {
	p := c.packet()
	p.Sequence -= 100
	p.Length = 100
	return c.w.send(p)
}

// netipWithPort returns an address with another port.
func netipWithPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// answered acknowledges an answer of the host.
func (c *client) answered() {
	c.ack += 500
	c.acknowledge()
}
