package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heard is a report of a balancer at a time.
type heard struct {
	at     time.Duration
	from   uint64
	report Report
}

// heardOf returns a report of a balancer's flows at a time.
func heardOf(at time.Duration, from uint64, flows, repeats int, silence time.Duration) heard {
	return heard{
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
		reports []heard
		// dead tells for each report whether it makes a death.
		dead []bool
	}{
		{
			name:    "one flow's repeats are no evidence",
			reports: []heard{heardOf(0, 1, 1, 5, 3*time.Second)},
			dead:    []bool{false},
		},
		{
			name: "three balancers with one repeat each",
			reports: []heard{
				heardOf(0, 1, 1, 1, 200*time.Millisecond),
				heardOf(100*time.Millisecond, 2, 1, 1, 200*time.Millisecond),
				heardOf(250*time.Millisecond, 3, 1, 1, 200*time.Millisecond),
			},
			dead: []bool{false, false, true},
		},
		{
			name: "a balancer's reports replace each other",
			reports: []heard{
				heardOf(0, 1, 1, 1, 500*time.Millisecond),
				heardOf(0, 1, 1, 2, 700*time.Millisecond),
				heardOf(0, 1, 1, 3, 900*time.Millisecond),
			},
			dead: []bool{false, false, false},
		},
		{
			name: "old reports don't count",
			reports: []heard{
				heardOf(0, 1, 2, 2, 500*time.Millisecond),
				heardOf(reportLife, 2, 1, 1, 500*time.Millisecond),
			},
			dead: []bool{false, false},
		},
		{
			name: "one death for reports that go on",
			reports: []heard{
				heardOf(0, 1, 2, 3, 500*time.Millisecond),
				heardOf(100*time.Millisecond, 2, 1, 1, 200*time.Millisecond),
			},
			dead: []bool{true, false},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Now()
			j := NewDetector()
			for i, h := range test.reports {
				h.report.Ticket = 7
				_, found := j.AddReport(start.Add(h.at), h.from, h.report, 3)
				dead := found == FoundDead
				require.Equal(t, test.dead[i], dead, i)
			}
			j.Prune(start.Add(time.Minute))
			require.Empty(t, j.subjects)
		})
	}
}

// TestSharedDeath replays a death that peers announce, at a balancer that sees too little of an
// upstream to judge it.
func TestSharedDeath(t *testing.T) {
	for _, test := range []struct {
		name string
		// progress tells that the upstream has answered here meanwhile.
		progress bool
		alive    bool
		// late tells that it answers after that.
		late   bool
		resets int
		zone   string
	}{
		{
			name:   "open flows are reset once nobody objected",
			resets: 1,
			zone:   "b",
		},
		{
			name:     "a balancer that was answered refutes it",
			progress: true,
			zone:     "a",
		},
		{
			name: "the upstream answers after that",
			late: true,
			zone: "a",
		},
		{
			name:  "another balancer refutes it",
			alive: true,
			zone:  "a",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1)
			c := w.client(boardAddress).established()
			w.pass(time.Second)
			if test.progress {
				c.request()
				c.answered()
				w.pass(100 * time.Millisecond)
			}
			ticket := c.host.Ticket()
			_, refuted := w.forwarder.MarkDead(w.now, ticket, 500*time.Millisecond)
			require.Equal(t, test.progress, refuted)
			if test.alive {
				w.forwarder.MarkAlive(w.now, Refutation{Ticket: ticket})
			}
			if test.late {
				c.request()
				w.pass(roundTrip)
				c.answered()
			}
			w.pass(RefutationTimeout)
			require.Equal(t, test.zone, w.client(boardAddress).open().Upstream.Zone)
			require.Len(t, w.forwarder.Resets(), test.resets)
		})
	}
}

func TestReportsTellOfSilence(t *testing.T) {
	w := newWorld(t, 1)
	c := w.client(boardAddress).established()
	c.request()
	require.Empty(t, w.forwarder.Reports())
	w.pass(200 * time.Millisecond)
	c.again()
	require.Equal(t, []Report{{
		Ticket:          c.host.Ticket(),
		SilentFlows:     1,
		Retransmissions: 1,
		Silence:         200 * time.Millisecond,
	}}, w.forwarder.Reports())
	w.client(boardAddress).open()
	w.pass(deadOpeningAge)
	w.client(boardAddress).open()
	require.Empty(t, w.forwarder.Reports(), "a first packet may be unanswered since its client left")
}

// TestPauseIsNoEvidence replays a balancer that did not run for seconds: when it
// does, it reads what waited, from clients that have left.
func TestPauseIsNoEvidence(t *testing.T) {
	w := newWorld(t, 1)
	idle := w.client(boardAddress).established()
	for range deadOpenings {
		w.client(boardAddress).open()
	}
	first, second := w.client(boardAddress).established(), w.client(boardAddress).established()
	first.request()
	second.request()
	w.pass(4 * time.Second)
	w.forwarder.HandleResume(w.now)
	for range deadOpenings {
		c := w.client(boardAddress)
		c.open()
		w.pass(time.Millisecond)
		c.open()
	}
	first.again()
	second.again()
	w.pass(deadOpeningAge)
	first.again()
	second.again()
	w.client(boardAddress).open()
	require.Empty(t, w.forwarder.Resets())
	require.Empty(t, w.forwarder.Reports())
	require.Equal(t, Forward, idle.request().Action)
}

// TestRefutedDeaths states when a death may be announced again. It could only
// after two seconds: hosts that went dark right after one of their packets had
// been lost were believed alive for a second longer.
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
		// age is that of the progress at the refutation.
		age time.Duration
		// next is when the next report comes, after the refutation.
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
			name:    "progress lately",
			age:     10 * time.Millisecond,
			next:    100 * time.Millisecond,
			silence: 110 * time.Millisecond,
		},
		{
			name:    "progress lately, and silence for long enough since",
			age:     10 * time.Millisecond,
			next:    deadAfter,
			dead:    true,
			silence: deadAfter + 10*time.Millisecond,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := NewDetector()
			now := time.Now()
			_, found := d.AddReport(now, 1, silent(420*time.Millisecond), 3)
			require.Equal(t, FoundDead, found)
			r := Refutation{Age: test.age}
			require.True(t, d.Refute(now, r))
			require.False(t, d.Refute(now, r), "the zone is told once")
			joined, found := d.AddReport(now.Add(test.next), 1, silent(420*time.Millisecond+test.next), 3)
			require.Equal(t, test.dead, found == FoundDead)
			require.Equal(t, test.silence, joined.Silence)
		})
	}
}

// TestRepeatsAfterTheRefutedProgressCount states that a refutation ends a belief,
// but not the evidence that came after the progress that it tells of.
func TestRepeatsAfterTheRefutedProgressCount(t *testing.T) {
	w := newWorld(t, 1)
	first, second := w.client(boardAddress).established(), w.client(boardAddress).established()
	first.request()
	second.request()
	w.pass(200 * time.Millisecond)
	first.again()
	ticket := first.host.Ticket()
	w.forwarder.MarkAlive(w.now, Refutation{
		Ticket: ticket,
		Age:    190 * time.Millisecond,
	})
	second.again()
	w.pass(100 * time.Millisecond)
	require.Equal(t, Report{
		Ticket:          ticket,
		SilentFlows:     2,
		Retransmissions: 2,
		Silence:         190 * time.Millisecond,
	}, w.forwarder.Reports()[1])
	w.forwarder.MarkAlive(w.now, Refutation{Ticket: ticket})
	w.pass(100 * time.Millisecond)
	first.again()
	require.Equal(t, 1, w.forwarder.Reports()[0].SilentFlows)
}
