package flow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUploadIsProgress guards against the reset of a living host's flow during a long request:
// the host's acknowledgments don't pass the balancer, so that the repeats of a few lost packets
// seemed to be all unanswered.
func TestUploadIsProgress(t *testing.T) {
	for _, test := range []struct {
		name string
		// size is the content of a packet, and count the number of packets.
		size  int
		count int
		want  Action
	}{
		{
			name:  "more content than may be in flight",
			size:  1200,
			count: 60,
			want:  Forward,
		},
		{
			name:  "as much content as may be in flight",
			size:  maxInFlight / 60,
			count: 60,
			want:  Reject,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			c := f.client(boardAddress).establish()
			p := c.packet()
			p.Length = test.size
			var d Decision
			for i := range test.count {
				f.advance(20 * time.Millisecond)
				d = f.send(p)
				if i%15 == 14 {
					f.advance(200 * time.Millisecond)
					f.answerElsewhere()
					d = f.send(p)
				}
				p.Sequence += uint32(test.size)
			}
			require.Equal(t, test.want, d.Action)
		})
	}
}
