package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

// probeResult is how a host reacts to probes.
type probeResult uint8

const (
	probeAccepted probeResult = iota
	probeRefused
	probeUnanswered
)

// copyTest is a sequence of flows whose first packets are sent to host a0 of the balancer's
// zone, and whose answers are lost. Times count from the first one.
type copyTest struct {
	name string
	// opened is when the first packet of each flow is sent.
	opened []time.Duration
	// probe is how the host reacts to probes.
	probe probeResult
	// events happen before the packets of the same time.
	events []copyEvent
	// moves is which copy of each flow goes to another host; zero if none does.
	moves []int
}

type copyEvent struct {
	at  time.Duration
	run func(c *copyRun)
}

// copyRun is the run of a copyTest, in steps of a millisecond.
type copyRun struct {
	*fixture
	host    *directory.Upstream
	open    *client
	clients []*client
	moves   []int
	// results holds the results of probes that have not come in yet.
	results []func()
	dueAt   []time.Time
}

// copyTimes maps the time since a first packet to the number of the copy that is sent then.
var copyTimes = map[time.Duration]int{
	200 * time.Millisecond: 1,
	600 * time.Millisecond: 2,
}

// run plays the test, and returns the run.
func (test *copyTest) run(t *testing.T) *copyRun {
	t.Helper()
	c := &copyRun{
		fixture: newFixture(t, 1),
		moves:   make([]int, len(test.opened)),
	}
	c.forwarder = New(c.now, "a", owner(true), WithInquiries(), WithLookups(zones(false)))
	c.host = c.upstream("a0")
	c.open = c.client(boardAddress).establish()
	c.advance(5 * time.Second)
	for at := time.Duration(0); at <= test.opened[len(test.opened)-1]+700*time.Millisecond; at += time.Millisecond {
		for _, e := range test.events {
			if e.at == at {
				e.run(c)
			}
		}
		c.step(test.probe)
		for i, opened := range test.opened {
			if at == opened {
				c.clients = append(c.clients, c.client(boardAddress))
				require.Equal(t, c.host, c.clients[i].open().Upstream, "flow %d", i)
			}
			if n := copyTimes[at-opened]; n > 0 {
				c.copy(i, n)
			}
		}
		c.advance(time.Millisecond)
	}
	return c
}

// copy sends a copy of a flow's first packet, unless an earlier one has gone to another host.
func (c *copyRun) copy(flow, n int) {
	if c.moves[flow] != 0 {
		return
	}
	if d := c.clients[flow].copy(n); d.Upstream != c.host {
		require.Equal(c.t, ReasonMoved, d.Reason)
		c.moves[flow] = n
	}
}

// step advances the forwarder to the present, and handles its probes.
func (c *copyRun) step(result probeResult) {
	c.forwarder.Advance(c.now, c.view())
	for len(c.dueAt) > 0 && !c.now.Before(c.dueAt[0]) {
		c.results[0]()
		c.results, c.dueAt = c.results[1:], c.dueAt[1:]
	}
	for _, u := range c.forwarder.UpstreamsToProbe() {
		startedAt, wait := c.now, time.Millisecond
		if result == probeUnanswered {
			wait = ProbeTimeout
		}
		c.results = append(c.results, func() { c.forwarder.RecordProbe(startedAt, u.Ticket(), result == probeAccepted) })
		c.dueAt = append(c.dueAt, c.now.Add(wait))
	}
}

// progress has an open flow of the host show progress.
func (c *copyRun) progress() {
	c.open.request()
	c.open.acknowledgeAnswer()
}

// ask has another balancer ask about the host, as it has been silent for the given time.
func (c *copyRun) ask(silence time.Duration) Answer {
	return c.forwarder.Ask(c.now, Inquiry{
		Ticket:  c.host.Ticket(),
		ID:      1,
		Silence: silence,
	})
}

// TestCopiesStayAtALivingHost guards against a second and a third host for a flow: the answers
// to the first packets of two flows were lost, and the balancer took that for the silence of
// their host, which accepted probes or answered other flows meanwhile.
func TestCopiesStayAtALivingHost(t *testing.T) {
	for _, test := range []copyTest{
		{
			name:   "probes are accepted",
			opened: []time.Duration{0, 20 * time.Millisecond},
			moves:  []int{0, 0},
		},
		{
			name:   "another flow makes progress, and probes are lost before that",
			opened: []time.Duration{0, 20 * time.Millisecond},
			probe:  probeUnanswered,
			events: []copyEvent{{
				at:  190 * time.Millisecond,
				run: (*copyRun).progress,
			}},
			moves: []int{0, 0},
		},
		{
			name:   "the last probe before the first copies is older than the second flow",
			opened: []time.Duration{0, 100 * time.Millisecond},
			events: []copyEvent{{
				at:  80 * time.Millisecond,
				run: (*copyRun).progress,
			}},
			moves: []int{0, 0},
		},
		{
			name:   "an inquiry about the host is refuted",
			opened: []time.Duration{0, 20 * time.Millisecond},
			events: []copyEvent{
				{
					at:  30 * time.Millisecond,
					run: func(c *copyRun) { c.ask(time.Second) },
				},
				{
					at: 40 * time.Millisecond,
					run: func(c *copyRun) {
						c.forwarder.MarkAlive(c.now, Refutation{
							Ticket: c.host.Ticket(),
							Age:    20 * time.Millisecond,
						})
					},
				},
			},
			moves: []int{0, 0},
		},
		{
			name:   "a probe is accepted after a packet of an open flow was lost",
			opened: []time.Duration{0, 20 * time.Millisecond},
			events: []copyEvent{
				{
					at:  0,
					run: func(c *copyRun) { c.open.request() },
				},
				{
					at:  160 * time.Millisecond,
					run: func(c *copyRun) { c.open.retransmit() },
				},
				{
					at:  180 * time.Millisecond,
					run: func(c *copyRun) { c.forwarder.RecordProbe(c.now, c.host.Ticket(), true) },
				},
			},
			moves: []int{0, 0},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := test.run(t)
			require.Equal(t, test.moves, c.moves)
			require.Empty(t, c.forwarder.AmbiguousFlows(), "one host has got the first packets")
			require.NotEqual(t, c.host, c.client(boardAddress).open().Upstream, "new flows avoid the host")
		})
	}
}

// TestCopiesLeaveADeadHost guards against clients that give up after 1.4 s, since the copies of
// their first packets stay at a host that is dead, or that is full and opens no flows.
func TestCopiesLeaveADeadHost(t *testing.T) {
	tests := []copyTest{
		{
			name:   "a single flow",
			opened: []time.Duration{0},
			probe:  probeUnanswered,
			moves:  []int{2},
		},
		{
			name:   "probes are refused",
			opened: []time.Duration{0, 20 * time.Millisecond},
			probe:  probeRefused,
			moves:  []int{2, 1},
		},
		{
			name:   "probes are not answered",
			opened: []time.Duration{0, 20 * time.Millisecond},
			probe:  probeUnanswered,
			moves:  []int{2, 1},
		},
		{
			name:   "the host refuses probes after its last progress",
			opened: []time.Duration{0, 20 * time.Millisecond},
			probe:  probeRefused,
			events: []copyEvent{{
				at:  40 * time.Millisecond,
				run: (*copyRun).progress,
			}},
			moves: []int{2, 1},
		},
		{
			name:   "an open flow is silent",
			opened: []time.Duration{0},
			events: []copyEvent{
				{
					at:  0,
					run: func(c *copyRun) { c.open.request() },
				},
				{
					at:  180 * time.Millisecond,
					run: func(c *copyRun) { c.open.retransmit() },
				},
			},
			moves: []int{1},
		},
		{
			name:   "the zone is asked",
			opened: []time.Duration{0},
			probe:  probeUnanswered,
			events: []copyEvent{{
				at:  180 * time.Millisecond,
				run: func(c *copyRun) { require.False(c.t, c.ask(500*time.Millisecond).Alive) },
			}},
			moves: []int{1},
		},
		{
			name:   "the zone confirms the death",
			opened: []time.Duration{0},
			probe:  probeUnanswered,
			events: []copyEvent{
				{
					at:  10 * time.Millisecond,
					run: func(c *copyRun) { c.ask(500 * time.Millisecond) },
				},
				{
					at: 30 * time.Millisecond,
					run: func(c *copyRun) {
						c.forwarder.Confirm(c.now, Confirmation{
							Ticket: c.host.Ticket(),
							ID:     1,
							Scope:  ScopeAll,
						})
					},
				},
			},
			moves: []int{1},
		},
		{
			name:   "the host's entry is gone",
			opened: []time.Duration{0},
			events: []copyEvent{{
				at:  100 * time.Millisecond,
				run: func(c *copyRun) { c.remove("a0") },
			}},
			moves: []int{1},
		},
		{
			name:   "the last progress acknowledges an answer from before the first packet",
			opened: []time.Duration{0},
			probe:  probeUnanswered,
			events: []copyEvent{{
				at:  30 * time.Millisecond,
				run: (*copyRun).progress,
			}},
			moves: []int{2},
		},
		{
			name:   "a full host accepts probes and serves its open flows",
			opened: []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond, 45 * time.Millisecond},
			events: []copyEvent{{
				at:  300 * time.Millisecond,
				run: (*copyRun).progress,
			}},
			moves: []int{0, 0, 2, 2},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.moves, test.run(t).moves)
		})
	}
}

// TestCopyStaysAtTheSecondHost guards against a third host for a flow: the first copy had moved
// from a host that refused connections, and the answer of the second host was lost.
func TestCopyStaysAtTheSecondHost(t *testing.T) {
	for _, alive := range []bool{true, false} {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			f := newFixture(t, 3)
			c := f.client(boardAddress)
			first := c.open().Upstream
			f.remove(first.ID)
			f.advance(200 * time.Millisecond)
			second := c.copy(1).Upstream
			require.NotEqual(t, first, second)
			f.advance(lateOpeningAfter)
			f.forwarder.Advance(f.now, f.view())
			f.forwarder.RecordProbe(f.now, second.Ticket(), alive)
			f.advance(400*time.Millisecond - lateOpeningAfter)
			if d := c.copy(2); alive {
				require.Equal(t, second, d.Upstream)
			} else {
				require.NotEqual(t, second, d.Upstream)
			}
		})
	}
}

// TestAdoptedCopyKeepsItsHost guards against a second host for a flow whose second copy reaches
// a balancer that has not seen the flow, and that has seen answers of the host since the first
// packet.
func TestAdoptedCopyKeepsItsHost(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress is when another flow of the host makes progress at the second balancer,
		// after the first packet.
		progress time.Duration
		reason   Reason
	}{
		{
			name:     "progress since the first packet",
			progress: 300 * time.Millisecond,
			reason:   ReasonCopy,
		},
		{
			name:     "progress when the first packet was sent",
			progress: 10 * time.Millisecond,
			reason:   ReasonMoved,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newZone(t, 2)
			z.by(0)
			c := z.client(boardAddress)
			host := c.open().Upstream
			z.by(1)
			other := z.flowOf(host)
			other.acknowledge()
			z.advance(test.progress)
			other.request()
			other.acknowledgeAnswer()
			z.advance(600*time.Millisecond - test.progress)
			require.Equal(t, Hold, c.copy(2).Action)
			z.lookUp(1)
			require.Equal(t, test.reason, z.released(1).Reason)
		})
	}
}

// TestCopyOfLastHostsFlowIsNotReset guards against the reset of a flow that has just opened: the copy
// of its first packet and the host's answer to the first one crossed, and no host may take new flows
// any more.
func TestCopyOfLastHostsFlowIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name string
		// leave takes all hosts out.
		leave func(f *fixture)
		want  Action
	}{
		{
			name: "all zones are taken out",
			leave: func(f *fixture) {
				for _, zone := range []string{"a", "b"} {
					f.set(directory.Item{Key: directory.Key{
						Kind: directory.KindZoneOut,
						Name: zone,
					}})
				}
			},
			want: Forward,
		},
		{
			name: "all hosts drain",
			leave: func(f *fixture) {
				for _, id := range []string{"a0", "b0"} {
					f.host(id, id[:1], "board", func(u *directory.Upstream) { u.Draining = true })
				}
			},
			want: Forward,
		},
		{
			name: "all hosts are gone",
			leave: func(f *fixture) {
				for _, id := range []string{"a0", "b0"} {
					f.remove(id)
				}
			},
			want: Reject,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress)
			host := c.open().Upstream
			test.leave(f)
			f.advance(200 * time.Millisecond)
			d := c.copy(1)
			require.Equal(t, test.want, d.Action)
			if test.want == Forward {
				require.Equal(t, host, d.Upstream)
			}
			require.Equal(t, Reject, f.client(boardAddress).open().Action, "a new flow")
		})
	}
}
