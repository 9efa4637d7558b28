package proof

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/internal/system"
)

var seed = flag.Uint64("seed", 1, "seed of the callers")

// programs is the directory with the programs that TestMain has built.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a temporary directory, runs the tests and
// returns their exit code. Only filbertd is built with the race detector.
func buildAndRun(m *testing.M) int {
	flag.Parse()
	directory, err := os.MkdirTemp("", "filbertworks-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	programs = directory
	builds := [][]string{
		{"-race", "../filbertd"},
		{"../standin/caller"},
		{"../standin/platform"},
		{"../standin/upstream"},
	}
	for _, b := range builds {
		arguments := append([]string{"build", "-o", directory}, b...)
		if output, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %v: %v\n%s", b, err, output)
			return 1
		}
	}
	return m.Run()
}

// A faultFunc injects a fault into a system under load, or operates it, and
// requires what must hold meanwhile.
type faultFunc func(ctx context.Context, t *testing.T, s *system.System)

// holdRate is the number of holds per second that a scenario places.
const holdRate = 20

func TestPromises(t *testing.T) {
	for _, tc := range []struct {
		name string
		// outcomesKnown is set if no process and no path fails in the scenario,
		// so that the outcome of every request must be known.
		outcomesKnown bool
		// site defaults to system.Lonestar.
		site *system.Site
		// firstZoneOnly restricts the callers to the balancers of the first zone.
		firstZoneOnly bool
		fault         faultFunc
	}{
		{
			name:          "no fault",
			outcomesKnown: true,
			fault:         func(context.Context, *testing.T, *system.System) {},
		},
		{
			name:          "four zones, zone out and back",
			outcomesKnown: true,
			site:          &system.Consorzio,
			fault:         zoneOutAndBack,
		},
		{
			name:          "zone left alone",
			firstZoneOnly: true,
			fault:         isolateZone,
		},
		{
			name:  "balancer killed",
			fault: killBalancer,
		},
		{
			name:          "balancer replaced",
			outcomesKnown: true,
			fault:         replaceBalancer,
		},
		{
			name:          "balancer replaced while an upstream is added and another drains",
			outcomesKnown: true,
			fault:         replaceAndDrain,
		},
		{
			name:          "upstream removed with its watches",
			outcomesKnown: true,
			fault:         removeUpstream,
		},
		{
			name:          "platform stale while a balancer is replaced",
			outcomesKnown: true,
			fault:         replaceUnderStalePlatform,
		},
		{
			name:  "zone out while a balancer of another dies",
			fault: zoneOutAndKill,
		},
		{
			name:  "balancer paused and woken",
			fault: pauseBalancer,
		},
		{
			name:  "platform down and a balancer killed",
			fault: killBalancerDuringOutage,
		},
		{
			name:  "upstream restarts without a word",
			fault: restartUpstream,
		},
		{
			name:  "all upstreams cold at once",
			fault: resetUpstreamsToCold,
		},
		{
			name:          "reports mislead",
			outcomesKnown: true,
			site:          &system.Consorzio,
			fault:         reportIdleUpstreams,
		},
		{
			name:  "an upstream freezes and thaws",
			fault: freezeUpstream,
		},
		{
			name:  "open paths go silent",
			fault: silenceOpenPaths,
		},
		{
			name:          "operators race",
			outcomesKnown: true,
			fault:         submitConflictingPatches,
		},
		{
			name:          "zone out and back",
			outcomesKnown: true,
			fault:         zoneOutAndBack,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			site := system.Lonestar
			if tc.site != nil {
				site = *tc.site
			}
			s := startSystem(ctx, t, site)
			zone := ""
			if tc.firstZoneOnly {
				zone = site.Zones[0]
			}
			load, err := s.StartCaller(ctx, system.Load{
				Zone:     zone,
				Watches:  30,
				Holds:    holdRate,
				Photos:   5,
				Duration: 20 * time.Second,
				Seed:     *seed,
			})
			require.NoError(t, err)
			awaitWatches(ctx, t, s, 30)
			tc.fault(ctx, t, s)
			rows, err := load.Wait()
			require.NoError(t, err)
			requireGuarantees(ctx, t, s, rows, tc.outcomesKnown)
		})
	}
}

// requireGuarantees requires what must hold after every scenario: no broken
// watch, no wrong answer and no upstream that had too many requests, ran a hold
// twice or got another service's request; with outcomesKnown also no unknown
// outcome.
func requireGuarantees(ctx context.Context, t *testing.T, s *system.System, rows []system.Row, outcomesKnown bool) {
	t.Helper()
	total := system.Total(rows)
	t.Logf("seed %d, total %+v", *seed, total)
	require.Zero(t, total.Broken, "broken watches: %+v", rows)
	require.Zero(t, total.Wrong, "wrong answers: %+v", rows)
	require.NotZero(t, total.Answered)
	if outcomesKnown {
		require.Zero(t, total.MayHaveRun, "unknown outcomes: %+v", rows)
	}
	counts, err := s.Counts(ctx)
	require.NoError(t, err)
	t.Logf("imbalance of holds %.2f, refused %.1f%% of requests",
		imbalance(s, counts), 100*float64(total.Refused)/float64(total.Opened))
	for name, c := range counts {
		require.LessOrEqual(t, c.MaxRequests, int(s.Site().Slots), "%s had more requests in flight than slots", name)
		require.Zero(t, c.DoubleRuns, "%s ran a hold twice", name)
		require.Zero(t, c.WrongService, "%s received a request of another service", name)
		require.Zero(t, c.Overloaded, "%s was overloaded", name)
	}
}

// imbalance returns the ratio of the greatest number of holds of an upstream of
// the desk service to the mean over its upstreams.
func imbalance(s *system.System, counts map[string]system.UpstreamCounters) float64 {
	var most, sum, n float64
	for name, c := range counts {
		if strings.HasPrefix(name, s.Site().Desk) {
			most = max(most, float64(c.Runs))
			sum += float64(c.Runs)
			n++
		}
	}
	return most * n / sum
}

// startSystem starts a system that is stopped when the test ends. If the start
// or the test fails, it logs the ends of the processes' logs.
func startSystem(ctx context.Context, t *testing.T, site system.Site) *system.System {
	t.Helper()
	subnet, err := system.ReserveSubnet()
	require.NoError(t, err)
	t.Cleanup(subnet.Release)
	directory := t.TempDir()
	s, err := system.Start(ctx, system.Layout{
		Programs:         programs,
		Directory:        directory,
		Subnet:           subnet.Number,
		Site:             site,
		BalancersPerZone: 2,
		DesksPerZone:     2,
		Work:             20 * time.Millisecond,
	})
	if err != nil {
		logTails(t, directory)
	}
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	t.Cleanup(func() {
		if t.Failed() {
			logTails(t, directory)
		}
	})
	return s
}

// awaitWatches waits until at least n watches are open at the upstreams.
func awaitWatches(ctx context.Context, t *testing.T, s *system.System, n int) {
	t.Helper()
	require.NoError(t, s.WaitUntil(ctx, 20*time.Second, "watches open", func() bool {
		return connections(ctx, s) >= n
	}))
}

// connections returns the number of open watches over all upstreams, or 0 if the
// counters can't be read.
func connections(ctx context.Context, s *system.System) int {
	counts, err := s.Counts(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, c := range counts {
		n += c.Connections
	}
	return n
}

// logTails logs the last part of each process's log.
func logTails(t *testing.T, directory string) {
	t.Helper()
	const maxTailSize = 2000 // bytes
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	require.NoError(t, err)
	for _, f := range files {
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-maxTailSize):])
	}
}

// awaitVersion waits until every balancer has configuration version v, or a
// newer one, in force.
func awaitVersion(ctx context.Context, t *testing.T, s *system.System, v config.Version) {
	t.Helper()
	for _, name := range s.Balancers() {
		require.NoError(t, s.WaitUntil(ctx, propagationTimeout, "version in force at "+name, func() bool {
			st, err := s.Status(ctx, name)
			return err == nil && st.Version >= v
		}))
	}
}
