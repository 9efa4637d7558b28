package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/member"
)

// TestCandidatesReplaceSilentReaders guards against a configuration that comes late because the
// readers of the store are lost at once: the next balancers of a zone waited for the store's last
// answer to be 3 s old, or for the readers to be declared dead.
func TestCandidatesReplaceSilentReaders(t *testing.T) {
	for _, test := range []struct {
		name string
		// before is the number of balancers of the zone that read the store before this one.
		before int
		reads  bool
	}{
		{
			name:   "the next balancer",
			before: 1,
			reads:  true,
		},
		{
			name:   "the last candidate, as all others are lost",
			before: readerPolicy.MaxReaders - 1,
			reads:  true,
		},
		{
			name:   "a balancer that is no candidate",
			before: readerPolicy.MaxReaders,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDaemon(t)
			s, now := d.syncer, time.Now()
			s.applyStoreDelta(now, listingOf(1, 5, planItem(1, 5)))
			var lost []*member.Heartbeat
			for i := 0; len(lost) < test.before; i++ {
				name := fmt.Sprintf("lb-x%d", i)
				precedes := member.NewTable([]member.Member{
					{
						Name: d.options.Name,
						Zone: "a",
					},
					{
						Name: name,
						Zone: "a",
					},
				})
				if readerPolicy.Candidates(precedes, "a")[0].Name != name {
					continue
				}
				address := newEndpoint(t).address()
				lost = append(lost, &member.Heartbeat{Sender: member.Record{
					Name:        name,
					Zone:        "a",
					Incarnation: uint64(1000 + i),
					Sequence:    1,
					State:       member.Alive,
					Relay:       address,
					Control:     address,
					Admin:       address,
				}})
			}
			for _, h := range lost {
				require.True(t, s.tracker.HandleHeartbeat(now, h.Sender.Relay, h).Known)
			}
			s.tracker.PlatformAnswered(now)
			s.updateRoles(now)
			require.False(t, s.isReader)
			if test.reads {
				require.Len(t, s.contacts(), test.before, "these send heartbeats to one another")
			} else {
				require.Empty(t, s.contacts())
			}
			s.updateRoles(now.Add(candidateSilence - 1))
			require.False(t, s.isReader)
			s.updateRoles(now.Add(candidateSilence))
			require.Equal(t, test.reads, s.isReader)
			for _, h := range lost {
				s.tracker.HandleHeartbeat(now.Add(candidateSilence), h.Sender.Relay, h)
			}
			s.updateRoles(now.Add(candidateSilence))
			require.False(t, s.isReader, "the readers run again")
		})
	}
}
