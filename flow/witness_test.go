package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOneLossyLinkConfirmsNoDeath guards against resets of a living host's idle flows: one
// balancer's link drops packets of two flows, and the others of the zone, which have sent the
// host nothing since, count as if they had seen its silence.
func TestOneLossyLinkConfirmsNoDeath(t *testing.T) {
	f := newFixture(t, 1)
	f.forwarder = New(f.now, "a", owner(true), WithInquiries())
	u := f.upstream("a0")
	first, second := f.flowOf(u), f.flowOf(u)
	first.acknowledge()
	second.acknowledge()
	f.advance(2 * time.Second)
	first.request()
	second.request()
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		f.advance(wait)
		first.retransmit()
		second.retransmit()
	}
	d := NewDetector(1)
	var merged Report
	for _, r := range f.forwarder.Reports() {
		if m, found := d.AddReport(f.now, 1, r, 3); found == FoundDead {
			merged = m
		}
	}
	q, ok := d.Inquire(f.now, &merged, []uint64{1, 2, 3}, nil)
	require.True(t, ok)
	outcome, scope := Undecided, ScopeNew
	for i, g := range []*Forwarder{f.forwarder, New(f.now, "a", owner(true)), New(f.now, "a", owner(true))} {
		outcome, scope = d.AddAnswer(f.now, uint64(i+1), g.Ask(f.now, q))
	}
	require.NotEqual(t, Confirmed, outcome)
	require.Equal(t, ScopeNew, scope)
}
