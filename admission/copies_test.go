package admission_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/admission"
)

// TestCopyKeepsItsPlace guards against a retransmitted packet that counts twice.
func TestCopyKeepsItsPlace(t *testing.T) {
	q, now := waitingQueue(t, admission.Limits{
		MaxRequests: 3,
		MaxBytes:    1000,
	}, 3)
	timer := q.NextTimer()
	for range 10 {
		r := request(1, 1)
		r.Priority = 2
		r.MaxWait = 0
		require.Equal(t, admission.Wait, q.Offer(now, r))
	}
	require.Equal(t, timer, q.NextTimer())
	larger := request(1, 1)
	larger.Size = 800
	require.Equal(t, admission.Wait, q.Offer(now, larger))
	larger.Size = 801
	require.Equal(t, admission.Reject, q.Offer(now, larger), "the copy exceeds MaxBytes")
	require.False(t, q.Remove(1))
	require.ElementsMatch(t, []int{0, 2}, ids(q.RejectAll(), admission.Reject))
}

// TestCopyAfterDecisionIsNotDecidedTwice guards against a copy that comes between the decision
// on a request and the call of Release.
func TestCopyAfterDecisionIsNotDecidedTwice(t *testing.T) {
	q, now := waitingQueue(t, admission.Limits{
		MaxRequests: 1,
		MaxBytes:    1000,
	}, 1)
	urgent := request(100, 100)
	urgent.Priority = 0
	require.Equal(t, admission.Wait, q.Offer(now, urgent))
	require.Equal(t, now, q.NextTimer())
	require.Equal(t, admission.Wait, q.Offer(now, request(0, 0)))
	require.Equal(t, []int{0}, ids(q.Release(now), admission.Reject))
	require.Len(t, q.RejectAll(), 1)
}

// TestReturnsEarnNothing guards against refusals that raise the admitted load because their
// clients come back within 10 ms.
func TestReturnsEarnNothing(t *testing.T) {
	play := func(returns int) int {
		q, now := shortQueue(t, usualLimits)
		admitted, id := 0, 0
		for i := range 8000 {
			now = now.Add(time.Millisecond)
			if i%250 == 0 {
				q.SetShares(now, admission.SharesFor(1000, 100, []int{0, 1, 2}))
			}
			for range 1 + returns {
				id++
				r := request(id, i)
				r.MaxWait = 0
				if q.Offer(now, r) == admission.Admit {
					admitted++
					break
				}
			}
		}
		return admitted
	}
	alone := play(0)
	require.Positive(t, alone)
	// A client that returns twice looks the same, as all its attempts are known.
	require.InDelta(t, 800, play(2), 120)
	require.LessOrEqual(t, alone, 800)
}

// TestReturnMayWaitOnce guards against refused clients that all come back together: under
// sustained pressure the first return may wait where a new request may not.
func TestReturnMayWaitOnce(t *testing.T) {
	q, now := shortQueue(t, usualLimits)
	waited := [3]int{}
	for i := range 8000 {
		now = now.Add(time.Millisecond)
		if i%250 == 0 {
			q.SetShares(now, admission.SharesFor(1000, 100, []int{0, 1, 2}))
		}
		for attempt := range 3 {
			r := request(3*i+attempt, i)
			r.MaxWait = 400 * time.Millisecond
			v := q.Offer(now, r)
			if v == admission.Wait {
				waited[attempt]++
			}
			if v != admission.Reject {
				break
			}
		}
		q.Release(now)
	}
	require.Greater(t, waited[1], waited[0])
	require.Greater(t, waited[1], waited[2])
}

// TestPrefixIsOneCaller guards against one IPv6 host that takes a share for each address.
func TestPrefixIsOneCaller(t *testing.T) {
	m := newModel(1, 1, stream{
		priority: 1,
		rate:     constant(0.75 * modelCapacity),
		caller: func(r *rand.Rand) netip.Addr {
			b := netip.MustParseAddr("2001:db8::").As16()
			for i := 8; i < 16; i++ {
				b[i] = byte(r.Uint32())
			}
			return netip.AddrFrom16(b)
		},
	}, stream{
		priority: 1,
		rate:     constant(0.75 * modelCapacity),
		caller:   callers(200),
	})
	m.from = 4 * time.Second
	m.run(14 * time.Second)
	require.GreaterOrEqual(t, m.outcomes[1].part(m.outcomes[1].inTime), 0.95)
}
