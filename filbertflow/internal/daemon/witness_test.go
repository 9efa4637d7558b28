package daemon

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// newDaemonWith returns a daemon of zone a that knows hosts.
func newDaemonWith(t *testing.T, hosts ...directory.Upstream) *Daemon {
	t.Helper()
	d := newDaemon(t)
	now := time.Now()
	delta := &directory.Delta{}
	for i := range hosts {
		delta.Revision++
		delta.Items = append(delta.Items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: hosts[i].ID,
			},
			Revision: delta.Revision,
			Upstream: &hosts[i],
		})
	}
	_, err := d.syncer.dir.Apply(now, delta)
	require.NoError(t, err)
	d.syncer.publish(now)
	return d
}

// addPeer makes a daemon know a peer at an endpoint.
func addPeer(t *testing.T, d *Daemon, e *endpoint, zone string, incarnation uint64) {
	t.Helper()
	addMember(t, d, e, &member.Record{
		Zone:        zone,
		Incarnation: incarnation,
	})
}

// addMember makes a daemon know a member at an endpoint, or a change of one.
func addMember(t *testing.T, d *Daemon, e *endpoint, r *member.Record) {
	t.Helper()
	r.Name = fmt.Sprintf("%s-%d", r.Zone, r.Incarnation)
	r.Sequence++
	r.Relay, r.Control, r.Admin = e.address(), e.address(), e.address()
	known := d.syncer.tracker.HandleHeartbeat(time.Now(), e.address(), &member.Heartbeat{Sender: *r})
	require.True(t, known.Known)
}

// receiveHealth returns the next health datagram, or nil if none arrives.
func (e *endpoint) receiveHealth() *wire.Health {
	e.t.Helper()
	require.NoError(e.t, e.conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	buffer := make([]byte, maxDatagramSize)
	n, err := e.conn.Read(buffer)
	if err != nil {
		return nil
	}
	m, err := wire.ParseHealth(buffer[:n])
	require.NoError(e.t, err)
	return m
}

// TestInquiryAsksTheHostsZone guards against the death of a host whose own zone was not asked: the
// balancers there see most of its answers, and those of another zone may see none.
func TestInquiryAsksTheHostsZone(t *testing.T) {
	for _, test := range []struct {
		name string
		host string
		// asked are the zones whose peers are asked.
		asked []string
	}{
		{
			name:  "a host of the own zone",
			host:  "i-0a",
			asked: []string{"a"},
		},
		{
			name:  "a host of another zone",
			host:  "i-0b",
			asked: []string{"a", "b"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			hosts := []directory.Upstream{
				{
					ID:      "i-0a",
					Service: "board",
					Zone:    "a",
					Address: netip.MustParseAddrPort("127.0.0.1:4"),
				},
				{
					ID:      "i-0b",
					Service: "board",
					Zone:    "b",
					Address: netip.MustParseAddrPort("127.0.0.1:5"),
				},
			}
			d := newDaemonWith(t, hosts...)
			peers := make(map[string]*endpoint)
			for i, zone := range []string{"a", "b", "c"} {
				peers[zone] = newEndpoint(t)
				addPeer(t, d, peers[zone], zone, uint64(1000+i))
			}
			ticket := (&directory.Upstream{ID: test.host}).Ticket()
			now := time.Now()
			merged, found := d.syncer.detector.AddReport(now, 1, flow.Report{
				Ticket:          ticket,
				SilentFlows:     3,
				Retransmissions: 3,
				Silence:         time.Second,
			}, 2)
			require.Equal(t, flow.FoundDead, found)
			d.syncer.inquire(now, &merged)
			var asked []string
			for _, zone := range []string{"a", "b", "c"} {
				if m := peers[zone].receiveHealth(); m != nil {
					asked = append(asked, zone)
					require.Equal(t, uint32(ticket), m.GetInquiries()[0].GetTicket())
					require.Equal(t, zone != "a", m.GetInquiries()[0].GetRemote())
				}
			}
			require.Equal(t, test.asked, asked)
		})
	}
}

// TestProbeEvidence checks which results of probes count as evidence.
func TestProbeEvidence(t *testing.T) {
	for _, test := range []struct {
		name   string
		host   directory.Upstream
		result probeResult
		// other is a host whose entry is later and has the same address.
		other bool
		// alive and unreached are what the balancer answers to an inquiry.
		alive     bool
		unreached bool
	}{
		{
			name:   "accepted",
			result: probeAccepted,
			alive:  true,
		},
		{
			name:   "accepted by the next host at the address",
			result: probeAccepted,
			other:  true,
		},
		{
			name:      "refused",
			result:    probeRefused,
			unreached: true,
		},
		{
			name:   "refused by a host that drains",
			host:   directory.Upstream{Draining: true},
			result: probeRefused,
		},
		{
			name:   "refused, in another zone",
			host:   directory.Upstream{Zone: "b"},
			result: probeRefused,
		},
		{
			name:      "no answer",
			result:    probeNoAnswer,
			unreached: true,
		},
		{
			name:      "no answer, in another zone",
			host:      directory.Upstream{Zone: "b"},
			result:    probeNoAnswer,
			unreached: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			host := test.host
			host.ID, host.Service, host.Address = "i-0a", "board", netip.MustParseAddrPort("127.0.0.1:4")
			if host.Zone == "" {
				host.Zone = "a"
			}
			hosts := []directory.Upstream{host}
			if test.other {
				next := host
				next.ID, next.StartedAt = "i-0c", time.Now()
				hosts = append(hosts, next)
			}
			d := newDaemonWith(t, hosts...)
			handler, err := newPacketHandler(d)
			require.NoError(t, err)
			d.recordProbe(time.Now(), &host, test.result)
			notices, _ := d.peerNotices.drain()
			for _, apply := range notices {
				apply(handler)
			}
			a := handler.forwarder.Ask(time.Now(), flow.Inquiry{
				Ticket:  host.Ticket(),
				Silence: time.Second,
			})
			require.Equal(t, test.alive, a.Alive)
			require.Equal(t, test.unreached, a.Unreached)
		})
	}
}
