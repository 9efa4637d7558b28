package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRehashedOpeningsResetNoLiveFlow guards against resets of a living host's flows when the
// platform moves flows to other balancers: the first packets of a few flows had come here, and
// what followed went elsewhere, so the host seemed to answer none of them.
func TestRehashedOpeningsResetNoLiveFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		// rehashes are the times from one rehash to the next.
		rehashes []time.Duration
	}{
		{
			name:     "one rehash",
			rehashes: []time.Duration{0},
		},
		{
			name:     "a balancer leaves the rotation and returns",
			rehashes: []time.Duration{0, openingRetryAfter},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			idle := f.client(boardAddress).establish()
			for _, d := range test.rehashes {
				f.advance(d)
				for range 3 * deadOpenings {
					f.client(boardAddress).open()
					f.advance(time.Millisecond)
				}
			}
			f.advance(deadOpeningAge)
			f.answerElsewhere()
			f.client(boardAddress).open()
			require.Empty(t, f.forwarder.Resets())
			require.Equal(t, Forward, idle.request().Action)
		})
	}
}

// TestOwnEvidenceResetsNoLiveFlow guards against resets of a living host's flows by one
// balancer that can't reach the host, or whose own path has just healed. It must leave the
// verdict to the zone.
func TestOwnEvidenceResetsNoLiveFlow(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(f *fixture, first, second *client)
	}{
		{
			name: "the path to one host is cut",
			run: func(f *fixture, first, second *client) {
				for range 2 {
					f.advance(250 * time.Millisecond)
					first.retransmit()
					second.retransmit()
					f.answerElsewhere()
				}
			},
		},
		{
			name: "all paths were cut, and another host answers first",
			run: func(f *fixture, first, second *client) {
				for range 2 {
					f.advance(250 * time.Millisecond)
					first.retransmit()
					second.retransmit()
				}
				f.advance(5 * time.Second)
				f.answerElsewhere()
			},
		},
		{
			name: "clients that opened flows have left",
			run: func(f *fixture, _, _ *client) {
				for range deadOpenings {
					f.client(boardAddress).open()
					f.advance(openingRetryAfter)
				}
				f.answerElsewhere()
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.forwarder = New(f.now, "a", owner(true), WithInquiries())
			idle := f.client(boardAddress).establish()
			first, second := f.client(boardAddress).establish(), f.client(boardAddress).establish()
			first.request()
			second.request()
			test.run(f, first, second)
			f.client(boardAddress).open()
			require.Empty(t, f.forwarder.Resets())
			require.Equal(t, Forward, idle.request().Action)

			f.forwarder.Ask(f.now, Inquiry{Ticket: idle.host.Ticket()})
			f.forwarder.Confirm(f.now, Confirmation{
				Ticket: idle.host.Ticket(),
				Scope:  ScopeAll,
			})
			f.forwarder.Advance(f.now, f.view())
			require.GreaterOrEqual(t, len(f.forwarder.Resets()), 3, "the zone has found the host dead")
		})
	}
}
