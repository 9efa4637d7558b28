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

// programs is the directory of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
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

// A fault does something to a system under load.
type fault func(ctx context.Context, t *testing.T, s *system.System)

// holds is the number of holds a second that a scenario places.
const holds = 20

func TestPromises(t *testing.T) {
	for _, tc := range []struct {
		name string
		// planned tells that no fault is the platform's: outcomes stay known.
		planned bool
		// place is Lonestar's where it is nil.
		place *system.Place
		// alone restricts the callers to the first zone.
		alone bool
		fault fault
	}{
		{
			name:    "no fault",
			planned: true,
			fault:   func(context.Context, *testing.T, *system.System) {},
		},
		{
			name:    "four zones, zone out and back",
			planned: true,
			place:   &system.Consorzio,
			fault:   zoneOutAndBack,
		},
		{
			name:  "zone left alone",
			alone: true,
			fault: isolateZone,
		},
		{
			name:  "balancer killed",
			fault: killBalancer,
		},
		{
			name:    "balancer replaced",
			planned: true,
			fault:   replaceBalancer,
		},
		{
			name:    "balancer replaced while an upstream is added and another drains",
			planned: true,
			fault:   replaceAndDrain,
		},
		{
			name:    "upstream removed with its watches",
			planned: true,
			fault:   removeUpstream,
		},
		{
			name:    "platform stale while a balancer is replaced",
			planned: true,
			fault:   replaceUnderStalePlatform,
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
			fault: platformDown,
		},
		{
			name:  "upstream restarts without a word",
			fault: restartUpstream,
		},
		{
			name:  "all upstreams cold at once",
			fault: coldUpstreams,
		},
		{
			name:    "reports mislead",
			planned: true,
			place:   &system.Consorzio,
			fault:   misleadReports,
		},
		{
			name:  "an upstream freezes and thaws",
			fault: freezeUpstream,
		},
		{
			name:  "open paths go silent",
			fault: silentPaths,
		},
		{
			name:    "operators race",
			planned: true,
			fault:   raceOperators,
		},
		{
			name:    "zone out and back",
			planned: true,
			fault:   zoneOutAndBack,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
			defer cancel()
			place := system.Lonestar
			if tc.place != nil {
				place = *tc.place
			}
			s := start(ctx, t, place)
			zone := ""
			if tc.alone {
				zone = place.Zones[0]
			}
			load, err := s.Call(ctx, system.Load{
				Zone:     zone,
				Watches:  30,
				Holds:    holds,
				Photos:   5,
				Duration: 20 * time.Second,
				Seed:     *seed,
			})
			require.NoError(t, err)
			awaitWatches(ctx, t, s, 30)
			tc.fault(ctx, t, s)
			rows, err := load.Wait()
			require.NoError(t, err)
			check(ctx, t, s, rows, tc.planned)
		})
	}
}

// check requires what must hold whatever happened.
func check(ctx context.Context, t *testing.T, s *system.System, rows []system.Row, planned bool) {
	t.Helper()
	total := system.Total(rows)
	t.Logf("seed %d, total %+v", *seed, total)
	require.Zero(t, total.Broken, "broken watches: %+v", rows)
	require.Zero(t, total.Wrong, "wrong answers: %+v", rows)
	require.NotZero(t, total.Answered)
	if planned {
		require.Zero(t, total.MayHaveRun, "unknown outcomes: %+v", rows)
	}
	counts, err := s.Counts(ctx)
	require.NoError(t, err)
	t.Logf("imbalance of holds %.2f, refused %.1f%% of requests",
		imbalance(s, counts), 100*float64(total.Refused)/float64(total.Opened))
	for name, c := range counts {
		require.LessOrEqual(t, c.MaxRequests, int(s.Place().Slots), "%s had more requests in flight than slots", name)
		require.Zero(t, c.DoubleRuns, "%s ran a hold twice", name)
		require.Zero(t, c.WrongService, "%s got another service's request", name)
		require.Zero(t, c.Overloaded, "%s was given more than it bears", name)
	}
}

// imbalance returns the greatest number of holds of a desk upstream over the
// mean.
func imbalance(s *system.System, counts map[string]system.UpstreamCount) float64 {
	var most, sum, n float64
	for name, c := range counts {
		if strings.HasPrefix(name, s.Place().Desk) {
			most = max(most, float64(c.Runs))
			sum += float64(c.Runs)
			n++
		}
	}
	return most * n / sum
}

// start starts a system that ends with the test.
func start(ctx context.Context, t *testing.T, place system.Place) *system.System {
	t.Helper()
	subnet, err := system.TakeSubnet()
	require.NoError(t, err)
	t.Cleanup(subnet.Release)
	directory := t.TempDir()
	s, err := system.Start(ctx, system.Layout{
		Programs:         programs,
		Directory:        directory,
		Subnet:           subnet.Number,
		Place:            place,
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

// awaitWatches waits until upstreams have n open watches.
func awaitWatches(ctx context.Context, t *testing.T, s *system.System, n int) {
	t.Helper()
	require.NoError(t, s.Until(ctx, 20*time.Second, "watches open", func() bool {
		return connections(ctx, s) >= n
	}))
}

// connections returns the number of watches open at all upstreams.
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

// logTails logs the ends of the processes' logs.
func logTails(t *testing.T, directory string) {
	t.Helper()
	const tail = 2000
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	require.NoError(t, err)
	for _, f := range files {
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-tail):])
	}
}

// awaitVersion waits until balancers have a configuration version in force.
func awaitVersion(ctx context.Context, t *testing.T, s *system.System, v config.Version) {
	t.Helper()
	for _, name := range s.Balancers() {
		require.NoError(t, s.Until(ctx, inForce, "version in force at "+name, func() bool {
			st, err := s.Status(ctx, name)
			return err == nil && st.Version >= v
		}))
	}
}
