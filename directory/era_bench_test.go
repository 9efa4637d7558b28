package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// listingOfHosts returns a complete listing of an era with n hosts, each written for the
// given time.
func listingOfHosts(era uint64, n int, written int64) *Delta {
	delta := &Delta{
		Era:      era,
		Revision: uint64(n) + 1,
		Items:    []Item{planOf(1, 1, "198.18.0.1:80", "198.18.0.2:80")},
	}
	for i := range n {
		delta.Items = append(delta.Items, upstream(fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15), uint64(i)+2, func(u *Upstream) {
			u.StartedAt = start
			u.Sequence = written
		}))
	}
	return delta
}

// BenchmarkEnterEra measures how long a directory of 600 hosts takes to enter an era: with
// the same items, and with items of which all are retained, as the copy is older.
func BenchmarkEnterEra(b *testing.B) {
	for _, test := range []struct {
		name    string
		written int64
	}{
		{
			name:    "same",
			written: 2,
		},
		{
			name:    "retained",
			written: 1,
		},
	} {
		b.Run(test.name, func(b *testing.B) {
			known, copied := listingOfHosts(1, 600, 2), listingOfHosts(2, 600, test.written)
			d := New()
			for b.Loop() {
				b.StopTimer()
				d = New()
				_, err := d.Apply(start, known)
				require.NoError(b, err)
				b.StartTimer()
				_, err = d.Apply(start, copied)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(d.Retained())), "retained")
		})
	}
}
