package flow

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
)

// testDocument returns a document with upstreams a1 and a2 in zone a, which is
// in, and b1 in zone b, which is out.
func testDocument() *config.Document {
	return &config.Document{
		Zones: []config.Zone{
			{
				Name:  "a",
				State: config.ZoneIn,
			},
			{
				Name:  "b",
				State: config.ZoneOut,
			},
		},
		Services: []config.Service{
			{
				Upstreams: []config.Upstream{
					{
						Name: "a1",
						Zone: "a",
					},
					{
						Name: "a2",
						Zone: "a",
					},
					{
						Name: "b1",
						Zone: "b",
					},
				},
			},
		},
	}
}

func testWatch() *watch {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &watch{
		refresh:   5 * time.Second,
		random:    rand.New(rand.NewPCG(1, 1)),
		directory: NewDirectory(testDocument(), ""),
		log:       log,
		token:     message.Token{1},
	}
}

func notification(sequence uint32, payload string) *coap.Response {
	return &coap.Response{
		Type:       message.NonConfirmable,
		Code:       codes.Content,
		Token:      packet.TokenOf([]byte{1}),
		HasObserve: true,
		Sequence:   sequence,
		Payload:    []byte(payload),
	}
}

func TestWatchNotifications(t *testing.T) {
	for _, tc := range []struct {
		name     string
		received []*coap.Response
		want     Counts
		upstream string
	}{
		{
			name:     "same upstream",
			received: []*coap.Response{notification(1, "a1 1"), notification(2, "a1 2")},
			want: Counts{
				Answered: 1,
			},
			upstream: "a1",
		},
		{
			name:     "moved",
			received: []*coap.Response{notification(1, "a1 1"), notification(2, "a2 2")},
			want: Counts{
				Answered: 1,
				Broken:   1,
			},
			upstream: "a2",
		},
		{
			name:     "moved out of a zone that is out",
			received: []*coap.Response{notification(1, "b1 1"), notification(2, "a2 2")},
			want: Counts{
				Answered: 1,
			},
			upstream: "a2",
		},
		{
			name:     "moved from a removed upstream",
			received: []*coap.Response{notification(1, "a9 1"), notification(2, "a2 2")},
			want: Counts{
				Answered: 1,
			},
			upstream: "a2",
		},
		{
			name:     "late notification",
			received: []*coap.Response{notification(5, "a1 1"), notification(4, "a2 2")},
			want: Counts{
				Answered: 1,
			},
			upstream: "a1",
		},
		{
			name:     "corrupt",
			received: []*coap.Response{notification(1, "a1")},
			want: Counts{
				Wrong: 1,
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := testWatch()
			now := time.Unix(0, 0)
			for _, a := range tc.received {
				now = now.Add(time.Second)
				w.receive(context.Background(), now, a)
			}
			require.Equal(t, tc.want, w.counts)
			require.Equal(t, tc.upstream, w.upstream)
		})
	}
}

func TestWatchSilence(t *testing.T) {
	w := testWatch()
	start := time.Unix(0, 0)
	w.receive(context.Background(), start, notification(1, "a1 1"))
	require.False(t, w.needsNewPort(start.Add(newPortAfter)))
	require.True(t, w.needsNewPort(start.Add(newPortAfter+1)))
	w.checkSilence(start.Add(brokenAfter))
	require.Zero(t, w.counts.Broken)
	for range 2 {
		w.checkSilence(start.Add(brokenAfter + 1))
		require.Equal(t, 1, w.counts.Broken)
	}
}
