package daemon

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/wire"
)

// A storeContent is what a fakeStore answers with.
type storeContent struct {
	listing *directory.Delta
	// stale is what a stale listing returns, if that is another.
	stale *directory.Delta
	// watchEra is the era of answers to watches, and watched are the changes that any watch
	// returns.
	watchEra uint64
	watched  []directory.Item
	// last is the revision after which watches get ErrCompacted; zero for none.
	last uint64
	// watchErr and listErr are the errors of calls.
	watchErr error
	listErr  error
}

// A fakeStore is a source with fixed answers that counts its calls.
type fakeStore struct {
	mutex   sync.Mutex
	content storeContent
	calls   int
	lists   int
}

func (s *fakeStore) Close() {}

// set replaces the content and forgets the calls.
func (s *fakeStore) set(c storeContent) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.content = c
	s.calls, s.lists = 0, 0
}

// counts returns the numbers of calls and of listings among them.
func (s *fakeStore) counts() (calls, lists int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls, s.lists
}

func (s *fakeStore) call(lists int) storeContent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	s.lists += lists
	return s.content
}

func (s *fakeStore) List(_ context.Context, stale bool) (*directory.Delta, error) {
	c := s.call(1)
	if stale && c.stale != nil {
		return c.stale, c.listErr
	}
	return c.listing, c.listErr
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (*directory.Delta, error) {
	c := s.call(0)
	if c.watchErr != nil {
		return nil, c.watchErr
	}
	if c.last > 0 && after > c.last {
		return nil, directory.ErrCompacted
	}
	delta := &directory.Delta{
		Era:      c.watchEra,
		Base:     after,
		Revision: after,
	}
	for _, i := range c.watched {
		if i.Revision > after {
			delta.Items = append(delta.Items, i)
			delta.Revision = i.Revision
		}
	}
	if len(delta.Items) == 0 {
		sleep(ctx, wait)
	}
	return delta, ctx.Err()
}

// contentOf returns the content of a store in an era with one plan.
func contentOf(era, revision, plan uint64) storeContent {
	return storeContent{
		listing:  listingOf(era, revision, planItem(plan, revision)),
		watchEra: era,
	}
}

// followFakeStore runs a daemon's reader and syncer until the test ends. It is called in a
// bubble of synctest.
func followFakeStore(t *testing.T, c storeContent) (*Daemon, *fakeStore) {
	t.Helper()
	d, s := newDaemon(t), &fakeStore{}
	s.set(c)
	d.source = s
	ctx, cancel := context.WithCancel(t.Context())
	d.tasks.Go(func() { d.syncer.run(ctx) })
	d.tasks.Go(func() { d.followStore(ctx) })
	t.Cleanup(d.tasks.Wait)
	t.Cleanup(cancel)
	return d, s
}

// requireInForce checks the position and the plan of the view.
func requireInForce(t *testing.T, d *Daemon, era, revision, plan uint64) {
	t.Helper()
	v := d.view.Load()
	require.NotNil(t, v)
	require.Equal(t, directory.Position{
		Era:      era,
		Revision: revision,
	}, v.Position)
	require.Equal(t, plan, v.Plan.Version)
}

// TestReaderEntersANewEra checks that the reader lists all entries when the store has come
// back from a copy, in whichever way that shows, and follows the changes from there on.
func TestReaderEntersANewEra(t *testing.T) {
	for _, test := range []struct {
		name string
		// revision is that of the copy, and change what the answers of the new era have
		// besides.
		revision uint64
		change   func(*storeContent)
	}{
		{
			name:     "a watch at an earlier revision answers",
			revision: 10,
			change:   func(*storeContent) {},
		},
		{
			name:     "a watch at the same revision answers",
			revision: 20,
			change:   func(*storeContent) {},
		},
		{
			name:     "a watch answers with changes, of which some are missing",
			revision: 30,
			change:   func(c *storeContent) { c.watched = []directory.Item{hostItem("1", 30)} },
		},
		{
			name:     "the history is compacted",
			revision: 10,
			change:   func(c *storeContent) { c.last = 10 },
		},
		{
			name:     "stale listings are of the old era",
			revision: 10,
			change:   func(c *storeContent) { c.stale = listingOf(1, 20, planItem(9, 20)) },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, s := followFakeStore(t, contentOf(1, 20, 9))
				sleep(t.Context(), 5*time.Second)
				requireInForce(t, d, 1, 20, 9)
				c := contentOf(2, test.revision, 5)
				test.change(&c)
				s.set(c)
				sleep(t.Context(), watchWait+followerDelay+maxRetryDelay)
				requireInForce(t, d, 2, test.revision, 9)
				c = contentOf(2, test.revision+1, 12)
				c.watched = c.listing.Items
				s.set(c)
				sleep(t.Context(), watchWait+followerDelay)
				requireInForce(t, d, 2, test.revision+1, 12)
				_, lists := s.counts()
				require.Zero(t, lists, "changes of the era come by watches")
			})
		})
	}
}

// TestReaderBacksOff checks that the reader makes few calls while no answer of the store helps
// it, changes nothing meanwhile, and gets out when the store recovers.
func TestReaderBacksOff(t *testing.T) {
	const (
		trial = 20 * time.Second
		// maxCallsPerSecond is a watch and a listing in each maxRetryDelay.
		maxCallsPerSecond = 2
		// firstCalls are those before the delay reaches maxRetryDelay, and while it waits.
		firstCalls = 12
	)
	withError := func(c storeContent, watchErr, listErr error) storeContent {
		c.watchErr, c.listErr = watchErr, listErr
		return c
	}
	withChanges := func(c storeContent) storeContent {
		c.watched = []directory.Item{planItem(40, 40)}
		return c
	}
	failure := eris.New("store: call refused")
	for _, test := range []struct {
		name   string
		failed storeContent
	}{
		{
			name:   "listings are older than what is known",
			failed: withError(contentOf(2, 10, 5), directory.ErrCompacted, nil),
		},
		{
			name:   "listings are of an old era, whatever their revision",
			failed: withError(contentOf(1, 40, 40), directory.ErrCompacted, nil),
		},
		{
			name:   "listings name no era",
			failed: withError(contentOf(0, 40, 40), directory.ErrCompacted, nil),
		},
		{
			name:   "listings are compacted, too",
			failed: withError(contentOf(2, 20, 9), directory.ErrCompacted, directory.ErrCompacted),
		},
		{
			name:   "watches answer in a new era, and listings fail",
			failed: withError(contentOf(3, 10, 5), nil, failure),
		},
		{
			name: "watches answer in a new era, and listings in the old one",
			failed: storeContent{
				listing:  listingOf(2, 10, planItem(5, 10)),
				watchEra: 3,
				watched:  []directory.Item{planItem(40, 40)},
			},
		},
		{
			name:   "watches answer in an old era",
			failed: withChanges(contentOf(1, 40, 40)),
		},
		{
			name:   "watches name no era",
			failed: withChanges(contentOf(0, 40, 40)),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, s := followFakeStore(t, contentOf(2, 20, 9))
				sleep(t.Context(), 5*time.Second)
				s.set(test.failed)
				sleep(t.Context(), trial)
				calls, _ := s.counts()
				require.LessOrEqual(t, calls, firstCalls+maxCallsPerSecond*int(trial/time.Second))
				require.GreaterOrEqual(t, calls, int(trial/(watchWait+maxRetryDelay))-1, "the reader goes on")
				requireInForce(t, d, 2, 20, 9)
				s.set(contentOf(3, 11, 12))
				sleep(t.Context(), maxRetryDelay+watchWait+time.Second)
				requireInForce(t, d, 3, 11, 12)
			})
		})
	}
}

// A rewrittenStore is a store with one value that another writer writes again and again: the changes
// are always too large for a response, which shows after watchTime, and a listing takes listTime.
type rewrittenStore struct {
	fakeStore
	watchTime time.Duration
	listTime  time.Duration
}

func (s *rewrittenStore) List(ctx context.Context, stale bool) (*directory.Delta, error) {
	delta, err := s.fakeStore.List(ctx, stale)
	sleep(ctx, s.listTime)
	return delta, err
}

func (s *rewrittenStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (*directory.Delta, error) {
	s.call(0)
	sleep(ctx, s.watchTime)
	return nil, directory.ErrCompacted
}

// TestRewrittenValuesDelayNoChange guards against a writer of large values that keeps the other
// entries back: a reader that had listed all entries made the watch that had just failed twice before
// it listed them again. The times are those of 3 MB and of 1.5 MB at 10 Mbit/s, and the bound is that of the
// deployments with such links.
func TestRewrittenValuesDelayNoChange(t *testing.T) {
	const bound = 5 * time.Second
	for _, offset := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := newDaemon(t)
			s := &rewrittenStore{
				watchTime: 2400 * time.Millisecond,
				listTime:  1200 * time.Millisecond,
			}
			s.set(contentOf(1, 20, 9))
			d.source = s
			ctx, cancel := context.WithCancel(t.Context())
			d.tasks.Go(func() { d.syncer.run(ctx) })
			d.tasks.Go(func() { d.followStore(ctx) })
			t.Cleanup(d.tasks.Wait)
			t.Cleanup(cancel)
			sleep(t.Context(), 20*time.Second+offset)
			s.set(contentOf(1, 21, 10))
			sleep(t.Context(), bound)
			requireInForce(t, d, 1, 21, 10)
		})
	}
}

// TestReaderThatIsAlwaysCompacted checks that the reader makes few calls if the store has no
// history at all: a watch after the revision of a listing fails at once, too.
func TestReaderThatIsAlwaysCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := contentOf(2, 20, 9)
		c.watchErr = directory.ErrCompacted
		_, s := followFakeStore(t, c)
		sleep(t.Context(), 2*time.Second)
		calls, _ := s.counts()
		require.LessOrEqual(t, calls, 20, "calls in 2 s")
	})
}

// TestReaderStartsOnFailedListings checks that a reader that knows nothing yet does not spin
// either, and starts when listings succeed.
func TestReaderStartsOnFailedListings(t *testing.T) {
	for _, err := range []error{directory.ErrCompacted, eris.New("store: call refused")} {
		synctest.Test(t, func(t *testing.T) {
			c := contentOf(1, 20, 9)
			c.listErr = err
			d, s := followFakeStore(t, c)
			sleep(t.Context(), 20*time.Second)
			calls, _ := s.counts()
			require.LessOrEqual(t, calls, 12+2*20)
			s.set(contentOf(1, 20, 9))
			sleep(t.Context(), 2*time.Second)
			requireInForce(t, d, 1, 20, 9)
		})
	}
}

// A pullRecorder answers calls for changes as a peer does, and records them.
type pullRecorder struct {
	directoryServer
	mutex    sync.Mutex
	requests []directory.Position
}

func (r *pullRecorder) Changes(q *wire.ChangesRequest, stream wire.DRPCDirectory_ChangesStream) error {
	r.mutex.Lock()
	r.requests = append(r.requests, directory.Position{
		Era:      q.GetEra(),
		Revision: q.GetSince(),
	})
	r.mutex.Unlock()
	return r.directoryServer.Changes(q, stream)
}

// pulls returns the numbers of pulls of everything and of pulls of changes.
func (r *pullRecorder) pulls() (whole, small int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.requests {
		if p.Revision == 0 {
			whole++
		} else {
			small++
		}
	}
	return whole, small
}

// recordPulls starts a peer whose directory has these listings.
func recordPulls(t *testing.T, listings ...*directory.Delta) (*pullRecorder, netip.AddrPort) {
	t.Helper()
	source := newDaemon(t)
	for _, l := range listings {
		source.syncer.applyStoreDelta(time.Now(), l)
	}
	r := &pullRecorder{directoryServer: directoryServer{daemon: source}}
	return r, serveChanges(t, source, r)
}

// heartbeatOf returns the heartbeat of a peer that has a position.
func heartbeatOf(n uint64, peer netip.AddrPort, p directory.Position) []byte {
	return wire.AppendHeartbeat(nil, &member.Heartbeat{
		Sender: member.Record{
			Name:        "lb-9",
			Zone:        "b",
			Incarnation: 9,
			Sequence:    uint32(n),
			State:       member.Alive,
			Relay:       peer,
			Control:     peer,
			Admin:       peer,
			Version:     config.Version(p.Revision),
		},
		Digest: p.Era,
	})
}

// TestPullsForAnEra checks how often a balancer asks a peer that names a position in its
// heartbeats.
func TestPullsForAnEra(t *testing.T) {
	old, copied := listingOf(1, 20, planItem(9, 20)), listingOf(2, 10, planItem(5, 10))
	for _, test := range []struct {
		name string
		// known are the listings that the balancer has read, and peer those of the peer.
		known []*directory.Delta
		peer  []*directory.Delta
		// whole is the number of pulls of everything, and small the greatest number of
		// pulls of changes.
		whole int
		small int
		plan  uint64
	}{
		{
			name:  "a new era at a lower revision",
			known: []*directory.Delta{old},
			peer:  []*directory.Delta{old, copied},
			whole: 1,
			small: maxMergePulls,
			plan:  9,
		},
		{
			name:  "an old era at a higher revision",
			known: []*directory.Delta{copied},
			peer:  []*directory.Delta{listingOf(1, 40, planItem(5, 20))},
			plan:  5,
		},
		{
			name:  "the same position, read by both from the store after a restore",
			known: []*directory.Delta{listingOf(1, 8, planItem(5, 8)), copied},
			peer:  []*directory.Delta{old, copied},
			small: maxMergePulls,
			plan:  9,
		},
		{
			name:  "the same position of the first era",
			known: []*directory.Delta{old},
			peer:  []*directory.Delta{old},
			plan:  9,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, address := recordPulls(t, test.peer...)
			d, now := newDaemon(t), time.Now()
			s := d.syncer
			for _, l := range test.known {
				s.applyStoreDelta(now, l)
			}
			position := test.peer[len(test.peer)-1].Position()
			for n := range uint64(20) {
				s.handleDatagram(t.Context(), now, address, heartbeatOf(n+1, address, position))
				now = now.Add(pullDelay)
				s.tick(t.Context(), now)
				pulled(t, d)
			}
			whole, small := r.pulls()
			require.Equal(t, test.whole, whole, "pulls of everything")
			require.Equal(t, test.small, small, "pulls of changes")
			require.Equal(t, test.plan, s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
		})
	}
}

// TestAnnouncementOfANewEra checks that an announced era leads to one complete pull, however
// often the announcement arrives, and that an old era's leads to none.
func TestAnnouncementOfANewEra(t *testing.T) {
	copied := listingOf(2, 10, planItem(5, 10))
	r, address := recordPulls(t, listingOf(1, 20, planItem(9, 20)), copied)
	d, now := newDaemon(t), time.Now()
	s := d.syncer
	s.applyStoreDelta(now, listingOf(1, 18, planItem(8, 18)))
	for _, p := range []directory.Position{
		copied.Position(),
		{
			Era:      1,
			Revision: 40,
		},
	} {
		whole := announcement(p)
		data, err := wire.AppendDelta(nil, now, &whole, 9)
		require.NoError(t, err)
		for range 3 {
			s.handleDelta(t.Context(), now, address, data)
			s.handleDelta(t.Context(), now, address, data)
			pulled(t, d)
		}
		pulls, small := r.pulls()
		require.Equal(t, 1, pulls)
		require.Zero(t, small)
		require.Equal(t, copied.Position(), s.dir.Position())
		require.Equal(t, uint64(9), s.dir.View(now, func(*directory.Upstream) bool { return false }).Plan.Version)
	}
}
