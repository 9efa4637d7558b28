package balancer_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/keeper"
	"filbertworks.example/filbertworks/member"
)

// A change is one planned change of a flowSystem.
type change struct {
	name  string
	apply func(s *flowSimulation)
}

var changes = []change{
	{
		name:  "upstream added",
		apply: (*flowSimulation).addUpstream,
	},
	{
		name: "upstream drained",
		apply: func(s *flowSimulation) {
			v := s.service()
			for i := range v.Upstreams {
				v.Upstreams[i].State = config.UpstreamActive
			}
			v.Upstreams[s.random.IntN(len(v.Upstreams))].State = config.UpstreamDraining
		},
	},
	{
		name: "upstream re-weighted",
		apply: func(s *flowSimulation) {
			v := s.service()
			v.Upstreams[s.random.IntN(len(v.Upstreams))].Share = 10 + s.random.Uint32N(200)
		},
	},
	{
		name: "upstream removed",
		apply: func(s *flowSimulation) {
			v := s.service()
			v.Upstreams = slices.Delete(v.Upstreams, 0, 1)
		},
	},
	{
		name: "balancer replaced",
		apply: func(s *flowSimulation) {
			n := s.nodes[0]
			n.self.State = member.Leaving
			n.balancer.Leave()
			s.addNode()
		},
	},
}

// applyChanges puts changes in force at one part of the cores after the other while all
// flows are refreshed and some are opened.
func (s *flowSimulation) applyChanges(parts ...change) {
	for _, c := range parts {
		c.apply(s)
	}
	s.newVersion()
	s.install(s.randomNodes())
	s.setViews(s.randomNodes())
	known := len(s.flows)
	s.openFlows(100)
	for i := range s.flows {
		if i%2 == 0 || i >= known {
			s.refresh(uint32(i))
		}
	}
	s.install(s.nodes)
	s.setViews(s.nodes)
	s.closeRemoved()
	for i := range s.flows {
		s.refresh(uint32(i))
	}
	s.run(6 * time.Second)
	s.removeLeaving()
}

// run lets time pass.
func (s *flowSimulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, n := range s.nodes {
			n.balancer.Advance(s.now)
		}
		s.deliverQueued()
	}
}

// runForLease refreshes all flows for the time of a lease.
func (s *flowSimulation) runForLease() {
	refresh := time.Duration(s.service().Refresh)
	for range keeper.WatchLeaseIntervals + 1 {
		s.run(refresh)
		for i := range s.flows {
			s.refresh(uint32(i))
		}
	}
	s.run(time.Second)
}

// removeLeaving ends the cores that leave; by now they hold nothing.
func (s *flowSimulation) removeLeaving() {
	for _, n := range s.nodes {
		if n.self.State == member.Leaving {
			require.Zero(s.t, n.balancer.Keeper().Exchanges(), "%s left flows behind", n.self.Name)
		}
	}
	s.nodes = slices.DeleteFunc(s.nodes, func(n *flowNode) bool { return n.self.State == member.Leaving })
	s.setViews(s.nodes)
}

var affinitySeed = flag.Uint64("affinity-seed", 20261204, "seed of TestAffinity")

// TestAffinity opens flows and makes every planned change and every
// pair of them at once: no flow breaks.
func TestAffinity(t *testing.T) {
	t.Logf("seed %d", *affinitySeed)
	s := newFlowSimulation(t, *affinitySeed, 4)
	s.openFlows(affinityFlows)
	for i, a := range changes {
		for _, b := range changes[i:] {
			parts := []change{a}
			if b.name != a.name {
				parts = append(parts, b)
			}
			s.applyChanges(parts...)
			require.Zero(t, s.broken, "%s and %s", a.name, b.name)
		}
	}
	t.Logf("%d flows, %d broken, %d retransmitted, %d relays, %d bytes of releases, %d registered twice at last",
		len(s.flows), s.broken, s.dropped, s.relays, s.control, len(s.open)-len(s.flows))
	s.runForLease()
	require.Len(t, s.open, len(s.flows), "upstreams see no flow twice once the leases of releases that were lost are over")
}
