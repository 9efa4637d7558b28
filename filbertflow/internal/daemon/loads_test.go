package daemon

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/wire"
)

// startUp is the time in which an exchange that has started or changed gives digests at their
// usual rate.
const startUp = 4 * idleReportInterval

// TestReportsReachCollectors guards against upstreams whose work is known in part, because a
// balancer of their zone or of another one reports it to balancers that do not collect it.
func TestReportsReachCollectors(t *testing.T) {
	for _, test := range []struct {
		name  string
		hosts int
	}{
		{
			name:  "one group",
			hosts: 3,
		},
		{
			name:  "two groups",
			hosts: 150,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			hosts := slices.Concat(hostsOf("a", test.hosts), hostsOf("b", 2))
			x := newExchange(t, hosts, "a", "a", "a", "a", "b", "b", "b")
			for i, p := range x.peers {
				p.samples = samplesOf(hosts, 0.125*float64(i+1))
			}
			x.run(startUp)
			passed := x.run(time.Second)
			type sampled struct {
				from   uint64
				ticket directory.Ticket
				to     *exchangePeer
			}
			seen := make(map[sampled]bool)
			for _, d := range passed {
				if !wire.IsLoadReport(d.data) {
					continue
				}
				r, err := wire.ParseLoadReport(d.data)
				require.NoError(t, err)
				for _, s := range r.Samples {
					seen[sampled{
						from:   r.Sender,
						ticket: s.Ticket,
						to:     d.to,
					}] = true
				}
			}
			wanted := make(map[sampled]bool)
			for i := range hosts {
				h := &hosts[i]
				groups := 1
				if h.Zone == "a" {
					groups = load.Groups(test.hosts)
				}
				collectors := x.collectors(groupID{
					zone:  h.Zone,
					group: load.GroupOf(h.Ticket(), groups),
				})
				require.Len(t, collectors, collectorsPerGroup)
				for _, to := range collectors {
					require.Equal(t, h.Zone, to.zone)
					for _, p := range x.peers {
						if p != to {
							wanted[sampled{
								from:   p.daemon.incarnation,
								ticket: h.Ticket(),
								to:     to,
							}] = true
						}
					}
				}
			}
			require.Equal(t, wanted, seen)
			x.requireTotals(passed)
		})
	}
}

// requireTotals requires that the digests have the sums of all balancers' samples of all hosts.
func (x *exchange) requireTotals(passed []passedDatagram) {
	x.t.Helper()
	wanted := make(map[directory.Ticket]load.Total)
	for _, p := range x.peers {
		for _, s := range p.samples {
			total := wanted[s.Ticket]
			total.Ticket = s.Ticket
			total.Flows += s.Flows
			total.Working += s.Working
			wanted[s.Ticket] = total
		}
	}
	got := make(map[directory.Ticket]load.Total)
	for _, digests := range x.digests(passed) {
		for _, d := range digests {
			for _, total := range d.Totals {
				got[total.Ticket] = total
			}
		}
	}
	require.Equal(x.t, wanted, got)
}

// TestCollectorsTakeTurns guards against digests that come twice as often as balancers report, or
// that no longer come after the loss of one collector: the other one goes on at half the rate.
func TestCollectorsTakeTurns(t *testing.T) {
	const length = 20 * busyReportInterval
	for _, test := range []struct {
		name string
		// lost is the rank of the collector that stops.
		lost int
		// origins is the number of collectors that go on.
		origins int
		min     int
		max     int
	}{
		{
			name:    "both",
			lost:    -1,
			origins: 2,
			min:     19,
			max:     21,
		},
		{
			name:    "the first one is lost",
			origins: 1,
			min:     9,
			max:     11,
		},
		{
			name:    "the second one is lost",
			lost:    1,
			origins: 1,
			min:     9,
			max:     11,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			hosts := hostsOf("a", 3)
			x := newExchange(t, hosts, "a", "a", "a", "a", "a")
			for _, p := range x.peers {
				p.samples = samplesOf(hosts, 1)
			}
			x.run(startUp)
			collectors := x.collectors(groupID{zone: "a"})
			if test.lost >= 0 {
				x.stop(collectors[test.lost], false)
			}
			digests := x.digests(x.run(length))
			other := x.peers[slices.IndexFunc(x.peers, func(p *exchangePeer) bool { return !slices.Contains(collectors, p) })]
			received := digests[other]
			require.GreaterOrEqual(t, len(received), test.min)
			require.LessOrEqual(t, len(received), test.max)
			origins := make(map[uint64]bool)
			for i, d := range received {
				origins[d.Origin] = true
				if i > 0 && test.origins == 2 {
					require.NotEqual(t, received[i-1].Origin, d.Origin, "they take turns")
				}
			}
			require.Len(t, origins, test.origins)
		})
	}
}

// TestCollectorsChange guards against groups that no balancer collects, or more than two do, after
// a change of the zone's balancers.
func TestCollectorsChange(t *testing.T) {
	hosts := hostsOf("a", 3)
	x := newExchange(t, hosts, "a", "a", "a", "a", "a")
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 1)
	}
	x.run(startUp)
	before := x.collectors(groupID{zone: "a"})
	x.stop(before[0], true)
	x.run(startUp)
	after := x.collectors(groupID{zone: "a"})
	require.Same(t, before[1], after[0])
	x.requireOrigins(x.run(time.Second), after)

	// The balancer comes back as another process.
	back := x.add(before[0].name, "a")
	back.samples = samplesOf(hosts, 1)
	x.run(startUp)
	again := x.collectors(groupID{zone: "a"})
	require.Same(t, back, again[0])
	require.Same(t, before[1], again[1])
	x.requireOrigins(x.run(time.Second), again)
	require.Empty(t, after[1].daemon.syncer.loads.collecting)
}

// requireOrigins requires that the digests are those of exactly the given balancers, and sum the
// reports of all balancers.
func (x *exchange) requireOrigins(passed []passedDatagram, collectors []*exchangePeer) {
	x.t.Helper()
	wanted, got := make(map[uint64]bool), make(map[uint64]bool)
	for _, p := range collectors {
		wanted[p.daemon.incarnation] = true
	}
	running := 0
	for _, p := range x.peers {
		if !p.stopped {
			running++
		}
	}
	for _, digests := range x.digests(passed) {
		for _, d := range digests {
			got[d.Origin] = true
			require.Equal(x.t, running, d.Balancers)
		}
	}
	require.Equal(x.t, wanted, got)
}

// TestDigestsAreRelayedOnce guards against balancers that miss digests or get them several times, and
// against a collector that sends all copies itself.
func TestDigestsAreRelayedOnce(t *testing.T) {
	const balancers, fanOut = 27, 6
	hosts := hostsOf("a", 10)
	x := newExchange(t, hosts, append(slices.Repeat([]string{"a"}, balancers), "b", "b")...)
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 0.2)
	}
	x.run(startUp)
	const played = 4 * time.Second
	passed := x.run(played)
	type message struct {
		origin   uint64
		sequence uint32
	}
	ofOtherZone := make(map[uint64]bool)
	for _, p := range x.peers {
		ofOtherZone[p.daemon.incarnation] = p.zone != "a"
	}
	copies := make(map[message]map[*exchangePeer]int)
	for p, digests := range x.digests(passed) {
		for _, d := range digests {
			if p.zone != "a" {
				require.True(t, ofOtherZone[d.Origin], "the other zone gets summaries only")
				continue
			}
			m := message{
				origin:   d.Origin,
				sequence: d.Sequence,
			}
			if copies[m] == nil {
				copies[m] = make(map[*exchangePeer]int)
			}
			copies[m][p]++
		}
	}
	sent := make(map[message]map[*exchangePeer]int)
	for _, d := range passed {
		if !wire.IsLoadDigest(d.data) || d.to.zone != "a" {
			continue
		}
		read, err := wire.ParseLoadDigest(d.at, d.data)
		require.NoError(t, err)
		if read.Groups == 0 {
			continue
		}
		m := message{
			origin:   read.Origin,
			sequence: read.Sequence,
		}
		if sent[m] == nil {
			sent[m] = make(map[*exchangePeer]int)
		}
		sent[m][d.from]++
		require.LessOrEqual(t, sent[m][d.from], fanOut)
	}
	require.GreaterOrEqual(t, len(copies), int(played/idleReportInterval)-1)
	for m, byPeer := range copies {
		require.Len(t, byPeer, balancers-1)
		for p, n := range byPeer {
			require.NotEqual(t, m.origin, p.daemon.incarnation)
			require.Equal(t, 1, n)
		}
	}
}

// TestZoneTotals guards against zones that do not learn of the room of others, or that keep what
// they have learnt although the other zone has been cut off.
func TestZoneTotals(t *testing.T) {
	hosts := slices.Concat(hostsOf("a", 3), hostsOf("b", 2))
	x := newExchange(t, hosts, "a", "a", "a", "b", "b", "b")
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 0.5)
	}
	// rows returns the rows of other zones in the last digests of each zone.
	rows := func(passed []passedDatagram) map[string][]load.ZoneTotal {
		last := make(map[string][]load.ZoneTotal)
		for p, digests := range x.digests(passed) {
			last[p.zone] = digests[len(digests)-1].Zones
		}
		return last
	}
	x.run(startUp)
	last := rows(x.run(time.Second))
	for zone, other := range map[string]struct {
		zone     string
		capacity float64
	}{
		"a": {
			zone:     "b",
			capacity: 8,
		},
		"b": {
			zone:     "a",
			capacity: 12,
		},
	} {
		require.Len(t, last[zone], 1)
		z := last[zone][0]
		require.Equal(t, other.zone, z.Zone)
		require.Equal(t, "board", z.Service)
		require.InDelta(t, other.capacity, z.Capacity, 1e-9)
		// All 6 balancers work at all of them.
		require.InDelta(t, 0.5*6*other.capacity/4, z.Working, 0.1)
		require.Less(t, x.now.Sub(z.At), time.Second)
	}
	x.lost = func(from, to string) bool { return from != to }
	x.run(2 * time.Second)
	last = rows(x.run(time.Second))
	require.Len(t, last, 2)
	require.Empty(t, last["a"])
	require.Empty(t, last["b"])
}
