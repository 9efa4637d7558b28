package daemon

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
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
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
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

// receive returns the size of the next datagram; zero where none comes in time.
func (e *endpoint) receive(timeout time.Duration) int {
	e.t.Helper()
	require.NoError(e.t, e.conn.SetReadDeadline(time.Now().Add(timeout)))
	n, err := e.conn.Read(make([]byte, maxDatagram))
	if err != nil {
		return 0
	}
	return n
}

// quiet is a balancer that holds one open flow on which nothing is sent.
type quiet struct {
	daemon   *Daemon
	upstream *directory.Upstream
	client   *endpoint
}

func newQuiet(t *testing.T) *quiet {
	t.Helper()
	d := newDaemon(t)
	host, client := newEndpoint(t), newEndpoint(t)
	d.options.Codec = platform.Codec{ClientPort: client.address().Port()}
	u := directory.Upstream{
		ID:      "i-0a",
		Service: "board",
		Zone:    "a",
		Address: host.address(),
		Slots:   2,
	}
	service := netip.MustParseAddrPort("198.18.0.1:443")
	now := time.Now()
	_, err := d.spread.dir.Apply(now, &directory.Delta{
		Revision: 2,
		Items: []directory.Item{
			{
				Key:      directory.Key{Kind: directory.KindPlan},
				Revision: 1,
				Plan: &directory.Plan{
					Version:  1,
					Services: []directory.Service{{Name: "board"}},
					Routes: []directory.Route{{
						Name:    "board",
						Address: service,
						Targets: []directory.Target{{
							Service: "board",
							Weight:  1,
						}},
					}},
				},
			},
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
	d.spread.publish(now)
	ctx, cancel := context.WithCancel(context.Background())
	d.duties.Go(func() { d.forward(ctx) })
	t.Cleanup(d.duties.Wait)
	t.Cleanup(cancel)
	balancer := d.packets.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, acknowledged := range []uint32{0, 5000} {
		_, err := client.conn.WriteToUDPAddrPort(clientPacket(service, u.Ticket(), acknowledged), balancer)
		require.NoError(t, err)
		require.NotZero(t, host.receive(time.Second))
	}
	return &quiet{
		daemon:   d,
		upstream: &u,
		client:   client,
	}
}

// clientPacket returns the first packet of a flow, or the one that acknowledges
// the answer to it.
func clientPacket(service netip.AddrPort, ticket directory.Ticket, acknowledged uint32) []byte {
	b, _ := platform.Codec{}.AppendReset(nil, &flow.Packet{
		// A reset has the addresses the other way round.
		Client:       service,
		Service:      netip.MustParseAddrPort("127.0.0.1:40001"),
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

// TestBeliefsAreTakenWithoutPackets states that a balancer that no client sends
// to refutes a death in time, and resets its idle flows where nobody does. Both
// waited for the next packet: where balancers are many that was too late for
// those who had asked.
func TestBeliefsAreTakenWithoutPackets(t *testing.T) {
	t.Run("refutes what it has heard of since", func(t *testing.T) {
		q := newQuiet(t)
		q.daemon.hearDeath(time.Now(), netip.AddrPort{}, &flow.Report{
			Ticket:  q.upstream.Ticket(),
			Silence: time.Minute,
		})
		select {
		case <-q.daemon.calls.C():
		case <-time.After(time.Second):
			t.Fatal("no refutation")
		}
		require.Zero(t, q.client.receive(2*flow.RefuteWait))
	})
	t.Run("resets idle flows of the dead", func(t *testing.T) {
		q := newQuiet(t)
		q.daemon.hearDeath(time.Now(), netip.AddrPort{}, &flow.Report{Ticket: q.upstream.Ticket()})
		require.Equal(t, platform.HeadSize, q.client.receive(time.Second))
	})
}
