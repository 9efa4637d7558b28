package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/config"
)

// Time limits that the membership must meet with up to nine processes.
const (
	convergeTarget    = 10 * time.Second
	propagationTarget = time.Second
	deathTarget       = DeadAfter + propagationTarget
)

func TestViewsConvergeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(2, 9).Draw(t, "size"))
		f.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		f.duplication = rapid.Float64Range(0, 0.3).Draw(t, "double")
		f.jitter = time.Duration(rapid.IntRange(0, 300).Draw(t, "jitter")) * time.Millisecond
		require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			p := rapid.SampledFrom(f.processes).Draw(t, "process")
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				p.down = true
			case 1:
				p.paused = true
				since := f.now
				f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "pause")) * time.Second)
				p.paused = false
				p.tracker.HandleResume(f.now, since)
			case 2:
				f.blocked = func(from, to *process) bool { return from.self.Zone != to.self.Zone }
				f.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "cut")) * time.Second)
				f.blocked = nil
			default:
				f.blocked = func(from, _ *process) bool { return from == p }
				f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "silence")) * time.Second)
				f.blocked = nil
			}
		}
		// Every running process must become alive again in all views, and no
		// stopped one may stay alive.
		f.loss = min(f.loss, 0.05)
		f.runUntil(3*convergeTarget, f.converged)
		require.True(t, f.converged())
	})
}

func TestDeathDetectionTime(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(seed, 4, 9)
		f.loss = 0.02
		f.run(5 * time.Second)
		f.processes[seed%9].down = true
		took := f.runUntil(2*deathTarget, f.converged)
		require.LessOrEqual(t, took, deathTarget, "seed %d", seed)
	}
}

// TestKeepersAgreeInTime checks that balancers disagree about an upstream's
// keeper only for a bounded time after a death and after a start.
func TestKeepersAgreeInTime(t *testing.T) {
	agree := func(f *fleet) func() bool {
		return func() bool {
			for id := range uint32(30) {
				var keeper string
				for _, p := range f.running() {
					m, _ := p.tracker.Table().Keeper(id, "zone-1")
					if keeper == "" {
						keeper = m.Name
					}
					if m.Name != keeper || !f.isRunning(m.Name) {
						return false
					}
				}
			}
			return true
		}
	}
	for seed := range uint64(10) {
		f := newFleet(seed, 3, 9)
		f.loss = 0.02
		f.run(5 * time.Second)
		f.processes[1].down = true
		require.LessOrEqual(t, f.runUntil(2*deathTarget, agree(f)), deathTarget, "death, seed %d", seed)
		joined := f.start("lb-new", 1, 50)
		f.seed()
		joined.tracker.SetVMs(f.now, f.listedVMs())
		f.run(JoinDelay)
		require.LessOrEqual(t, f.runUntil(2*deathTarget, agree(f)), propagationTarget, "start, seed %d", seed)
	}
}

func TestNoFalseDeathUnderLossAndDelay(t *testing.T) {
	f := newFleet(1, 3, 9)
	f.loss = 0.05
	f.jitter = 100 * time.Millisecond
	require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget)
	for range 600 {
		f.run(time.Second)
		require.True(t, f.converged(), "after %v", f.now.Sub(epoch))
	}
}

func TestOneWayLossCausesNoFalseDeath(t *testing.T) {
	f := newFleet(2, 3, 9)
	f.run(5 * time.Second)
	receiver, sender := f.processes[0], f.processes[1]
	f.blocked = func(from, to *process) bool { return from == sender && to == receiver }
	for range 60 {
		f.run(time.Second)
		require.True(t, f.converged())
	}
}

func TestLeavingPropagates(t *testing.T) {
	f := newFleet(3, 3, 9)
	f.run(5 * time.Second)
	leaver := f.processes[4]
	leaver.tracker.Leave()
	took := f.runUntil(propagationTarget, func() bool {
		for _, p := range f.processes {
			if m, _ := p.tracker.Table().ByIncarnation(leaver.self.Incarnation); m.State != Leaving {
				return false
			}
		}
		return true
	})
	require.Less(t, took, propagationTarget)
}

func TestReplacementUnderTheSameAddress(t *testing.T) {
	f := newFleet(4, 3, 9)
	f.run(5 * time.Second)
	old := f.processes[5]
	old.down = true
	replacement := f.start("lb-new", 5%3, 5)
	replacement.tracker.SetVMs(f.now, f.listedVMs())
	took := f.runUntil(deathTarget, func() bool {
		for _, p := range f.running() {
			if p.seesAlive(old) || !p.seesAlive(replacement) {
				return false
			}
		}
		return true
	})
	require.Less(t, took, deathTarget)
}

func TestUnknownSendersAreIgnored(t *testing.T) {
	f := newFleet(5, 1, 2)
	unlisted := f.start("stranger", 0, 77)
	h := &Heartbeat{Sender: unlisted.tracker.self}
	result := f.processes[0].tracker.HandleHeartbeat(f.now, unlisted.self.Relay, h)
	require.False(t, result.Known)
	require.False(t, f.processes[0].seesAlive(unlisted))
}

func TestSettled(t *testing.T) {
	self := Member{
		Name:        "self",
		Incarnation: 1,
	}
	f := newFleet(6, 1, 1)
	peer := f.processes[0].self
	vms := []config.VM{{
		Name:  peer.Name,
		Zone:  peer.Zone,
		Relay: peer.Relay,
		State: config.VMLive,
	}}
	tracker := NewTracker(epoch, self, rand.New(rand.NewPCG(1, 1)))
	require.False(t, tracker.Settled(epoch), "no list yet")
	tracker.SetVMs(epoch, vms)
	require.False(t, tracker.Settled(epoch), "listed, not heard from")
	require.True(t, tracker.Settled(epoch.Add(DeadAfter)), "listed for DeadAfter")
	tracker.HandleHeartbeat(epoch, peer.Relay, &Heartbeat{Sender: f.processes[0].tracker.self})
	require.True(t, tracker.Settled(epoch), "heard from")
}

func TestEarlierProbeAnswersDoNotCountAfterResume(t *testing.T) {
	f := newFleet(7, 1, 2)
	f.run(3 * time.Second)
	a, b := f.processes[0], f.processes[1]
	a.tracker.SetProbing(true)
	probe := a.tracker.messages(f.now, a.tracker.observers)[0].Heartbeat
	answer := func() Heartbeat {
		b.tracker.HandleHeartbeat(f.now, a.self.Relay, &probe)
		return b.tracker.Tick(f.now)[0].Heartbeat
	}
	before := answer()
	require.True(t, a.tracker.HandleHeartbeat(f.now, b.self.Relay, &before).AnswersProbe)
	a.tracker.HandleResume(f.now.Add(5*time.Second), f.now)
	require.False(t, a.tracker.HandleHeartbeat(f.now, b.self.Relay, &before).AnswersProbe)
}

// TestContactsGetHeartbeats checks that contacts get each heartbeat, beside the observers, and that
// their receiver can tell how long the sender has been silent.
func TestContactsGetHeartbeats(t *testing.T) {
	now := time.Now()
	process := func(i byte) Member {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7400)
		return Member{
			Name:        fmt.Sprintf("lb-%d", i),
			Zone:        "a",
			Incarnation: uint64(i),
			Relay:       a,
			Control:     a,
			Admin:       a,
		}
	}
	sender, receiver := process(1), process(2)
	from := NewTracker(now, sender, rand.New(rand.NewPCG(1, 1)))
	to := NewTracker(now, receiver, rand.New(rand.NewPCG(1, 2)))
	to.AcceptUnlisted()
	require.Zero(t, to.SilentFor(now, sender.Incarnation), "never heard")
	from.SetContacts([]netip.AddrPort{receiver.Relay})
	for range 3 {
		now = now.Add(HeartbeatInterval)
		heartbeats := from.Tick(now)
		require.Len(t, heartbeats, 1)
		require.Equal(t, receiver.Relay, heartbeats[0].To)
		require.True(t, to.HandleHeartbeat(now, sender.Relay, &heartbeats[0].Heartbeat).Known)
		require.Zero(t, to.SilentFor(now, sender.Incarnation))
	}
	require.Equal(t, time.Second, to.SilentFor(now.Add(time.Second), sender.Incarnation))
}

// TestProbesAreAnswered checks that a process can ask others whether they run, and that it notices the
// silence of a member that it observes.
func TestProbesAreAnswered(t *testing.T) {
	f := newFleet(1, 1, 5)
	require.Less(t, f.runUntil(convergeTarget, f.converged), convergeTarget)
	asking, asked := f.processes[0], f.processes[1]
	const silence = SuspectAfter
	require.False(t, asking.tracker.ObservesSilence(f.now, silence))
	for _, down := range []bool{false, true} {
		asked.down = down
		if down {
			for _, p := range f.processes[2:] {
				p.down = true
			}
			f.run(silence + HeartbeatInterval)
		}
		at := f.now
		asking.tracker.Probe([]netip.AddrPort{asked.self.Relay})
		f.run(2*step + 10*linkDelay)
		require.Equal(t, !down, asking.tracker.HeardSince(at, asked.self.Incarnation))
		require.Equal(t, down, asking.tracker.ObservesSilence(f.now, silence))
	}
	require.False(t, asking.tracker.HeardSince(epoch, 12345), "unknown")
}
