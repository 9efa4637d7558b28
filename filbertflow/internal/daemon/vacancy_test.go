package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/platform"
	"filbertworks.example/filbertworks/rendezvous"
)

// twoZones is a balancer in each of two zones, with a host in each zone that leaves all packets
// unanswered.
type twoZones struct {
	t         *testing.T
	balancers map[string]*Daemon
	hosts     map[string]*endpoint
	client    *endpoint
}

func newTwoZones(t *testing.T) *twoZones {
	t.Helper()
	z := &twoZones{
		t:         t,
		balancers: make(map[string]*Daemon),
		hosts:     make(map[string]*endpoint),
		client:    newEndpoint(t),
	}
	items := []directory.Item{boardPlan()}
	for _, zone := range []string{"a", "b"} {
		z.hosts[zone] = newEndpoint(t)
		items = append(items, directory.Item{
			Key: directory.Key{
				Kind: directory.KindUpstream,
				Name: "i-0" + zone,
			},
			Revision: uint64(len(items) + 1),
			Upstream: &directory.Upstream{
				ID:      "i-0" + zone,
				Service: "board",
				Zone:    zone,
				Address: z.hosts[zone].address(),
				Slots:   2,
			},
		})
	}
	for _, zone := range []string{"a", "b"} {
		z.start(zone, items)
	}
	return z
}

// start starts the balancer of a zone.
func (z *twoZones) start(zone string, items []directory.Item) {
	z.t.Helper()
	d := newDaemon(z.t, func(o *Options) {
		o.Name, o.Zone = "lb-"+zone, zone
		o.Codec = platform.Codec{ClientPort: z.client.address().Port()}
	})
	now := time.Now()
	_, err := d.syncer.dir.Apply(now, &directory.Delta{
		Revision: uint64(len(items)),
		Items:    items,
	})
	require.NoError(z.t, err)
	d.syncer.publish(now)
	z.balancers[zone] = d
	ctx, cancel := context.WithCancel(context.Background())
	for _, task := range []func(context.Context){d.forwardPackets, d.receiveFromPeers, func(ctx context.Context) { handleEvents(ctx, d) }} {
		d.tasks.Go(func() { task(ctx) })
	}
	z.t.Cleanup(d.tasks.Wait)
	z.t.Cleanup(cancel)
}

// handleEvents runs a balancer's syncer without its periodic work.
func handleEvents(ctx context.Context, d *Daemon) {
	for {
		select {
		case f := <-d.events.C():
			f(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// know has the balancer of one zone know the state of another zone's.
func (z *twoZones) know(zone, other string, r member.Record) {
	z.t.Helper()
	d := z.balancers[zone]
	r.Zone, r.Incarnation, r.Name = other, z.balancers[other].incarnation, "lb-"+other
	r.Relay = z.balancers[other].peerDatagrams.LocalAddr().(*net.UDPAddr).AddrPort()
	r.Control, r.Admin = r.Relay, r.Relay
	done := make(chan struct{})
	d.postWait(context.Background(), func(now time.Time) {
		d.syncer.tracker.Merge(now, &r)
		d.syncer.updateVacancies(now)
		close(done)
	})
	<-done
}

// send sends a flow's first packet or a copy of it by the balancer of a zone.
func (z *twoZones) send(zone string, number byte) {
	z.t.Helper()
	packet := clientPacket(flowPort, 0, 0)
	const acknowledgment = 27
	packet[acknowledgment+3] = number
	to := z.balancers[zone].packets.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := z.client.conn.WriteToUDPAddrPort(packet, to)
	require.NoError(z.t, err)
}

// TestCopyFollowsFirstPacketToAnotherZone guards against resets of open flows by a second host: the
// answer to a first packet was lost, the routers gave the copy to a balancer of another zone, and
// that one asked its own zone only and chose another host.
func TestCopyFollowsFirstPacketToAnotherZone(t *testing.T) {
	for _, test := range []struct {
		name string
		// first and second are the zones of the balancers that get the first packet and the copy.
		first, second string
		// change tells the second balancer of the other zone's one.
		change member.Record
	}{
		{
			name:   "the only balancer of a zone leaves",
			first:  "b",
			second: "a",
			change: member.Record{State: member.Leaving},
		},
		{
			name:   "the only balancer of a zone has started",
			first:  "a",
			second: "b",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newTwoZones(t)
			z.know(test.second, test.first, test.change)
			z.send(test.first, 0)
			require.NotZero(t, z.hosts[test.first].receive(time.Second))
			z.send(test.second, 1)
			require.NotZero(t, z.hosts[test.first].receive(time.Second), "the same host")
			require.Zero(t, z.hosts[test.second].receive(200*time.Millisecond), "no other host")
		})
	}
}

// TestVacantZones checks for how long balancers count on flows that move between zones.
func TestVacantZones(t *testing.T) {
	now := time.Now()
	alive := member.Member{
		Name:        "lb-1",
		Zone:        "a",
		Incarnation: 1,
		Relay:       netip.MustParseAddrPort("10.0.0.1:7400"),
	}
	with := func(change func(m *member.Member)) member.Member {
		m := alive
		m.Name, m.Zone, m.Incarnation = "lb-2", "b", 2
		change(&m)
		return m
	}
	for _, test := range []struct {
		name   string
		member member.Member
		vacant bool
	}{
		{
			name:   "in rotation",
			member: with(func(*member.Member) {}),
		},
		{
			name:   "leaving",
			member: with(func(m *member.Member) { m.State = member.Leaving }),
			vacant: true,
		},
		{
			name:   "suspected",
			member: with(func(m *member.Member) { m.Suspected = true }),
			vacant: true,
		},
		{
			name:   "dead",
			member: with(func(m *member.Member) { m.State = member.Dead }),
			vacant: true,
		},
		{
			name:   "started",
			member: with(func(m *member.Member) { m.Joining = true }),
			vacant: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := newVacancies("a")
			v.update(now, member.NewTable([]member.Member{alive, test.member}))
			require.False(t, v.vacantWithin(now, "a", time.Hour))
			require.Equal(t, test.vacant, v.vacantWithin(now, "b", 0))
			end := now.Add(handOverPeriod)
			v.update(end, member.NewTable([]member.Member{alive, with(func(*member.Member) {})}))
			require.Equal(t, test.vacant, v.anyWithin(end, handOverPeriod))
			require.False(t, v.anyWithin(end.Add(time.Nanosecond), handOverPeriod))
		})
	}
}

// TestAmbiguousFlowsReachTheZonesThatGetThem guards against resets of flows that move to another
// zone when the last balancer of their own leaves: it is the only one that knows their hosts.
func TestAmbiguousFlowsReachTheZonesThatGetThem(t *testing.T) {
	d, peer := newDaemon(t), newEndpoint(t)
	addPeer(t, d, peer, "b", 9)
	now := time.Now()
	d.syncer.tracker.Tick(now.Add(member.JoinDelay))
	d.syncer.updateVacancies(now)
	add := func(port uint16) {
		d.syncer.ambiguous.add(openingsOf(port))
		d.syncer.shareAmbiguous(now)
	}
	add(1)
	require.Nil(t, peer.receiveHealth(), "no flows move")
	d.syncer.tracker.Leave()
	d.syncer.updateVacancies(now)
	require.Len(t, peer.receiveHealth().GetAmbiguous(), 1, "what is known so far")
	add(2)
	require.Len(t, peer.receiveHealth().GetAmbiguous(), 1, "what is found out later")
	d.syncer.updateVacancies(now)
	require.Nil(t, peer.receiveHealth(), "told once")
}

// TestReturnToRotation guards against a second host for flows that were opened in other zones while
// this balancer stood still or was cut off. It has no news of that, other than missing probes.
func TestReturnToRotation(t *testing.T) {
	for _, test := range []struct {
		name string
		// gap is the time between two probes on the monotonic clock, which stops while the VM
		// is suspended.
		gap       time.Duration
		suspended time.Duration
		moves     bool
	}{
		{
			name: "a probe was late",
			gap:  time.Second,
		},
		{
			name:  "two probes failed",
			gap:   1500 * time.Millisecond,
			moves: true,
		},
		{
			name:      "the VM was suspended",
			gap:       500 * time.Millisecond,
			suspended: 2 * time.Second,
			moves:     true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemonWith(t)
			addPeer(t, d, newEndpoint(t), "b", 9)
			_, err := d.syncer.dir.Apply(time.Now(), &directory.Delta{
				Revision: 1,
				Items:    []directory.Item{boardPlan()},
			})
			require.NoError(t, err)
			d.syncer.publish(time.Now())
			now := time.Now().Add(member.JoinDelay)
			d.syncer.tracker.Tick(now)
			require.True(t, d.answerReadiness(now))
			require.True(t, d.answerReadiness(now.Add(test.gap)))
			select {
			case f := <-d.events.C():
				f(now.Add(test.gap))
			default:
			}
			d.suspendedFor.Store(int64(test.suspended))
			d.syncer.tick(t.Context(), now.Add(test.gap))
			require.Equal(t, test.moves, d.FlowsMove())
		})
	}
}

// TestLossOfALargeZoneIsNoticed guards against a second host for flows that were opened in other zones
// while all balancers of a large zone were without power. Only its gateways are heard in other zones,
// and a balancer that comes back knows its peers from records of before the loss.
func TestLossOfALargeZoneIsNoticed(t *testing.T) {
	for _, test := range []struct {
		name string
		// zone is the lost one, of which the balancer knows records of living members.
		zone string
		// suspected is the number of members that are suspected, gateways first.
		suspected int
	}{
		{
			name: "at a balancer that comes back",
			zone: "a",
		},
		{
			name:      "in another zone",
			zone:      "b",
			suspected: gatewaysPerZone,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := newDaemon(t), time.Now()
			if test.zone == "a" {
				addPeer(t, d, newEndpoint(t), "b", 1)
			} else {
				d.syncer.tracker.Tick(now.Add(member.JoinDelay))
			}
			incarnations := []uint64{100, 101, 102, 103, 104, 105}
			slices.SortFunc(incarnations, func(x, y uint64) int { return cmp.Compare(rendezvous.Mix(x), rendezvous.Mix(y)) })
			for i, incarnation := range incarnations {
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7400)
				d.syncer.tracker.Merge(now, &member.Record{
					Name:        fmt.Sprintf("lost-%d", i),
					Zone:        test.zone,
					Incarnation: incarnation,
					Sequence:    1,
					Suspected:   i < test.suspected,
					Relay:       address,
					Control:     address,
					Admin:       address,
				})
			}
			d.syncer.updateVacancies(now)
			require.True(t, d.FlowsMove())
		})
	}
}

// TestGatewaysStandForOtherZones guards against the loss of a large zone that other zones don't notice,
// and against lookups in all zones for the loss of a part of one.
func TestGatewaysStandForOtherZones(t *testing.T) {
	const size = 6
	for _, test := range []struct {
		name string
		own  string
		// from and to are the positions of the suspected balancers of zone b on its hash ring.
		from, to int
		vacant   bool
	}{
		{
			name: "some gateways of another zone",
			own:  "a",
			to:   gatewaysPerZone - 1,
		},
		{
			name:   "all gateways of another zone",
			own:    "a",
			to:     gatewaysPerZone,
			vacant: true,
		},
		{
			name: "all others of another zone",
			own:  "a",
			from: gatewaysPerZone,
			to:   size,
		},
		{
			name: "all gateways of the own zone",
			own:  "b",
			to:   gatewaysPerZone,
		},
		{
			name:   "all of the own zone",
			own:    "b",
			to:     size,
			vacant: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			members := make([]member.Member, size)
			for i := range members {
				members[i] = member.Member{
					Name:        fmt.Sprintf("lb-%d", i),
					Zone:        "b",
					Incarnation: uint64(i + 1),
				}
			}
			slices.SortFunc(members, func(x, y member.Member) int {
				return cmp.Compare(rendezvous.Mix(x.Incarnation), rendezvous.Mix(y.Incarnation))
			})
			for i := test.from; i < test.to; i++ {
				members[i].Suspected = true
			}
			v, now := newVacancies(test.own), time.Now()
			v.update(now, member.NewTable(members))
			require.Equal(t, test.vacant, v.vacantWithin(now, "b", 0))
		})
	}
}

// TestStartInAZone guards against lookups in all zones after each start of a balancer. A balancer that
// has just started takes its zone for vacant only until it hears one that is in rotation.
func TestStartInAZone(t *testing.T) {
	for _, test := range []struct {
		name string
		// joining is whether the only balancer that was heard has just started, too.
		joining bool
		vacant  bool
	}{
		{
			name: "that is in rotation",
		},
		{
			name:    "all of which has started",
			joining: true,
			vacant:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := newDaemon(t), time.Now()
			own := d.options.Zone
			d.syncer.tracker.Merge(now, &member.Record{
				Name:        "lb-2",
				Zone:        own,
				Incarnation: 2,
			})
			addMember(t, d, newEndpoint(t), &member.Record{
				Zone:        own,
				Incarnation: 3,
				Joining:     test.joining,
			})
			d.syncer.updateVacancies(now)
			require.Equal(t, test.vacant, d.syncer.vacancies.vacantWithin(now, own, 0))
		})
	}
}
