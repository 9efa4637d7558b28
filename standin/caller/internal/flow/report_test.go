package flow

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReport(t *testing.T) {
	rentalDesk := Counts{
		Opened:   2,
		Answered: 1,
		Refused:  1,
	}
	for _, tc := range []struct {
		name     string
		lookbook Counts
		failed   string
	}{
		{
			name: "served",
		},
		{
			name: "unknown outcomes do not fail the run",
			lookbook: Counts{
				MayHaveRun: 1,
				Answered:   1,
			},
		},
		{
			name: "broken and wrong",
			lookbook: Counts{
				Broken: 1,
				Wrong:  2,
			},
			failed: "1 broken, 2 wrong",
		},
		{
			name: "nothing answered",
			lookbook: Counts{
				Opened:  1,
				Refused: 1,
			},
			failed: "lookbook answered nothing",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewReport()
			r.Add("rental-desk", "a", rentalDesk)
			r.Add("rental-desk", "a", rentalDesk)
			r.Add("lookbook", NoZone, tc.lookbook)
			require.Equal(t, tc.failed, r.FailureReason())
			require.Len(t, r.Rows(), 2)
			require.Equal(t, 4, r.Rows()[1].Opened)
			var b bytes.Buffer
			require.NoError(t, r.WriteTable(&b))
			require.Contains(t, b.String(), "rental-desk  a     4       2")
		})
	}
}
