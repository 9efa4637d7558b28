package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/admission"
)

var epoch = time.Unix(1_800_000_000, 0)

var usualLimits = admission.Limits{
	MaxRequests: 256,
	MaxBytes:    512 << 10,
}

// request returns a request that may wait for long.
func request(id, caller int) admission.Request[int] {
	return admission.Request[int]{
		ID:       id,
		Priority: 1,
		Caller:   address(caller),
		Size:     100,
		MaxWait:  time.Minute,
	}
}

// shortQueue returns a queue at its least shares for priorities 0 to 2, and the time.
func shortQueue(t testing.TB, l admission.Limits) (*admission.Queue[int], time.Time) {
	t.Helper()
	q := admission.NewQueue[int](l)
	now := epoch
	for i := range 3 {
		require.Equal(t, admission.Admit, q.Offer(now, admission.Request[int]{
			ID:       -1 - i,
			Priority: i,
			Caller:   address(i),
		}))
	}
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		q.SetShares(now, admission.SharesFor(1000, 100, []int{0, 1, 2}))
	}
	return q, now
}

// waitingQueue returns a short queue in which requests 0 to n-1 wait, each of its own caller.
func waitingQueue(t testing.TB, l admission.Limits, n int) (*admission.Queue[int], time.Time) {
	t.Helper()
	q, now := shortQueue(t, l)
	for id, waiting := 0, 0; waiting < n; {
		r := request(id, id)
		if q.Offer(now, r) == admission.Wait {
			id++
			waiting++
		}
		// The requests that other waiting ones were admitted for come again.
		for _, d := range q.Release(now) {
			require.Equal(t, admission.Admit, d.Verdict)
			require.Equal(t, admission.Wait, q.Offer(now, request(d.ID, d.ID)))
		}
	}
	return q, now
}

// ids returns the IDs of released requests with a verdict.
func ids(released []admission.Released[int], v admission.Verdict) []int {
	var result []int
	for _, r := range released {
		if r.Verdict == v {
			result = append(result, r.ID)
		}
	}
	return result
}

// TestAllGoWhileThereIsRoom guards against any change of the ordinary state.
func TestAllGoWhileThereIsRoom(t *testing.T) {
	q := admission.NewQueue[int](usualLimits)
	now := epoch
	for i := range 10_000 {
		now = now.Add(100 * time.Microsecond)
		if i%2500 == 0 {
			q.SetShares(now, admission.SharesFor(49, 100, []int{0, 1}))
		}
		r := request(i, i%3)
		r.MaxWait = 0
		require.Equal(t, admission.Admit, q.Offer(now, r))
	}
	require.Empty(t, q.Release(now))
	require.True(t, q.NextTimer().IsZero())
}

// TestOfferAllocatesNothing guards against the cost of a first packet while there is room, and
// of memory that grows with 100,000 callers.
func TestOfferAllocatesNothing(t *testing.T) {
	cases := []struct {
		name    string
		working float64
	}{
		{
			name:    "ordinary state",
			working: 10,
		},
		{
			name:    "overload",
			working: 1000,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := admission.NewQueue[int](usualLimits)
			r := rand.New(rand.NewPCG(1, 1))
			now := epoch
			id := 0
			offer := func() {
				id++
				now = now.Add(time.Millisecond)
				x := request(id, r.IntN(100_000))
				x.MaxWait = 200 * time.Millisecond
				q.Offer(now, x)
				q.Release(now)
			}
			for i := range 20_000 {
				if i%250 == 0 {
					q.SetShares(now, admission.SharesFor(c.working, 100, []int{1}))
				}
				offer()
			}
			require.Zero(t, testing.AllocsPerRun(1000, offer))
		})
	}
}

// TestLimitsBoundWaitingRequests guards against memory that grows with a flood.
func TestLimitsBoundWaitingRequests(t *testing.T) {
	cases := []struct {
		name   string
		limits admission.Limits
		want   int
	}{
		{
			name: "number",
			limits: admission.Limits{
				MaxRequests: 5,
				MaxBytes:    1 << 20,
			},
			want: 5,
		},
		{
			name: "bytes",
			limits: admission.Limits{
				MaxRequests: 256,
				MaxBytes:    750,
			},
			want: 7,
		},
		{
			name:   "none",
			limits: admission.Limits{},
			want:   0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, now := shortQueue(t, c.limits)
			for i := range 1000 {
				q.Offer(now, request(i, i))
			}
			q.Release(now)
			require.Len(t, q.RejectAll(), c.want)
		})
	}
}

// TestLargeRequestNeverWaits guards against one request that drives out all others in vain.
func TestLargeRequestNeverWaits(t *testing.T) {
	q, now := waitingQueue(t, admission.Limits{
		MaxRequests: 3,
		MaxBytes:    1000,
	}, 3)
	large := request(100, 100)
	large.Priority = 0
	large.Size = 1001
	require.Equal(t, admission.Reject, q.Offer(now, large))
	require.Len(t, q.RejectAll(), 3)
}

// TestUrgentRequestReplacesOthers guards against a queue full of less urgent requests that
// keeps urgent ones out, and the reverse.
func TestUrgentRequestReplacesOthers(t *testing.T) {
	cases := []struct {
		name     string
		priority int
		want     admission.Verdict
		replaced int
	}{
		{
			name:     "more urgent",
			priority: 0,
			want:     admission.Wait,
			replaced: 1,
		},
		{
			name:     "less urgent",
			priority: 2,
			want:     admission.Reject,
			replaced: 0,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, now := waitingQueue(t, admission.Limits{
				MaxRequests: 4,
				MaxBytes:    1000,
			}, 4)
			r := request(100, 100)
			r.Priority = c.priority
			require.Equal(t, c.want, q.Offer(now, r))
			require.Len(t, ids(q.Release(now), admission.Reject), c.replaced)
			require.Len(t, q.RejectAll(), 4)
		})
	}
}

// TestCallerWithFewestAdmissionsGoesFirst guards against a caller whose many requests came
// first and keep those of others waiting.
func TestCallerWithFewestAdmissionsGoesFirst(t *testing.T) {
	q, now := shortQueue(t, usualLimits)
	const frequent, rare = 1000, 2000
	// The frequent caller gets some requests admitted, with more of it waiting.
	id := 0
	for admitted := 0; admitted < 5; {
		id++
		if q.Offer(now, request(id, frequent)) == admission.Admit {
			admitted++
		}
		admitted += len(q.Release(now))
	}
	waiting := 0
	for range 3 {
		id++
		if q.Offer(now, request(id, frequent)) == admission.Wait {
			waiting++
		}
	}
	require.Positive(t, waiting)
	first := 1_000_000
	verdict := q.Offer(now, request(first, rare))
	for i := 1; verdict == admission.Wait; i++ {
		released := q.Release(now)
		if len(released) > 0 {
			require.Equal(t, first, released[0].ID)
			return
		}
		require.Less(t, i, 1000)
		q.Offer(now, request(first+i, frequent))
	}
	require.Equal(t, admission.Admit, verdict)
}

// TestMaxWaitEndsWaiting guards against requests that wait beyond their latency goal.
func TestMaxWaitEndsWaiting(t *testing.T) {
	q, now := waitingQueue(t, usualLimits, 4)
	end := now.Add(time.Minute)
	seen := 0
	for at := q.NextTimer(); !at.IsZero(); at = q.NextTimer() {
		require.False(t, at.After(end))
		now = at
		seen += len(q.Release(now))
	}
	require.Equal(t, 4, seen)
}

// TestRequestsWithoutTimeAreRejectedAtOnce guards against requests that are held though they
// can't be answered in time.
func TestRequestsWithoutTimeAreRejectedAtOnce(t *testing.T) {
	for _, wait := range []time.Duration{-time.Second, 0, time.Microsecond} {
		q, now := waitingQueue(t, usualLimits, 4)
		r := request(100, 100)
		r.MaxWait = wait
		require.Equal(t, admission.Reject, q.Offer(now, r), "%v", wait)
	}
}

// TestPauseDropsWhatWaits guards against answers for clients that gave up while the process
// was frozen, and against shares from before.
func TestPauseDropsWhatWaits(t *testing.T) {
	q, now := waitingQueue(t, usualLimits, 4)
	q.Clear()
	now = now.Add(20 * time.Second)
	require.Empty(t, q.Release(now))
	require.Empty(t, q.RejectAll())
	require.True(t, q.NextTimer().IsZero())
	for i := range 100 {
		require.Equal(t, admission.Admit, q.Offer(now, request(i, 1)))
	}
}

// TestStopRejectsWhatWaits guards against clients that wait for a process that has stopped.
func TestStopRejectsWhatWaits(t *testing.T) {
	q, now := waitingQueue(t, usualLimits, 4)
	require.ElementsMatch(t, []int{0, 1, 2, 3}, ids(q.RejectAll(), admission.Reject))
	require.Empty(t, q.RejectAll())
	require.Empty(t, q.Release(now))
	require.True(t, q.NextTimer().IsZero())
}

// TestRemovedRequestIsNotReleased guards against a decision on a flow that has ended.
func TestRemovedRequestIsNotReleased(t *testing.T) {
	q, _ := waitingQueue(t, usualLimits, 3)
	require.True(t, q.Remove(1))
	require.False(t, q.Remove(1))
	require.ElementsMatch(t, []int{0, 2}, ids(q.RejectAll(), admission.Reject))
}

// TestSharesLapseWithoutNews guards against refusals by old knowledge when digests are lost or
// the part that sets shares has stopped.
func TestSharesLapseWithoutNews(t *testing.T) {
	q, now := waitingQueue(t, usualLimits, 5)
	now = now.Add(2 * time.Second)
	require.Equal(t, admission.Admit, q.Offer(now, request(100, 100)))
	released := q.Release(now)
	for at := q.NextTimer(); !at.IsZero(); at = q.NextTimer() {
		require.LessOrEqual(t, at.Sub(now), 100*time.Millisecond)
		released = append(released, q.Release(at)...)
	}
	require.Len(t, ids(released, admission.Admit), 5)
}

// TestRemovedRouteReleasesWhatWaits guards against requests that wait for shares of a priority
// that no route has any longer, or that has changed.
func TestRemovedRouteReleasesWhatWaits(t *testing.T) {
	for _, priorities := range [][]int{nil, {0}, {0, 7}} {
		q, now := waitingQueue(t, usualLimits, 5)
		admitted := 0
		for range 40 {
			now = now.Add(250 * time.Millisecond)
			q.SetShares(now, admission.SharesFor(1000, 100, priorities))
			admitted += len(ids(q.Release(now), admission.Admit))
		}
		require.Equal(t, 5, admitted, "%v", priorities)
	}
}

// TestTimeWithoutCallsKeepsTokensBounded guards against a burst that is let through because
// time went by, and against a clock that goes back.
func TestTimeWithoutCallsKeepsTokensBounded(t *testing.T) {
	for _, pause := range []time.Duration{-time.Hour, -time.Second, 0, time.Second, 1900 * time.Millisecond} {
		q, now := waitingQueue(t, usualLimits, 5)
		now = now.Add(pause)
		admitted := len(q.Release(now))
		for i := range 20 {
			if q.Offer(now, request(100+i, 100+i)) == admission.Admit {
				admitted++
			}
			admitted += len(ids(q.Release(now), admission.Admit))
		}
		require.LessOrEqual(t, admitted, 8+4, "%v", pause)
	}
}

// TestStoppedArrivalsReleaseWhatWaits guards against requests that wait for tokens which only
// further arrivals would earn.
func TestStoppedArrivalsReleaseWhatWaits(t *testing.T) {
	q, now := shortQueue(t, usualLimits)
	id := 0
	for range 3000 {
		id++
		now = now.Add(time.Millisecond)
		if id%250 == 0 {
			q.SetShares(now, admission.SharesFor(1000, 100, []int{0, 1, 2}))
		}
		r := request(id, id)
		r.MaxWait = 500 * time.Millisecond
		q.Offer(now, r)
		q.Release(now)
	}
	admitted := 0
	for at := q.NextTimer(); !at.IsZero(); at = q.NextTimer() {
		for _, r := range q.Release(at) {
			require.Equal(t, admission.Admit, r.Verdict)
			admitted++
		}
	}
	require.Positive(t, admitted)
}

// BenchmarkOffer measures Offer in the ordinary state, and under overload with many waiting.
func BenchmarkOffer(b *testing.B) {
	b.Run("ordinary", func(b *testing.B) {
		q := admission.NewQueue[int](usualLimits)
		now := epoch
		r := request(1, 1)
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(100 * time.Microsecond)
			q.Offer(now, r)
		}
	})
	b.Run("waiting=256", func(b *testing.B) {
		q, now := waitingQueue(b, usualLimits, 256)
		random := rand.New(rand.NewPCG(1, 1))
		id := 1000
		b.ReportAllocs()
		for b.Loop() {
			id++
			r := request(id, random.IntN(100_000))
			q.Offer(now, r)
			if id%16 == 0 {
				q.Release(now)
			}
		}
	})
}
