package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFullHostKeepsItsFlows guards against resets of the open flows of a host that holds as many
// flows as it can: it answers no further first packet, and the clients of a zone with few flows
// there repeat theirs. Only a host that leaves probes of several balancers unanswered, too, is dead.
func TestFullHostKeepsItsFlows(t *testing.T) {
	for _, test := range []struct {
		name string
		// probe has the balancers probe the host.
		probe   func(z *zone, c *client)
		outcome Outcome
		scope   Scope
		resets  int
	}{
		{
			name:    "no probe",
			probe:   func(*zone, *client) {},
			outcome: Unproven,
		},
		{
			name: "one balancer's probe has no answer",
			probe: func(z *zone, c *client) {
				z.balancers[2].RecordProbe(z.now, c.host.Ticket(), false)
			},
			outcome: Unproven,
		},
		{
			name: "one balancer's probe has no answer, another one's is accepted",
			probe: func(z *zone, c *client) {
				z.balancers[2].RecordProbe(z.now, c.host.Ticket(), false)
				z.balancers[1].RecordProbe(z.now, c.host.Ticket(), true)
			},
			outcome: Refuted,
		},
		{
			name: "no probe has an answer",
			probe: func(z *zone, c *client) {
				z.balancers[1].RecordProbe(z.now, c.host.Ticket(), false)
				z.balancers[2].RecordProbe(z.now, c.host.Ticket(), false)
			},
			outcome: Confirmed,
			scope:   ScopeAll,
			resets:  1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			z := newZone(t, 3)
			z.by(0)
			idle := z.flowOf(z.upstream("a0"))
			idle.acknowledge()
			z.advance(5 * time.Second)
			merged, found := z.refuseOpenings(idle.host.ID)
			require.Equal(t, FoundDead, found, "the zone is asked")
			require.Zero(t, merged.SilentFlows)
			test.probe(z, idle)
			z.advance(time.Millisecond)
			outcome, scope := z.inquire(&merged)
			require.Equal(t, test.outcome, outcome)
			require.Equal(t, test.scope, scope)
			require.Len(t, z.balancers[0].Resets(), test.resets)
			if test.resets == 0 {
				require.Equal(t, Forward, idle.request().Action)
			}
		})
	}
}

// refuseOpenings has two clients of each balancer send the first packets of flows that go to a
// host, and their copies, without an answer. It returns what the reports show.
func (z *zone) refuseOpenings(host string) (Report, Finding) {
	z.t.Helper()
	var refused []*client
	for i := range z.balancers {
		for range 2 {
			z.by(i)
			c := z.client(boardAddress)
			p := Packet{
				Client:   c.addr,
				Service:  c.service,
				Flags:    FlagOpen,
				Sequence: c.seq,
			}
			z.forwarder.addFlow(z.now, p.key(), z.upstream(host), &p)
			refused = append(refused, c)
		}
	}
	z.advance(200 * time.Millisecond)
	for i, c := range refused {
		z.by(i / 2)
		c.copy(1)
	}
	z.advance(deadAfter - 200*time.Millisecond)
	for i, c := range refused {
		z.by(i / 2)
		require.NotEqual(z.t, host, c.copy(2).Upstream.ID, "new flows go elsewhere")
	}
	z.by(0)
	var merged Report
	found := FoundNothing
	z.detector = NewDetector(1)
	for i, b := range z.balancers {
		for _, r := range b.Reports() {
			if m, now := z.detector.AddReport(z.now, uint64(i+1), r, len(z.balancers)); now == FoundDead {
				merged, found = m, now
			}
		}
	}
	return merged, found
}

// inquire asks all balancers, and applies the outcome.
func (z *zone) inquire(merged *Report) (Outcome, Scope) {
	z.t.Helper()
	var incarnations []uint64
	for i := range z.balancers {
		incarnations = append(incarnations, uint64(i+1))
	}
	q, ok := z.detector.Inquire(z.now, merged, incarnations, nil)
	require.True(z.t, ok)
	outcome, scope := Undecided, ScopeNew
	for i, b := range z.balancers {
		if outcome == Undecided {
			outcome, scope = z.detector.AddAnswer(z.now, incarnations[i], b.Ask(z.now, q))
		}
	}
	for _, b := range z.balancers {
		if outcome != Refuted {
			b.Confirm(z.now, Confirmation{
				Ticket: q.Ticket,
				ID:     q.ID,
				Scope:  scope,
			})
		}
		b.Advance(z.now, z.view())
	}
	return outcome, scope
}

// TestScope checks which flows an inquiry affects that nobody has refuted.
func TestScope(t *testing.T) {
	silent, unreached := Answer{Silent: true}, Answer{Unreached: true}
	for _, test := range []struct {
		name    string
		inquiry openInquiry
		answers []Answer
		scope   Scope
	}{
		{
			name:    "balancers that have sent the host nothing",
			answers: []Answer{{}, {}, {}},
			scope:   ScopeNew,
		},
		{
			name:    "open flows of one balancer",
			answers: []Answer{silent, {}, {}},
			scope:   ScopeNew,
		},
		{
			name:    "open flows of all balancers, but nobody has probed the host",
			answers: []Answer{silent, silent, silent},
			scope:   ScopeNew,
		},
		{
			name:    "a single flow",
			inquiry: openInquiry{single: true},
			answers: []Answer{silent, {}, {}},
			scope:   ScopeWaiting,
		},
		{
			name:    "open flows of one balancer and another one's probe",
			inquiry: openInquiry{single: true},
			answers: []Answer{silent, unreached, {}},
			scope:   ScopeAll,
		},
		{
			name: "open flows and the probe of the same balancer",
			answers: []Answer{
				{
					Silent:    true,
					Unreached: true,
				},
				{},
				{},
			},
			scope: ScopeNew,
		},
		{
			name:    "probes of two balancers",
			answers: []Answer{unreached, {}, unreached},
			scope:   ScopeAll,
		},
		{
			name: "the only balancer of a zone",
			answers: []Answer{{
				Silent:    true,
				Unreached: true,
			}},
			scope: ScopeAll,
		},
		{
			name:    "refused connections",
			inquiry: openInquiry{refused: true},
			answers: []Answer{{}, {}, {}},
			scope:   ScopeAll,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := &test.inquiry
			q.balancers, q.missing = len(test.answers), make(map[uint64]struct{})
			for i := range test.answers {
				q.missing[uint64(i)] = struct{}{}
			}
			for i := range test.answers {
				q.addAnswer(uint64(i), &test.answers[i])
				q.addAnswer(uint64(i), &test.answers[i])
			}
			require.Equal(t, test.scope, q.scope())
		})
	}
}

// TestRemoteWitnesses guards against the death of a host that the balancers of its own zone hear:
// those of a zone with few flows there were asked alone.
func TestRemoteWitnesses(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress is the time since a balancer of the host's zone has seen progress;
		// zero if it does not answer.
		progress time.Duration
		outcome  Outcome
		// overdue is whether the inquiry is confirmed at answerTimeout.
		overdue bool
	}{
		{
			name:     "progress within the silence",
			progress: 100 * time.Millisecond,
			outcome:  Refuted,
		},
		{
			name:     "progress before the silence",
			progress: time.Minute,
			outcome:  Confirmed,
		},
		{
			name:    "the zone is cut off",
			outcome: Undecided,
			overdue: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			f.advance(time.Minute - roundTrip)
			d := NewDetector(1)
			merged, found := d.AddReport(f.now, 1, Report{
				Ticket:          c.host.Ticket(),
				SilentFlows:     3,
				Retransmissions: 3,
				Silence:         500 * time.Millisecond,
			}, 2)
			require.Equal(t, FoundDead, found)
			q, ok := d.Inquire(f.now, &merged, []uint64{1, 2}, []uint64{9})
			require.True(t, ok)
			for from := uint64(1); from <= 2; from++ {
				outcome, _ := d.AddAnswer(f.now, from, Answer{
					Ticket:    q.Ticket,
					ID:        q.ID,
					Unreached: true,
				})
				require.Equal(t, Undecided, outcome, "the balancers of the host's zone may refute it")
			}
			if test.progress > 0 {
				f.forwarder.healthOf(c.host).recordProgress(f.now.Add(-test.progress))
				q.Remote = true
				outcome, _ := d.AddAnswer(f.now, 9, f.forwarder.Ask(f.now, q))
				require.Equal(t, test.outcome, outcome)
				require.Equal(t, "a", f.client(boardAddress).open().Upstream.Zone, "new flows of its own zone go on")
			}
			require.Equal(t, test.overdue, len(d.Overdue(f.now.Add(answerTimeout))) == 1)
		})
	}
}

// TestRefutationKeepsNewFlowsAway checks that new flows still avoid a host that leaves first
// packets unanswered after its death was refuted: it may be full.
func TestRefutationKeepsNewFlowsAway(t *testing.T) {
	f := newFixture(t, 1)
	first, second := f.client(boardAddress), f.client(boardAddress)
	u := first.open().Upstream
	second.open()
	f.advance(200 * time.Millisecond)
	first.open()
	second.open()
	f.forwarder.MarkAlive(f.now, Refutation{Ticket: u.Ticket()})
	require.NotEqual(t, u, f.client(boardAddress).open().Upstream)
	f.advance(initialBackoff)
	require.Equal(t, u, f.client(boardAddress).open().Upstream)
}

// TestProbesOfSilentHosts checks when a balancer that watches a host probes it because of its
// silence, so that the result is known when the zone is asked.
func TestProbesOfSilentHosts(t *testing.T) {
	for _, test := range []struct {
		name   string
		report Report
		probe  bool
	}{
		{
			name: "one lost packet",
			report: Report{
				SilentFlows:         1,
				Retransmissions:     1,
				FlowRetransmissions: 1,
			},
		},
		{
			name: "two lost packets of one flow",
			report: Report{
				SilentFlows:         1,
				Retransmissions:     2,
				FlowRetransmissions: 2,
			},
			probe: true,
		},
		{
			name: "two flows",
			report: Report{
				SilentFlows:     2,
				Retransmissions: 2,
			},
			probe: true,
		},
		{
			name: "two first packets",
			report: Report{
				SilentOpenings:         2,
				OpeningRetransmissions: 2,
			},
			probe: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d, now := NewDetector(1), time.Now()
			_, found := d.AddReport(now, 2, test.report, 3)
			require.Equal(t, FoundNothing, found)
			require.Equal(t, test.probe, d.ShouldProbe(now, 1, 0))
			require.False(t, d.ShouldProbe(now.Add(probeInterval-1), 1, 0))
			deferred, _ := d.Defer(now, &test.report)
			require.Equal(t, test.probe, deferred, "the inquiry waits for the probe")
			require.Equal(t, test.probe, len(d.Due(now.Add(ProbeTimeout))) == 1)
		})
	}
}
