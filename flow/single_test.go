package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLossyLinkResetsNoLiveFlow guards against resets of a living host's flow by a balancer
// whose link drops some packets: three packets of one flow were lost in a row while others came
// through, which counted as the proof of the balancer's own path.
func TestLossyLinkResetsNoLiveFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress is the time since another balancer of the zone has seen an answer of the
		// host; zero if none has.
		progress time.Duration
		outcome  Outcome
		resets   int
	}{
		{
			name:     "another balancer has seen an answer since",
			progress: time.Second,
			outcome:  Refuted,
		},
		{
			name:     "another balancer has seen an answer before",
			progress: 3 * time.Second,
			outcome:  Confirmed,
			resets:   1,
		},
		{
			name:    "the host is silent",
			outcome: Confirmed,
			resets:  1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.forwarder = New(f.now, "a", owner(true), WithInquiries())
			c := f.client(boardAddress).establish()
			idle := f.flowOf(c.host)
			idle.acknowledge()
			f.advance(time.Second)
			c.request()
			for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
				f.advance(wait)
				f.answerElsewhere()
				require.Equal(t, Forward, c.retransmit().Action)
			}
			reports := f.forwarder.Reports()
			d, peer := NewDetector(1), New(f.now, "a", owner(true))
			merged, found := d.AddReport(f.now, 1, reports[len(reports)-1], 2)
			require.Equal(t, FoundDead, found)
			q, ok := d.Inquire(f.now, &merged, []uint64{1, 2}, nil)
			require.True(t, ok)
			if test.progress > 0 {
				peer.healthOf(c.host).recordProgress(f.now.Add(-test.progress))
			}
			outcome, _ := d.AddAnswer(f.now, 1, f.forwarder.Ask(f.now, q))
			require.Equal(t, Undecided, outcome)
			outcome, scope := d.AddAnswer(f.now, 2, peer.Ask(f.now, q))
			require.Equal(t, test.outcome, outcome)
			if test.outcome == Confirmed {
				f.forwarder.Confirm(f.now, Confirmation{
					Ticket: q.Ticket,
					ID:     q.ID,
					Scope:  scope,
				})
			}
			f.forwarder.Advance(f.now, f.view())
			resets := f.forwarder.Resets()
			require.Len(t, resets, test.resets, "the idle flow goes on")
			if test.resets > 0 {
				require.Equal(t, c.addr, resets[0].Client)
			}
			require.Equal(t, Forward, idle.request().Action)
		})
	}
}

// TestRefusalsResetAllFlows guards against an inquiry that resets only flows with
// retransmissions although the host refuses connections.
func TestRefusalsResetAllFlows(t *testing.T) {
	f := newFixture(t, 1)
	d := NewDetector(1)
	refusal := Report{
		Ticket:   7,
		Refusals: 1,
	}
	d.AddReport(f.now, 1, refusal, 3)
	merged, _ := d.AddReport(f.now.Add(time.Millisecond), 2, refusal, 3)
	q, ok := d.Inquire(f.now.Add(refusalDelay), &merged, []uint64{1, 2, 3}, nil)
	require.True(t, ok)
	outcome, scope := Undecided, ScopeNew
	for from := uint64(1); outcome == Undecided; from++ {
		require.Less(t, from, uint64(4))
		outcome, scope = d.AddAnswer(f.now.Add(refusalDelay), from, Answer{
			Ticket: q.Ticket,
			ID:     q.ID,
		})
	}
	require.Equal(t, Confirmed, outcome)
	require.Equal(t, ScopeAll, scope)
}

// TestLoneBalancerProvesItsPath guards against resets by a balancer that knows no other one in
// its zone: its inquiry asked only itself, and its own link may be silent.
func TestLoneBalancerProvesItsPath(t *testing.T) {
	for _, proven := range []bool{false, true} {
		f := newFixture(t, 1)
		f.forwarder = New(f.now, "a", owner(true), WithInquiries())
		first, second := f.flowOf(f.upstream("a0")), f.flowOf(f.upstream("a0"))
		first.request()
		second.request()
		for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
			f.advance(wait)
			if proven {
				f.answerElsewhere()
			}
			first.retransmit()
			second.retransmit()
		}
		d, found := NewDetector(1), FoundNothing
		for _, r := range f.forwarder.Reports() {
			_, now := d.AddReport(f.now, 1, r, 1)
			found = max(found, now)
		}
		require.Equal(t, proven, found == FoundDead)
	}
}
