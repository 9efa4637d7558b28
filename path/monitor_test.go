package path_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/path"
)

// heartbeat simulates one heartbeat; old and fresh tell which paths answer.
func heartbeat(m *path.Monitor, old, fresh bool) path.Action {
	a := m.NextHeartbeat()
	if old || a == path.Replace {
		m.Answered(false)
	}
	if fresh && a == path.Compare {
		m.Answered(true)
	}
	return a
}

func TestSilentPathIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m path.Monitor
		for range rapid.IntRange(0, 20).Draw(t, "answered") {
			require.Equal(t, path.Ping, heartbeat(&m, true, true))
		}
		for n := 1; n <= path.MaxDetectionHeartbeats; n++ {
			if heartbeat(&m, false, true) == path.Replace {
				require.Equal(t, path.Ping, heartbeat(&m, true, true), "the new path is monitored like any other")
				return
			}
		}
		t.Fatalf("not replaced within %d heartbeats", path.MaxDetectionHeartbeats)
	})
}

func TestDeadUpstreamKeepsItsPath(t *testing.T) {
	var m path.Monitor
	for range 1000 {
		require.NotEqual(t, path.Replace, heartbeat(&m, false, false))
	}
	require.Equal(t, path.Compare, heartbeat(&m, true, true))
	require.Equal(t, path.Ping, heartbeat(&m, true, true), "the old path is kept once its upstream answers again")
}

// TestReplacementNeedsConfirmation checks that a path is replaced only after
// MaxMissed unanswered heartbeats and MinConfirmed further ones in a row that
// only the fresh path answered.
func TestReplacementNeedsConfirmation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m path.Monitor
		silent, confirmed := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "heartbeats") {
			old := rapid.Float64().Draw(t, "old") < 0.3
			fresh := rapid.Bool().Draw(t, "fresh")
			switch heartbeat(&m, old, fresh) {
			case path.Replace:
				require.GreaterOrEqual(t, silent, path.MaxMissed+path.MinConfirmed)
				require.GreaterOrEqual(t, confirmed, path.MinConfirmed)
				silent, confirmed = 0, 0
				continue
			case path.Compare:
				confirmed++
				if !fresh {
					confirmed = 0
				}
			case path.Ping:
				confirmed = 0
			}
			silent++
			if old {
				silent, confirmed = 0, 0
			}
		}
	})
}
