package member

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crossZoneMessages returns the number of messages between zones in ten seconds
// in a fleet with the given number of gateways in each zone.
func crossZoneMessages(t *testing.T, gateways int) int {
	t.Helper()
	f := newFleet(1, 5, 60)
	for _, p := range f.processes {
		p.tracker.SetGateways(gateways)
	}
	require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget)
	crossing := 0
	f.blocked = func(from, to *process) bool {
		if from.self.Zone != to.self.Zone {
			crossing++
		}
		return false
	}
	f.run(10 * time.Second)
	return crossing
}

func TestGatewaysReduceCrossZoneMessages(t *testing.T) {
	all, few := crossZoneMessages(t, 0), crossZoneMessages(t, 3)
	require.Less(t, few*3, all)
}

func TestViewsConvergeWithGateways(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 4, 40)
		for _, p := range f.processes {
			p.tracker.SetGateways(3)
		}
		require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget, "start")
		f.processes[seed].down = true
		require.Less(t, f.runUntil(deathTarget+propagationTarget, f.converged), deathTarget+propagationTarget, "death")
		f.blocked = func(from, to *process) bool { return from.self.Zone != to.self.Zone }
		f.run(12 * time.Second)
		f.blocked = nil
		require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget, "partition")
	}
}

func TestAcceptUnlisted(t *testing.T) {
	for _, test := range []struct {
		name   string
		accept bool
	}{
		{name: "ignored"},
		{
			name:   "accepted",
			accept: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(1, 1, 2)
			if test.accept {
				f.processes[0].tracker.AcceptUnlisted()
			}
			a := netip.MustParseAddrPort("10.9.9.9:7400")
			h := Heartbeat{Sender: Record{
				Name:        "stranger",
				Zone:        "zone-0",
				Incarnation: 99,
				Relay:       a,
			}}
			require.Equal(t, test.accept, f.processes[0].tracker.HandleHeartbeat(f.now, a, &h).Known)
		})
	}
}

// TestTableHasTheGatewaysOfTheTracker guards against members that take others for gateways than those
// that act as such.
func TestTableHasTheGatewaysOfTheTracker(t *testing.T) {
	const gateways = 3
	f := newFleet(1, 2, 20)
	for _, p := range f.processes {
		p.tracker.SetGateways(gateways)
	}
	require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget)
	f.processes[0].down = true
	require.Less(t, f.runUntil(deathTarget+propagationTarget, f.converged), deathTarget+propagationTarget)
	view := f.processes[1].tracker.Table()
	for _, p := range f.processes[1:] {
		isSelf := func(m Member) bool { return m.Incarnation == p.self.Incarnation }
		require.Equal(t, p.tracker.gateway, slices.ContainsFunc(view.Gateways(p.self.Zone, gateways), isSelf))
	}
}
