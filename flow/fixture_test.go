package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// roundTrip is the time from a client's packet to its next one, which acknowledges the
// host's answer.
const roundTrip = 10 * time.Millisecond

var (
	boardAddress = netip.MustParseAddrPort("198.18.0.1:443")
	plansAddress = netip.MustParseAddrPort("198.18.0.2:443")
)

// owner implements Owners: it owns all cold upstreams, or none.
type owner bool

func (o owner) Owns(*directory.Upstream) bool { return bool(o) }

// zones implements Zones: flows move between them, or not.
type zones bool

func (z zones) FlowsMove() bool { return bool(z) }

// fixture is a balancer with its directory and clock.
type fixture struct {
	t         *testing.T
	now       time.Time
	dir       *directory.Directory
	revision  uint64
	forwarder *Forwarder
	port      uint16
}

// newFixture returns a balancer of zone "a" that knows the given number of hosts in each
// of the zones a and b. A host's ID is its zone followed by its number.
func newFixture(t *testing.T, hosts int) *fixture {
	t.Helper()
	f := &fixture{
		t:    t,
		now:  time.Now(),
		dir:  directory.New(),
		port: 1024,
	}
	f.forwarder = New(f.now, "a", owner(true))
	f.set(directory.Item{
		Key:  directory.Key{Kind: directory.KindPlan},
		Plan: plan(1, boardAddress, plansAddress),
	})
	for _, zone := range []string{"a", "b"} {
		for i := range hosts {
			f.host(fmt.Sprintf("%s%d", zone, i), zone, "board")
		}
	}
	return f
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

// set stores an item in the directory.
func (f *fixture) set(i directory.Item) {
	f.t.Helper()
	f.revision++
	i.Revision = f.revision
	_, err := f.dir.Apply(f.now, &directory.Delta{
		Base:     f.revision - 1,
		Revision: f.revision,
		Items:    []directory.Item{i},
	})
	require.NoError(f.t, err)
}

// host registers a host, after applying the changes to it.
func (f *fixture) host(id, zone, service string, change ...func(*directory.Upstream)) {
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
	f.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Upstream: u,
	})
}

// remove deletes a host's entry.
func (f *fixture) remove(id string) {
	f.set(directory.Item{
		Key: directory.Key{
			Kind: directory.KindUpstream,
			Name: id,
		},
		Deleted: true,
	})
}

func (f *fixture) view() *directory.View {
	return f.dir.View(f.now, func(*directory.Upstream) bool { return false })
}

func (f *fixture) send(p Packet) Decision {
	return f.forwarder.Forward(f.now, f.view(), &p)
}

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
}

// client is the client of one flow.
type client struct {
	f       *fixture
	addr    netip.AddrPort
	service netip.AddrPort
	seq     uint32
	ack     uint32
	host    *directory.Upstream
}

// client returns a client with its own IP address.
func (f *fixture) client(to netip.AddrPort) *client {
	f.port++
	return &client{
		f:       f,
		addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(f.port >> 8), byte(f.port)}), f.port),
		service: to,
		seq:     1000,
	}
}

// open sends the first packet, or a copy of it.
func (c *client) open() Decision {
	d := c.f.send(Packet{
		Client:   c.addr,
		Service:  c.service,
		Flags:    FlagOpen,
		Sequence: c.seq,
	})
	c.host = d.Upstream
	return d
}

// establish opens a flow whose host answers.
func (c *client) establish() *client {
	c.open()
	c.f.advance(roundTrip)
	c.ack = 5000
	c.acknowledge()
	return c
}

func (c *client) packet() Packet {
	p := Packet{
		Client:       c.addr,
		Service:      c.service,
		Flags:        FlagAcknowledge,
		Sequence:     c.seq,
		Acknowledged: c.ack,
	}
	if c.host != nil {
		p.Ticket = c.host.Ticket()
	}
	return p
}

func (c *client) acknowledge() {
	c.f.send(c.packet())
}

// request sends a request of 100 bytes.
func (c *client) request() Decision {
	p := c.packet()
	p.Length = 100
	d := c.f.send(p)
	c.seq += 100
	return d
}

// retransmit sends the last request again.
func (c *client) retransmit() Decision {
	p := c.packet()
	p.Sequence -= 100
	p.Length = 100
	return c.f.send(p)
}

// netipWithPort returns a's IP address with another port.
func netipWithPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// acknowledgeAnswer sends the acknowledgment of an answer of 500 bytes.
func (c *client) acknowledgeAnswer() {
	c.ack += 500
	c.acknowledge()
}

// answerElsewhere lets host b0 answer a request that is sent now, which shows that the
// balancer's own path works.
func (f *fixture) answerElsewhere() {
	f.t.Helper()
	c := f.client(boardAddress)
	c.host = f.upstream("b0")
	c.ack = 5000
	c.request()
	c.acknowledgeAnswer()
}

// upstream returns the host with an ID.
func (f *fixture) upstream(id string) *directory.Upstream {
	f.t.Helper()
	for _, u := range f.view().Eligible("board") {
		if u.ID == id {
			return u
		}
	}
	require.Fail(f.t, "no host", id)
	return nil
}
