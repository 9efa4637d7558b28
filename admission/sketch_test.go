package admission

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// caller returns the address of a caller.
func caller(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
}

// TestStateIsBounded guards against memory that grows with the number of callers: all state
// by caller is in these two arrays.
func TestStateIsBounded(t *testing.T) {
	require.LessOrEqual(t, unsafe.Sizeof(sketch{}), uintptr(33<<10))
	require.LessOrEqual(t, unsafe.Sizeof(returns{}), uintptr(48<<10))
}

// TestSketchNeverCountsTooLow guards against a caller in a rush that is missed.
func TestSketchNeverCountsTooLow(t *testing.T) {
	for _, callers := range []int{1, 10, 1000, 100_000} {
		s := &sketch{seed: 7}
		s.reset(time.Unix(1, 0))
		r := rand.New(rand.NewPCG(1, 1))
		counts := map[uint64]uint32{}
		for range 20_000 {
			key := s.key(caller(r.IntN(callers)))
			s.add(key)
			counts[key] += sketchUnit
		}
		for key, n := range counts {
			require.GreaterOrEqual(t, s.count(key), n)
		}
	}
}

// TestExcessiveCallers guards against callers that are refused for what others took, and
// against one in a rush that goes unseen.
func TestExcessiveCallers(t *testing.T) {
	cases := []struct {
		name    string
		callers int
		// rush is the part of all admissions that caller 0 takes besides its own.
		rush float64
		want bool
	}{
		{
			name:    "a single caller",
			callers: 1,
			rush:    1,
			want:    false,
		},
		{
			name:    "one of two callers",
			callers: 2,
			rush:    0.8,
			want:    false,
		},
		{
			name:    "one of four callers",
			callers: 4,
			rush:    0.8,
			want:    true,
		},
		{
			name:    "half of 200 callers' admissions",
			callers: 200,
			rush:    0.5,
			want:    true,
		},
		{
			name:    "200 equal callers",
			callers: 200,
			rush:    0,
			want:    false,
		},
		{
			name:    "100,000 equal callers",
			callers: 100_000,
			rush:    0,
			want:    false,
		},
		{
			name:    "a twentieth of 100,000 callers' admissions",
			callers: 100_000,
			rush:    0.05,
			want:    true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := &sketch{seed: seed}
				s.reset(time.Unix(1, 0))
				r := rand.New(rand.NewPCG(seed, 1))
				for range 6000 {
					n := r.IntN(c.callers)
					if r.Float64() < c.rush {
						n = 0
					}
					s.add(s.key(caller(n)))
				}
				require.Equal(t, c.want, s.excessive(s.key(caller(0))))
				excessive := 0
				for i := 1; i < c.callers; i++ {
					if s.excessive(s.key(caller(i))) {
						excessive++
					}
				}
				require.LessOrEqual(t, excessive, c.callers/1000)
			}
		})
	}
}

// TestAdmissionsAreForgotten guards against a caller that is refused long after its rush, also
// if no call came meanwhile.
func TestAdmissionsAreForgotten(t *testing.T) {
	start := time.Unix(1, 0)
	for _, steps := range [][]time.Duration{
		{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second},
		{5500 * time.Millisecond},
		{time.Hour},
		{-time.Hour, 5 * time.Second},
	} {
		s := &sketch{seed: 7}
		s.reset(start)
		key := s.key(caller(1))
		s.add(key)
		for _, step := range steps {
			s.advance(start.Add(step))
		}
		require.Zero(t, s.count(key))
		require.Zero(t, s.total)
		require.Zero(t, s.used)
	}
}

// TestKeys guards against addresses of one IPv6 prefix that count as many callers, against a
// mapped address that is another caller than the same IPv4 address, and against collisions
// that hold in all processes.
func TestKeys(t *testing.T) {
	s := &sketch{seed: 7}
	key := func(a string) uint64 { return s.key(netip.MustParseAddr(a)) }
	require.Equal(t, key("2001:db8::1"), key("2001:db8::ffff:2"))
	require.NotEqual(t, key("2001:db8::1"), key("2001:db8:0:1::1"))
	require.Equal(t, key("10.0.0.1"), key("::ffff:10.0.0.1"))
	require.NotEqual(t, key("10.0.0.1"), key("10.0.0.2"))
	require.NotEqual(t, key("10.0.0.1"), (&sketch{seed: 8}).key(netip.MustParseAddr("10.0.0.1")))
	require.NotPanics(t, func() { s.key(netip.Addr{}) })
}

// BenchmarkHalve measures the halving of the counts, once a second.
func BenchmarkHalve(b *testing.B) {
	s := &sketch{seed: 7}
	now := time.Unix(1, 0)
	s.reset(now)
	for b.Loop() {
		s.add(1)
		now = now.Add(sketchHalfLife)
		s.advance(now)
	}
}
