package daemon

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/platform"
)

// endpoint is a UDP socket of a host or a client.
type endpoint struct {
	t    *testing.T
	conn *net.UDPConn
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	return newEndpointAt(t, net.IPv4(127, 0, 0, 1))
}

// newHostEndpoint returns an endpoint at an address of this process, whose TCP port is free,
// too: at 127.0.0.1 it may be the port of any connection of another process.
func newHostEndpoint(t *testing.T) *endpoint {
	t.Helper()
	id := os.Getpid()
	return newEndpointAt(t, net.IPv4(127, 77, byte(id>>8), byte(id)))
}

func newEndpointAt(t *testing.T, ip net.IP) *endpoint {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &endpoint{
		t:    t,
		conn: conn,
	}
}

func (e *endpoint) address() netip.AddrPort {
	return e.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receive returns the size of the next datagram, or zero if none arrives in time.
func (e *endpoint) receive(timeout time.Duration) int {
	e.t.Helper()
	require.NoError(e.t, e.conn.SetReadDeadline(time.Now().Add(timeout)))
	n, err := e.conn.Read(make([]byte, maxDatagramSize))
	if err != nil {
		return 0
	}
	return n
}

// idleFlow is a balancer with one open flow on which nothing is sent.
type idleFlow struct {
	daemon   *Daemon
	upstream *directory.Upstream
	client   *endpoint
	host     *endpoint
}

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

// boardPlan returns the item of a plan with one route.
func boardPlan() directory.Item {
	return directory.Item{
		Key:      directory.Key{Kind: directory.KindPlan},
		Revision: 1,
		Plan: &directory.Plan{
			Version:  1,
			Services: []directory.Service{{Name: "board"}},
			Routes: []directory.Route{{
				Name:    "board",
				Address: serviceAddress,
				Targets: []directory.Target{{
					Service: "board",
					Weight:  1,
				}},
			}},
		},
	}
}

func newIdleFlow(t *testing.T) *idleFlow {
	t.Helper()
	d := newDaemon(t)
	host, client := newHostEndpoint(t), newEndpoint(t)
	d.options.Codec = platform.Codec{ClientPort: client.address().Port()}
	u := directory.Upstream{
		ID:      "i-0a",
		Service: "board",
		Zone:    "a",
		Address: host.address(),
		Slots:   2,
	}
	now := time.Now()
	_, err := d.syncer.dir.Apply(now, &directory.Delta{
		Revision: 2,
		Items: []directory.Item{
			boardPlan(),
			{
				Key: directory.Key{
					Kind: directory.KindUpstream,
					Name: u.ID,
				},
				Revision: 2,
				Upstream: &u,
			},
		},
	})
	require.NoError(t, err)
	d.syncer.publish(now)
	ctx, cancel := context.WithCancel(context.Background())
	d.tasks.Go(func() { d.forwardPackets(ctx) })
	d.tasks.Go(func() { d.runProbes(ctx) })
	t.Cleanup(d.tasks.Wait)
	t.Cleanup(cancel)
	q := &idleFlow{
		daemon:   d,
		upstream: &u,
		client:   client,
		host:     host,
	}
	q.send(t, flowPort, 0)
	q.send(t, flowPort, 5000)
	return q
}

// flowPort is the client's port of the open flow.
const flowPort = 40001

// send sends a flow's first packet, or, if acknowledged is positive, the packet
// that acknowledges the answer to it.
func (q *idleFlow) send(t *testing.T, port uint16, acknowledged uint32) {
	t.Helper()
	q.deliver(t, clientPacket(port, q.upstream.Ticket(), acknowledged))
}

// request sends a request on the open flow.
func (q *idleFlow) request(t *testing.T) {
	t.Helper()
	const length = 16
	content := []byte("a request")
	p := append(clientPacket(flowPort, q.upstream.Ticket(), 5000), content...)
	binary.BigEndian.PutUint16(p[length:], uint16(len(content)))
	q.deliver(t, p)
}

// deliver sends a packet and checks that it reaches the host.
func (q *idleFlow) deliver(t *testing.T, packet []byte) {
	t.Helper()
	to := q.daemon.packets.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := q.client.conn.WriteToUDPAddrPort(packet, to)
	require.NoError(t, err)
	require.NotZero(t, q.host.receive(time.Second))
}

// listen makes the host's address accept connections.
func (q *idleFlow) listen(t *testing.T) {
	t.Helper()
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(q.upstream.Address))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
}

// clientPacket returns the first packet of a flow, or, if acknowledged is
// positive, the packet that acknowledges the answer to it.
func clientPacket(port uint16, ticket directory.Ticket, acknowledged uint32) []byte {
	b, _ := platform.Codec{}.AppendReset(nil, &flow.Packet{
		// A reset has source and destination swapped.
		Client:       serviceAddress,
		Service:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
		Acknowledged: 1000,
	})
	const flags, acknowledgement = 22, 27
	b[flags] = 64
	if acknowledged > 0 {
		b[flags] = 2
		binary.BigEndian.PutUint32(b, uint32(ticket))
		binary.BigEndian.PutUint32(b[acknowledgement:], acknowledged)
	}
	return b
}

// TestPeerNoticesApplyWithoutPackets checks that a balancer that receives no
// packets answers an inquiry in time, and resets its idle flows if the death is
// confirmed. Both used to wait for the next packet, which was too late for the
// balancers that had inquired if there were many balancers.
func TestPeerNoticesApplyWithoutPackets(t *testing.T) {
	inquire := func(t *testing.T, q *idleFlow, silence time.Duration) {
		t.Helper()
		q.daemon.queueInquiry(receivedInquiry{Inquiry: flow.Inquiry{
			Ticket:  q.upstream.Ticket(),
			ID:      1,
			Silence: silence,
		}})
		select {
		case <-q.daemon.events.C():
		case <-time.After(time.Second):
			t.Fatal("no answer")
		}
		q.daemon.queueConfirmation(time.Now(), flow.Confirmation{
			Ticket: q.upstream.Ticket(),
			ID:     1,
			Scope:  flow.ScopeAll,
		})
	}
	t.Run("refutes a death if there was progress since", func(t *testing.T) {
		q := newIdleFlow(t)
		inquire(t, q, time.Minute)
		require.Zero(t, q.client.receive(200*time.Millisecond))
	})
	t.Run("resets idle flows of a dead upstream", func(t *testing.T) {
		q := newIdleFlow(t)
		inquire(t, q, 0)
		require.Equal(t, platform.HeaderSize, q.client.receive(time.Second))
	})
	t.Run("resets nothing without an inquiry", func(t *testing.T) {
		q := newIdleFlow(t)
		q.daemon.queueConfirmation(time.Now(), flow.Confirmation{
			Ticket: q.upstream.Ticket(),
			ID:     1,
			Scope:  flow.ScopeAll,
		})
		require.Zero(t, q.client.receive(200*time.Millisecond))
	})
}

// TestCrashedUpstreamIsProbed checks that an upstream's idle flows are reset soon
// after it has left one first packet unanswered if its address refuses
// connections, and that they are not reset if it accepts them.
func TestCrashedUpstreamIsProbed(t *testing.T) {
	for _, test := range []struct {
		name    string
		listens bool
		size    int
	}{
		{
			name: "refuses connections",
			size: platform.HeaderSize,
		},
		{
			name:    "takes connections",
			listens: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := newIdleFlow(t)
			ctx, cancel := context.WithCancel(context.Background())
			q.daemon.tasks.Go(func() { q.daemon.syncer.run(ctx) })
			t.Cleanup(cancel)
			if test.listens {
				q.listen(t)
			}
			q.send(t, flowPort+1, 0)
			require.Equal(t, test.size, q.client.receive(500*time.Millisecond))
		})
	}
}

// TestLateRequestsAreReportedWithoutPackets checks that a late request is
// reported as soon as it is late, although no packet arrives. The report used to
// wait for the next packet.
func TestLateRequestsAreReportedWithoutPackets(t *testing.T) {
	q := newIdleFlow(t)
	q.listen(t)
	q.request(t)
	select {
	case <-q.daemon.events.C():
	case <-time.After(time.Second):
		t.Fatal("no report")
	}
}

// TestFirstPacketsWaitForNoStall guards against a second host for a flow: a process that had
// been frozen forwarded the first packets that it found in its socket.
func TestFirstPacketsWaitForNoStall(t *testing.T) {
	q := newIdleFlow(t)
	q.daemon.ranAt.Store(q.daemon.sinceStart(time.Now().Add(-minStall)))
	first := clientPacket(flowPort+1, q.upstream.Ticket(), 0)
	to := q.daemon.packets.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := q.client.conn.WriteToUDPAddrPort(first, to)
	require.NoError(t, err)
	require.Zero(t, q.host.receive(200*time.Millisecond))
	require.Equal(t, uint64(1), q.daemon.counters.decisions[flow.ReasonDelayed].Load())
	q.deliver(t, first)
}

// TestHostThatShutsDownKeepsItsFlows guards against resets of the last flows of a host that
// shuts down: it refuses connections while it still answers requests. A balancer that did not
// know yet that the host drains took it for crashed.
func TestHostThatShutsDownKeepsItsFlows(t *testing.T) {
	q := newIdleFlow(t)
	ctx, cancel := context.WithCancel(context.Background())
	q.daemon.tasks.Go(func() { q.daemon.syncer.run(ctx) })
	t.Cleanup(cancel)
	q.request(t)
	q.send(t, flowPort+1, 0)
	require.Eventually(t, func() bool { return q.daemon.counters.probes[probeRefused].Load() > 0 }, time.Second, time.Millisecond)
	require.Zero(t, q.client.receive(50*time.Millisecond))
	q.send(t, flowPort, 6000)
	require.Zero(t, q.client.receive(500*time.Millisecond))
}

// TestDrainingHostsAreNotProbed checks that a host that drains is not taken for crashed when
// it has stopped listening.
func TestDrainingHostsAreNotProbed(t *testing.T) {
	q := newIdleFlow(t)
	draining := *q.upstream
	draining.Draining = true
	_, err := q.daemon.syncer.dir.Apply(time.Now(), &directory.Delta{
		Base:     2,
		Revision: 3,
		Items: []directory.Item{{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: draining.ID,
			},
			Revision: 3,
			Upstream: &draining,
		}},
	})
	require.NoError(t, err)
	q.daemon.syncer.publish(time.Now())
	q.request(t)
	require.Zero(t, q.client.receive(500*time.Millisecond))
	require.Zero(t, q.daemon.counters.probes[probeRefused].Load())
	q.daemon.syncer.handleReport(time.Now(), 1, flow.Report{
		Ticket:   draining.Ticket(),
		Refusals: 1,
	})
	require.False(t, q.daemon.syncer.detector.Waiting())
}

// TestOneBalancerResetsNoFlowsAlone guards against resets of a living host's flows by a
// balancer that alone can't reach the host: it judged the host by its own evidence.
func TestOneBalancerResetsNoFlowsAlone(t *testing.T) {
	q := newIdleFlow(t)
	other := *q.upstream
	other.ID = "i-0b"
	now := time.Now()
	_, err := q.daemon.syncer.dir.Apply(now, &directory.Delta{
		Base:     2,
		Revision: 3,
		Items: []directory.Item{{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: other.ID,
			},
			Revision: 3,
			Upstream: &other,
		}},
	})
	require.NoError(t, err)
	q.daemon.syncer.publish(now)
	h, err := newPacketHandler(q.daemon)
	require.NoError(t, err)
	request := func(port uint16, ticket directory.Ticket, sequence uint32) flow.Decision {
		return h.forwarder.Forward(now, h.view(), &flow.Packet{
			Client:       netip.AddrPortFrom(serviceAddress.Addr(), port),
			Service:      serviceAddress,
			Ticket:       ticket,
			Flags:        flow.FlagAcknowledge,
			Sequence:     sequence,
			Acknowledged: sequence,
			Length:       100,
		})
	}
	for i := range uint32(3) {
		request(flowPort+1, other.Ticket(), 200*i)
		request(flowPort+1, other.Ticket(), 200*i+100)
		for port := range uint16(2) {
			require.Equal(t, flow.Forward, request(flowPort+2+port, q.upstream.Ticket(), 0).Action)
		}
		now = now.Add(300 * time.Millisecond)
	}
	require.NotEmpty(t, h.forwarder.Reports())
	require.Empty(t, h.forwarder.Resets())
}

// stallingCodec lets the process seem frozen while it handles a packet.
type stallingCodec struct {
	platform.Codec
}

func (c stallingCodec) Parse(data []byte, p *flow.Packet) error {
	<-time.After(minStall)
	return c.Codec.Parse(data, p)
}

// TestNoPacketIsForwardedAfterStall guards against a late first packet from a process that is
// frozen between reading and forwarding it.
func TestNoPacketIsForwardedAfterStall(t *testing.T) {
	d, host := newDaemon(t), newEndpoint(t)
	d.options.Codec = stallingCodec{}
	h, err := newPacketHandler(d)
	require.NoError(t, err)
	_, err = host.conn.WriteToUDPAddrPort(clientPacket(flowPort, 0, 0), d.packets.LocalAddr().(*net.UDPAddr).AddrPort())
	require.NoError(t, err)
	h.handleNext()
	require.Equal(t, uint64(1), d.counters.decisions[flow.ReasonDelayed].Load())
}

// TestFirstPacketsAfterASuspension guards against a second host for a flow whose first packet waited
// while the VM was suspended. The monotonic clock stops meanwhile, so that the packet looked recent.
func TestFirstPacketsAfterASuspension(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended time.Duration
		dropped   bool
	}{
		{name: "no suspension"},
		{
			name:      "a suspension",
			suspended: 2 * time.Second,
			dropped:   true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			boot := time.Hour
			d.clock = newSuspensionClock(time.Now(), func() time.Duration { return boot })
			h, err := newPacketHandler(d)
			require.NoError(t, err)
			first := &flow.Packet{
				Client:   netip.MustParseAddrPort("100.64.0.7:40001"),
				Service:  serviceAddress,
				Flags:    flow.FlagOpen,
				Sequence: 1000,
				Copy:     1,
			}
			view := &directory.View{Plan: &directory.Plan{}}
			now := time.Now()
			require.Equal(t, flow.Hold, h.forwarder.Forward(now, view, first).Action)
			h.held[flow.ID{Client: first.Client}] = nil
			boot += test.suspended
			h.checkResumed(now)
			require.Equal(t, test.dropped, len(h.forwarder.Released()) > 0)
			require.Equal(t, test.dropped, h.reader.Delayed(), "packets in the socket have waited, too")
			require.InDelta(t, test.suspended, d.suspendedFor.Load(), float64(time.Second), "the syncer is told")
		})
	}
}
