package daemon

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// exchange is balancers whose load exchanges run in simulated time. Their datagrams go through
// real sockets and are handled one after the other.
type exchange struct {
	t     *testing.T
	now   time.Time
	hosts []directory.Upstream
	peers []*exchangePeer
	// passed are the datagrams on load that have arrived.
	passed []passedDatagram
	// lost reports whether a datagram from one zone to another gets lost; nil if none does.
	lost func(from, to string) bool
}

// exchangePeer is one balancer of an exchange.
type exchangePeer struct {
	daemon   *Daemon
	name     string
	zone     string
	sequence uint32
	// samples are those of the balancer's next reports.
	samples []load.Sample
	// next returns the samples of a report on a period, unless it is nil.
	next func(period time.Duration) []load.Sample
	// stopped balancers do nothing, and what is sent to them is lost.
	stopped bool
	// requested counts the reports that the exchange has asked for, and notices all notices to
	// the packet handler.
	requested int
	notices   int
}

// passedDatagram is a datagram between two balancers.
type passedDatagram struct {
	from *exchangePeer
	to   *exchangePeer
	at   time.Time
	data []byte
}

// newExchange returns balancers of the given zones that know each other and the hosts.
func newExchange(t *testing.T, hosts []directory.Upstream, zones ...string) *exchange {
	t.Helper()
	x := &exchange{
		t:     t,
		now:   time.Now(),
		hosts: hosts,
	}
	for i, zone := range zones {
		x.add(fmt.Sprintf("lb-%d", i+1), zone)
	}
	return x
}

// hexID returns the ID of the host with a ticket.
func hexID(ticket uint32) string {
	return fmt.Sprintf("i-%08x", ticket)
}

// hostsOf returns hosts of a zone with 4 slots.
func hostsOf(zone string, n int) []directory.Upstream {
	hosts := make([]directory.Upstream, n)
	for i := range hosts {
		hosts[i] = directory.Upstream{
			ID:      fmt.Sprintf("%s-%d", zone, i),
			Service: "board",
			Zone:    zone,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], byte(i >> 8), byte(i)}), 80),
			Slots:   4,
		}
	}
	return hosts
}

// add adds a balancer that all others know.
func (x *exchange) add(name, zone string, change ...func(*Options)) *exchangePeer {
	x.t.Helper()
	p := &exchangePeer{
		name: name,
		zone: zone,
	}
	p.daemon = newDaemon(x.t, append([]func(*Options){func(o *Options) {
		o.Name, o.Zone = name, zone
		o.Load = LoadOptions{
			Share: true,
			Sharing: flow.Sharing{
				Learn: true,
				Spill: true,
				Admit: true,
			},
		}
	}}, change...)...)
	var items []directory.Item
	for i := range x.hosts {
		items = append(items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: x.hosts[i].ID,
			},
			Revision: uint64(i + 1),
			Upstream: &x.hosts[i],
		})
	}
	_, err := p.daemon.syncer.dir.Apply(x.now, &directory.Delta{
		Revision: uint64(len(items)),
		Items:    items,
	})
	require.NoError(x.t, err)
	p.daemon.syncer.publish(x.now)
	for _, q := range x.peers {
		if !q.stopped {
			q.learns(x, p, member.Alive)
			p.learns(x, q, member.Alive)
		}
	}
	x.peers = append(x.peers, p)
	return p
}

// address returns the address that a balancer gets its peers' datagrams at.
func (p *exchangePeer) address() netip.AddrPort {
	return p.daemon.peerDatagrams.LocalAddr().(*net.UDPAddr).AddrPort()
}

// learns makes a balancer know the state of another one.
func (p *exchangePeer) learns(x *exchange, other *exchangePeer, state member.State) {
	address := other.address()
	p.daemon.syncer.tracker.Merge(x.now, &member.Record{
		Name:        other.name,
		Zone:        other.zone,
		Incarnation: other.daemon.incarnation,
		Sequence:    1,
		State:       state,
		Relay:       address,
		Control:     address,
		Admin:       address,
	})
}

// stop stops a balancer; the others learn of it if told is set.
func (x *exchange) stop(p *exchangePeer, told bool) {
	p.stopped = true
	for _, q := range x.peers {
		if told && q != p {
			q.learns(x, p, member.Dead)
		}
	}
}

// run runs the exchange for some time, and returns the datagrams that arrived meanwhile.
func (x *exchange) run(d time.Duration) []passedDatagram {
	x.t.Helper()
	x.passed = nil
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(tick)
		for _, p := range x.peers {
			if p.stopped {
				continue
			}
			e := p.daemon.syncer.loads
			e.tick(x.now)
			if e.reportedAt.Equal(x.now) {
				p.requested++
				p.report(x.now)
			}
			x.deliver()
		}
	}
	return x.passed
}

// report sends the balancer's report, as the packet handler does when it is asked to.
func (p *exchangePeer) report(now time.Time) {
	p.sequence++
	if p.next != nil {
		p.samples = p.next(p.daemon.syncer.loads.interval(now))
	}
	p.daemon.syncer.loads.sendReport(now, &load.Report{
		Sequence: p.sequence,
		Period:   p.daemon.syncer.loads.interval(now),
		Samples:  p.samples,
	})
}

// deliver hands over all datagrams that are under way.
func (x *exchange) deliver() {
	for more := true; more; {
		more = false
		for _, p := range x.peers {
			for data, from := p.receive(); data != nil; data, from = p.receive() {
				more = true
				x.pass(p, from, data)
			}
			notices, _ := p.daemon.peerNotices.drain()
			p.notices += len(notices)
		}
	}
}

// pass hands over one datagram.
func (x *exchange) pass(to *exchangePeer, port int, data []byte) {
	i := slices.IndexFunc(x.peers, func(p *exchangePeer) bool { return int(p.address().Port()) == port })
	require.GreaterOrEqual(x.t, i, 0)
	from := x.peers[i]
	if to.stopped || x.lost != nil && x.lost(from.zone, to.zone) {
		return
	}
	x.passed = append(x.passed, passedDatagram{
		from: from,
		to:   to,
		at:   x.now,
		data: data,
	})
	to.daemon.syncer.handleDatagram(x.t.Context(), x.now, netip.AddrPort{}, data)
}

// receive returns the next datagram that has arrived and the port of its sender, or nil.
func (p *exchangePeer) receive() (data []byte, port int) {
	conn, err := p.daemon.peerDatagrams.SyscallConn()
	if err != nil {
		return nil, 0
	}
	buffer := make([]byte, maxDatagramSize)
	n := 0
	_ = conn.Read(func(fd uintptr) bool {
		var from unix.Sockaddr
		n, from, _ = unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
		if a, ok := from.(*unix.SockaddrInet4); ok {
			port = a.Port
		}
		return true
	})
	if n <= 0 {
		return nil, 0
	}
	return buffer[:n], port
}

// digests returns the digests among datagrams in order of arrival, by the balancer that they
// arrived at.
func (x *exchange) digests(passed []passedDatagram) map[*exchangePeer][]*load.Digest {
	all := make(map[*exchangePeer][]*load.Digest)
	for _, d := range passed {
		if !wire.IsLoadDigest(d.data) {
			continue
		}
		m, err := wire.ParseLoadDigest(d.at, d.data)
		require.NoError(x.t, err)
		if m.Groups > 0 {
			all[d.to] = append(all[d.to], m)
		}
	}
	return all
}

// collectors returns the balancers that collect a group, on which all of them agree.
func (x *exchange) collectors(id groupID) []*exchangePeer {
	x.t.Helper()
	var found []*exchangePeer
	for _, p := range x.peers {
		if p.stopped {
			continue
		}
		var here []*exchangePeer
		for _, m := range p.daemon.syncer.loads.collectors(id) {
			i := slices.IndexFunc(x.peers, func(q *exchangePeer) bool { return q.daemon.incarnation == m.Incarnation })
			here = append(here, x.peers[i])
		}
		if found != nil {
			require.Equal(x.t, len(found), len(here))
			for i := range found {
				require.Same(x.t, found[i], here[i])
			}
		}
		found = here
	}
	return found
}

// samplesOf returns a sample of each host, ordered by ticket as in a report.
func samplesOf(hosts []directory.Upstream, working float64) []load.Sample {
	samples := make([]load.Sample, len(hosts))
	for i := range hosts {
		samples[i] = load.Sample{
			Ticket:  hosts[i].Ticket(),
			Flows:   1,
			Working: working,
		}
	}
	slices.SortFunc(samples, func(a, b load.Sample) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return samples
}
