package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// timedReport is a balancer's report and when it arrives.
type timedReport struct {
	at     time.Duration
	from   uint64
	report Report
}

// silenceReport returns a balancer's report on silent flows that arrives at a time.
func silenceReport(at time.Duration, from uint64, flows, repeats int, silence time.Duration) timedReport {
	return timedReport{
		at:   at,
		from: from,
		report: Report{
			SilentFlows:     flows,
			Retransmissions: repeats,
			Silence:         silence,
		},
	}
}

func TestDetector(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports []timedReport
		// dead is whether each report leads to a death.
		dead []bool
	}{
		{
			name:    "retransmissions of one flow are no evidence",
			reports: []timedReport{silenceReport(0, 1, 1, 5, 3*time.Second)},
			dead:    []bool{false},
		},
		{
			name: "three balancers with one retransmission each",
			reports: []timedReport{
				silenceReport(0, 1, 1, 1, 200*time.Millisecond),
				silenceReport(100*time.Millisecond, 2, 1, 1, 200*time.Millisecond),
				silenceReport(250*time.Millisecond, 3, 1, 1, 200*time.Millisecond),
			},
			dead: []bool{false, false, true},
		},
		{
			name: "a balancer's reports replace each other",
			reports: []timedReport{
				silenceReport(0, 1, 1, 1, 500*time.Millisecond),
				silenceReport(0, 1, 1, 2, 700*time.Millisecond),
				silenceReport(0, 1, 1, 3, 900*time.Millisecond),
			},
			dead: []bool{false, false, false},
		},
		{
			name: "old reports don't count",
			reports: []timedReport{
				silenceReport(0, 1, 2, 2, 500*time.Millisecond),
				silenceReport(reportLifetime, 2, 1, 1, 500*time.Millisecond),
			},
			dead: []bool{false, false},
		},
		{
			name: "continued reports lead to one death",
			reports: []timedReport{
				silenceReport(0, 1, 2, 3, 500*time.Millisecond),
				silenceReport(100*time.Millisecond, 2, 1, 1, 200*time.Millisecond),
			},
			dead: []bool{true, false},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			d := NewDetector(1)
			for i, h := range test.reports {
				h.report.Ticket = 7
				merged, found := d.AddReport(start.Add(h.at), h.from, h.report, 3)
				dead := found == FoundDead
				require.Equal(t, test.dead[i], dead, i)
				if dead {
					_, ok := d.Inquire(start.Add(h.at), &merged, []uint64{1, 2, 3}, nil)
					require.True(t, ok)
				}
			}
			d.Prune(start.Add(time.Minute))
			require.Empty(t, d.upstreams)
		})
	}
}

// TestSharedDeath tests a death that is announced by peers, at a balancer that sees too
// few flows of the upstream to detect the failure itself.
func TestSharedDeath(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress is whether the upstream has answered here in the meantime.
		progress bool
		refuted  bool
		// answersLater is whether the upstream answers here after the inquiry.
		answersLater bool
		// confirmedAfter is the time from the inquiry to its confirmation.
		confirmedAfter time.Duration
		resets         int
		zone           string
	}{
		{
			name:   "open flows are reset if nobody refutes it",
			resets: 1,
			zone:   "b",
		},
		{
			name:     "a balancer that has seen progress refutes it",
			progress: true,
			zone:     "a",
		},
		{
			name:         "the upstream answers after the inquiry",
			answersLater: true,
			zone:         "a",
		},
		{
			name:    "another balancer refutes it",
			refuted: true,
			zone:    "a",
		},
		{
			name:           "the confirmation comes late",
			confirmedAfter: maxInquiryAge,
			zone:           "b",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			f.advance(time.Second)
			if test.progress {
				c.request()
				c.acknowledgeAnswer()
				f.advance(100 * time.Millisecond)
			}
			ticket := c.host.Ticket()
			a := f.forwarder.Ask(f.now, Inquiry{
				Ticket:  ticket,
				ID:      3,
				Silence: 500 * time.Millisecond,
			})
			require.Equal(t, test.progress, a.Alive)
			if test.progress {
				require.Equal(t, 100*time.Millisecond, a.Age)
			}
			if test.refuted {
				f.forwarder.MarkAlive(f.now, Refutation{Ticket: ticket})
			}
			if test.answersLater {
				c.request()
				f.advance(roundTrip)
				c.acknowledgeAnswer()
			}
			f.advance(test.confirmedAfter)
			for _, id := range []uint32{2, 3} {
				f.forwarder.Confirm(f.now, Confirmation{
					Ticket: ticket,
					ID:     id,
					Scope:  ScopeAll,
				})
			}
			require.Equal(t, test.zone, f.client(boardAddress).open().Upstream.Zone)
			require.Len(t, f.forwarder.Resets(), test.resets)
		})
	}
}

// TestSilenceReports checks that silence is reported at the first retransmission, also if no
// other upstream has answered this balancer since: all hosts of a zone may have failed.
func TestSilenceReports(t *testing.T) {
	f := newFixture(t, 1)
	c := f.client(boardAddress).establish()
	c.request()
	require.Empty(t, f.forwarder.Reports())
	f.advance(200 * time.Millisecond)
	c.retransmit()
	require.Equal(t, []Report{{
		Ticket:          c.host.Ticket(),
		SilentFlows:     1,
		Retransmissions: 1,
		Silence:         200 * time.Millisecond,
	}}, f.forwarder.Reports())
	f.client(boardAddress).open()
	f.advance(deadOpeningAge)
	f.client(boardAddress).open()
	require.Empty(t, f.forwarder.Reports(), "a first packet may be unanswered because its client left")
}

// TestPauseIsNoEvidence checks that an upstream is not declared dead after a pause: a
// balancer that did not run for seconds then reads queued packets of clients that have
// left.
func TestPauseIsNoEvidence(t *testing.T) {
	f := newFixture(t, 1)
	idle := f.client(boardAddress).establish()
	for range deadOpenings {
		f.client(boardAddress).open()
	}
	first, second := f.client(boardAddress).establish(), f.client(boardAddress).establish()
	first.request()
	second.request()
	f.advance(4 * time.Second)
	f.forwarder.HandleResume(f.now)
	for range deadOpenings {
		c := f.client(boardAddress)
		c.open()
		f.advance(time.Millisecond)
		c.open()
	}
	first.retransmit()
	second.retransmit()
	f.advance(deadOpeningAge)
	first.retransmit()
	second.retransmit()
	f.answerElsewhere()
	f.client(boardAddress).open()
	require.Empty(t, f.forwarder.Resets())
	require.Empty(t, f.forwarder.Reports())
	require.Equal(t, Forward, idle.request().Action)
}

// TestRefutedDeaths checks when a refuted death may be announced again. Formerly that
// took two seconds, so that hosts which failed right after the loss of one of their
// packets counted as alive for a second longer.
func TestRefutedDeaths(t *testing.T) {
	silent := func(d time.Duration) Report {
		return Report{
			SilentFlows:     3,
			Retransmissions: 4,
			Silence:         d,
		}
	}
	for _, test := range []struct {
		name string
		// age is the age of the progress at the time of the refutation.
		age time.Duration
		// next is the time from the refutation to the next report.
		next    time.Duration
		dead    bool
		silence time.Duration
	}{
		{
			name:    "progress right after the first unanswered packet",
			age:     390 * time.Millisecond,
			next:    100 * time.Millisecond,
			dead:    true,
			silence: 490 * time.Millisecond,
		},
		{
			name:    "recent progress",
			age:     10 * time.Millisecond,
			next:    100 * time.Millisecond,
			silence: 110 * time.Millisecond,
		},
		{
			name:    "recent progress, and long enough silence since",
			age:     10 * time.Millisecond,
			next:    deadAfter,
			dead:    true,
			silence: deadAfter + 10*time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := NewDetector(1)
			now := time.Now()
			merged, found := d.AddReport(now, 1, silent(420*time.Millisecond), 3)
			require.Equal(t, FoundDead, found)
			q, ok := d.Inquire(now, &merged, []uint64{1, 2, 3}, nil)
			require.True(t, ok)
			alive := Answer{
				ID:    q.ID,
				Alive: true,
				Age:   test.age,
			}
			outcome, _ := d.AddAnswer(now, 2, alive)
			require.Equal(t, Refuted, outcome)
			outcome, _ = d.AddAnswer(now, 3, alive)
			require.Equal(t, Undecided, outcome, "only the first refutation is announced")
			d.Refute(now, Refutation{Age: test.age})
			joined, found := d.AddReport(now.Add(test.next), 1, silent(420*time.Millisecond+test.next), 3)
			require.Equal(t, test.dead, found == FoundDead)
			require.Equal(t, test.silence, joined.Silence)
		})
	}
}

// TestRetransmissionsAfterRefutedProgressCount checks that a refutation resets the state
// of an upstream, but keeps the evidence from after the progress that it reports.
func TestRetransmissionsAfterRefutedProgressCount(t *testing.T) {
	f := newFixture(t, 1)
	first, second := f.client(boardAddress).establish(), f.client(boardAddress).establish()
	first.request()
	second.request()
	f.advance(200 * time.Millisecond)
	first.retransmit()
	ticket := first.host.Ticket()
	f.forwarder.MarkAlive(f.now, Refutation{
		Ticket: ticket,
		Age:    190 * time.Millisecond,
	})
	second.retransmit()
	f.advance(100 * time.Millisecond)
	require.Equal(t, Report{
		Ticket:          ticket,
		SilentFlows:     2,
		Retransmissions: 2,
		Silence:         190 * time.Millisecond,
	}, f.forwarder.Reports()[1])
	f.forwarder.MarkAlive(f.now, Refutation{Ticket: ticket})
	f.advance(100 * time.Millisecond)
	first.retransmit()
	require.Equal(t, 1, f.forwarder.Reports()[0].SilentFlows)
}
