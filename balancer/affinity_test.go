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

// A change is a planned change of configuration or members.
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

// applyChanges makes changes at once. Nodes learn of them in two steps, while
// all flows are refreshed and some are opened.
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

// run advances the clock and the timers of all nodes.
func (s *flowSimulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, n := range s.nodes {
			n.balancer.Advance(s.now)
		}
		s.deliverQueued()
	}
}

// runForLease refreshes all flows until the lease of a watch that is no longer
// refreshed has ended.
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

// removeLeaving ends the nodes that leave; they must hold no flows by then.
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

// TestAffinity checks that no flow breaks when each planned change, and each
// pair of them, is made while flows are open.
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
	t.Logf("%d flows, %d broken, %d retransmitted, %d relays, %d bytes of releases, %d registered twice at the end",
		len(s.flows), s.broken, s.dropped, s.relays, s.control, len(s.open)-len(s.flows))
	s.runForLease()
	require.Len(t, s.open, len(s.flows), "an upstream still has two registrations of a flow after the lease of the former one has ended")
}
