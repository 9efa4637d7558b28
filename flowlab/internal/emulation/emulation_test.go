package emulation

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// loadDir is the directory of the project's loads.
const loadDir = "../../../deploy/loads"

// isLargeLoad reports whether a load has hundreds of hosts, or thousands of requests a second.
func isLargeLoad(path string) bool {
	name := filepath.Base(path)
	return strings.HasPrefix(name, "many-") || strings.HasPrefix(name, "share-")
}

func readLoad(t *testing.T, name string) *Load {
	t.Helper()
	l, err := ReadLoad(filepath.Join(loadDir, name+".toml"))
	require.NoError(t, err)
	return l
}

func play(t *testing.T, l *Load, o Options) *Result {
	t.Helper()
	r, err := Play(l, o)
	require.NoError(t, err)
	return r
}

// TestSameSeedSameResult checks that a run is reproducible from its seed.
func TestSameSeedSameResult(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "dark")
	l.Length.Duration = 6 * time.Second
	o := Options{
		Balancers: 9,
		Policy:    PolicySharing,
		Seed:      3,
	}
	require.Equal(t, play(t, l, o), play(t, l, o))
	o.Policy = PolicyProbed
	require.Equal(t, play(t, l, o), play(t, l, o))
}

// TestPolicies checks that each policy has less than half of the failed
// requests of a simpler one under a load that it is meant for, or, where hosts
// are slow and no request fails, at most four fifths of those that miss the
// latency target, and that no policy resets flows of live hosts.
func TestPolicies(t *testing.T) {
	for _, test := range []struct {
		load      string
		balancers int
		better    string
		worse     string
		// slow reports whether the hosts are slow, rather than failing.
		slow bool
	}{
		{
			load:      "dark",
			balancers: 90,
			better:    PolicyShared,
			worse:     PolicyAlone,
		},
		{
			load:      "crash",
			balancers: 90,
			better:    PolicyProbed,
			worse:     PolicyShared,
		},
		{
			load:      "crash",
			balancers: 9,
			better:    PolicyProbed,
			worse:     PolicyShared,
		},
		{
			load:      "slow",
			balancers: 90,
			better:    PolicyShared,
			worse:     PolicyAlone,
			slow:      true,
		},
	} {
		t.Run(test.load, func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, test.load)
			o := Options{
				Balancers: test.balancers,
				Policy:    test.better,
				Seed:      1,
			}
			better := play(t, l, o)
			o.Policy = test.worse
			worse := play(t, l, o)
			require.Zero(t, better.LiveFlowResets)
			require.Zero(t, worse.LiveFlowResets)
			require.Len(t, better.DetectionTimes, better.FailedHosts)
			if test.slow {
				missed := func(r *Result) int { return r.Total().Late + r.Total().Failed }
				require.LessOrEqual(t, 5*missed(better), 4*missed(worse))
				return
			}
			require.Less(t, 2*better.Total().Failed, worse.Total().Failed)
		})
	}
}

// TestOverloadIsNotMadeWorse checks that sharing reports on busy hosts costs at
// most 0.01 of the share answered on time when all hosts are busy. The failure:
// the few hosts that are not reported busy yet get all new flows, and refuse
// them.
func TestOverloadIsNotMadeWorse(t *testing.T) {
	t.Parallel()
	for _, balancers := range []int{9, 90} {
		l := readLoad(t, "overload")
		l.Length.Duration = 8 * time.Second
		o := Options{
			Balancers: balancers,
			Policy:    PolicyAlone,
			Seed:      1,
		}
		alone := play(t, l, o)
		o.Policy = PolicyProbed
		require.GreaterOrEqual(t, play(t, l, o).Total().OnTimeShare(), alone.Total().OnTimeShare()-0.01, balancers)
	}
}

// TestOverloadKeepsCapacity checks that in seconds in which more requests are
// sent than the hosts have capacity for, they answer at least 90% of their
// capacity on time.
func TestOverloadKeepsCapacity(t *testing.T) {
	t.Parallel()
	l := readLoad(t, "overload")
	l.Length.Duration = 8 * time.Second
	capacity := float64(l.Zones*l.Hosts.Count*l.Hosts.Slots) / l.Hosts.Work.Seconds()
	for _, balancers := range []int{9, 90} {
		r := play(t, l, Options{
			Balancers: balancers,
			Policy:    PolicyProbed,
			Seed:      1,
		})
		for _, w := range r.Windows[5:7] {
			require.Greater(t, float64(w.Sent), capacity)
			require.Greater(t, float64(w.OnTime), 0.9*capacity, balancers)
		}
	}
}

// TestNoLivingFlowIsReset plays all loads of the project and checks that no
// flow of a live host is reset.
func TestNoLivingFlowIsReset(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(loadDir, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		if isLargeLoad(f) && !playsLargeLoads {
			continue
		}
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			l, err := ReadLoad(f)
			require.NoError(t, err)
			l.Length.Duration = 8 * time.Second
			policy := PolicyProbed
			if strings.HasPrefix(l.Name, "share-") {
				// These ask for more than balancers can answer without load sharing.
				policy = PolicySharing
			}
			r := play(t, l, Options{
				Balancers: 30,
				Policy:    policy,
				Seed:      2,
			})
			require.Zero(t, r.LiveFlowResets)
			// These have more requests than the hosts can answer.
			if l.Name != "overload" && l.Name != "few-burst" && l.Name != "share-kinds" {
				require.Greater(t, r.Total().OnTimeShare(), 0.8)
			}
		})
	}
}

// TestSlowBalancersResetNoLiveFlow checks that balancers which run behind get no flows of
// live hosts reset, and that dead hosts are still detected. The failure: a slow balancer
// took its own backlog for the silence of a host, announced its death, and got to the
// other balancers' objections after they had reset the host's flows.
func TestSlowBalancersResetNoLiveFlow(t *testing.T) {
	seeds := uint64(1)
	if playsLargeLoads {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, "lag")
			r := play(t, l, Options{
				Balancers: 90,
				Policy:    PolicyProbed,
				Seed:      seed,
			})
			require.Zero(t, r.LiveFlowResets)
			require.Len(t, r.DetectionTimes, r.FailedHosts)
		})
	}
}

func TestPlayRefuses(t *testing.T) {
	l := readLoad(t, "dark")
	for _, o := range []Options{
		{
			Balancers: 2,
			Policy:    PolicyShared,
		},
		{
			Balancers: 9,
			Policy:    "best",
		},
		{
			Balancers: 9,
			Policy:    PolicyShared,
			Placement: "best",
		},
	} {
		_, err := Play(l, o)
		require.ErrorIs(t, err, ErrOptions)
	}
}

func TestReadLoadRefuses(t *testing.T) {
	const good = `
name = "x"
length = "1s"
zones = 1
hosts = { count = 1, slots = 1, queue = 1, work = "1ms" }
`
	const users = `users = { count = 1, rate = 1.0, requests = 1.0, aim = "1s", deadline = "1s" }
`
	for _, test := range []struct {
		name string
		text string
		says string
	}{
		{
			name: "no TOML",
			text: "name",
		},
		{
			name: "no users",
			text: good,
			says: "users.count",
		},
		{
			name: "unknown fault",
			text: good + users + `faults = [{ kind = "flood", share = 0.5 }]`,
			says: `"flood"`,
		},
		{
			name: "no share",
			text: good + users + `faults = [{ kind = "crash" }]`,
			says: "share of crash",
		},
		{
			name: "no delay",
			text: good + users + `faults = [{ kind = "lag", share = 0.5 }]`,
			says: "delay of lag",
		},
		{
			name: "no factor",
			text: good + users + `faults = [{ kind = "slow", share = 0.5 }]`,
			says: "factor of slow",
		},
		{
			name: "unknown zone",
			text: good + users + `faults = [{ kind = "burst", factor = 2.0, zone = 1 }]`,
			says: "zone 1 of burst",
		},
		{
			name: "zone of hosts",
			text: good + users + `faults = [{ kind = "congested", share = 0.5, factor = 2.0, zone = 0 }]`,
			says: "zone 0 of congested",
		},
		{
			name: "no goal",
			text: good + users + `kinds = [{ name = "a", share = 1.0 }]`,
			says: `kind "a"`,
		},
		{
			name: "shares of kinds",
			text: good + users + `kinds = [{ name = "a", share = 0.5, goal = "1s" }]`,
			says: "shares of kinds",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "load.toml")
			require.NoError(t, os.WriteFile(path, []byte(test.text), 0o600))
			_, err := ReadLoad(path)
			require.ErrorIs(t, err, ErrLoad)
			require.ErrorContains(t, err, test.says)
		})
	}
}
