package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restart stops a share of the processes, as in a power loss, and after
// downtime starts new ones at their addresses. Each new process gets its first
// view from a process that was not stopped.
func (f *fleet) restart(share float64, downtime time.Duration) {
	all := f.processes
	n := int(share * float64(len(all)))
	f.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	stayed := all[n:]
	for _, p := range all[:n] {
		p.down = true
	}
	f.run(downtime)
	for _, p := range all[:n] {
		next := &process{self: p.self}
		next.self.Incarnation = f.rand.Uint64() | 1
		next.tracker = NewTracker(f.now, next.self, rand.New(rand.NewPCG(f.rand.Uint64(), 0)))
		next.tracker.AcceptUnlisted()
		next.tracker.SetGateways(3)
		f.processes = append(f.processes, next)
		f.at[p.self.Relay] = next
		next.tracker.MergeFullState(f.now, stayed[f.rand.IntN(len(stayed))].tracker.Records())
	}
}

// newGatewayFleet returns a fleet without listed VMs that has run until there
// is nothing left to gossip.
func newGatewayFleet(seed uint64, size int) *fleet {
	f := newFleet(seed, 3, size)
	for _, p := range f.processes {
		p.tracker.SetVMs(f.now, nil)
		p.tracker.AcceptUnlisted()
		p.tracker.SetGateways(3)
	}
	f.mergeAll()
	f.run(5 * time.Second)
	return f
}

// knowEachOther reports whether every running process has all running ones as
// living members in its view.
func (f *fleet) knowEachOther() bool {
	running := f.running()
	for _, p := range running {
		for _, o := range running {
			if !p.seesAlive(o) {
				return false
			}
		}
	}
	return true
}

// sendRate runs the simulation for d and returns how much each of size members
// sends, in kB per second.
func (f *fleet) sendRate(d time.Duration, size int) float64 {
	f.size = heartbeatBytes
	f.bytes = 0
	f.run(d)
	return float64(f.bytes) / d.Seconds() / float64(size) / 1000
}

// secondsUntilKnown returns after how many seconds all running processes know
// each other, or limit if they don't before that.
func (f *fleet) secondsUntilKnown(limit int) int {
	for n := range limit {
		if f.knowEachOther() {
			return n
		}
		f.run(time.Second)
	}
	return limit
}

// TestGossipEndsAfterMassRestart guards against gossip that goes on long after
// a restart. Within the 15 s in which a fleet must have recovered from the loss
// of more than half of it, its members must know each other, and then each must
// send less than twice as much as before. This failed when each process
// gossiped all the members that it had been told of at its start, and gossiped
// records that the others already had.
func TestGossipEndsAfterMassRestart(t *testing.T) {
	const (
		size          = 99
		recoveryLimit = 15
	)
	for seed := range uint64(4) {
		f := newGatewayFleet(seed, size)
		baseline := f.sendRate(5*time.Second, size)
		f.restart(0.55, 2*time.Second)
		known := f.secondsUntilKnown(recoveryLimit)
		require.Less(t, known, recoveryLimit, "seed %d", seed)
		f.run(time.Duration(recoveryLimit-known) * time.Second)
		require.Less(t, f.sendRate(5*time.Second, size), 2*baseline, "seed %d", seed)
	}
}
