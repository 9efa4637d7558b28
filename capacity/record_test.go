package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
)

func TestEntryIsBounded(t *testing.T) {
	for _, test := range []struct {
		name    string
		cell    Cell
		answers int
	}{
		{
			name: "negative count",
			cell: Cell{
				Answers: -5,
				Ratio:   1,
			},
		},
		{
			name: "no ratio",
			cell: Cell{Answers: 5},
		},
		{
			name: "not a number",
			cell: Cell{
				Answers: 5,
				Ratio:   math.NaN(),
			},
		},
		{
			name: "infinite",
			cell: Cell{
				Answers: 5,
				Ratio:   math.Inf(1),
			},
			answers: 5,
		},
		{
			name: "largest count",
			cell: Cell{
				Answers: math.MaxInt,
				Ratio:   1,
			},
			answers: maxAnswers,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(time.Now(), 1, &Observation{
				Light: test.cell,
				Quick: math.MaxInt,
			})
			require.Equal(t, test.answers, e.answers())
			require.Equal(t, test.answers, e.quick)
			require.LessOrEqual(t, math.Abs(e.cells[light].logs), float64(test.answers)*maxLogRatio)
		})
	}
}

// A balancer that reports often, or on hosts that do not exist, must not fill the memory.
func TestMemoryIsBounded(t *testing.T) {
	now := time.Now()
	e := NewEstimator()
	o := Observation{
		Light: Cell{
			Answers: 1,
			Ratio:   1,
		},
	}
	for range 10 * maxEntries {
		now = now.Add(time.Millisecond)
		e.Add(now, 1, 1, o)
	}
	require.LessOrEqual(t, len(e.records[1].entries), maxEntries)
	for i := range 1000 {
		e.Add(now, 1, directory.Ticket(i+2), o)
	}
	now = now.Add(2 * forgetAfter)
	e.Add(now, 1, 1, o)
	require.Len(t, e.records, 1)

	l := NewLearner()
	for i := range 1000 {
		for range minUsualAnswers + 1 {
			l.Observe(now, &Answer{
				Ticket: directory.Ticket(i),
				Time:   time.Millisecond,
				Slots:  1,
			})
		}
	}
	now = now.Add(2 * forgetAfter)
	l.Observe(now, &Answer{
		Ticket: 1,
		Time:   time.Millisecond,
		Slots:  1,
	})
	require.LessOrEqual(t, len(l.upstreams), 1)
	require.Len(t, l.routes, 1)
}
