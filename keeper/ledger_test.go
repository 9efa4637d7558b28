package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// TestLedgerRunsSerialAtMostOnce checks that a serial begins at most once, and
// never after it was reported as not run, for any order of calls.
func TestLedgerRunsSerialAtMostOnce(t *testing.T) {
	const retention = 100
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(2, retention)
		expiry := map[uint64]time.Duration{}
		begun, refused := map[uint64]bool{}, map[uint64]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "wait"))
			for s, e := range expiry {
				if now >= e+retention {
					l.remove(s)
				}
			}
			serial := rapid.Uint64Range(1, l.issued+1).Draw(t, "serial")
			if serial > l.issued {
				expiry[l.issueSerial()] = now + 20
			}
			if n := l.entries[serial]; n != nil {
				require.Equal(t, begun[serial], n.state == entrySent)
				continue
			}
			err := l.checkSerial(serial, expiry[serial], now)
			switch {
			case err == nil && l.barIfFull():
				refused[serial] = true
			case err == nil && rapid.Bool().Draw(t, "admitted"):
				require.False(t, begun[serial], "serial %d begins twice", serial)
				require.False(t, refused[serial], "serial %d begins after it was refused", serial)
				begun[serial] = true
				l.begin(serial, 1, 1, packet.Token{Size: 8})
			case err == nil:
				refused[serial] = true
				l.recordRefusal(serial, 1, verdict.ReasonBusy)
			case err.Verdict == verdict.NotRun:
				require.False(t, begun[serial], "serial %d has begun, but is reported as not run", serial)
				refused[serial] = true
			}
		}
	})
}

// TestExchangeTokens checks that a token given to an upstream never finds a
// later exchange, also when the generation of a table entry wraps around.
func TestExchangeTokens(t *testing.T) {
	cases := []struct {
		name       string
		generation uint32
	}{
		{
			name:       "first",
			generation: 0,
		},
		{
			name:       "last before the wrap",
			generation: 1<<32 - 2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newExchangeTable(1, 0)
			x.entry(x.allocate()).generation = c.generation
			x.free = []uint32{0}
			seen := map[packet.Token]bool{}
			for range 4 {
				index, ok := x.add(exchangeKey{})
				require.True(t, ok)
				token := x.token(index)
				require.False(t, seen[token], "token given twice")
				seen[token] = true
				_, e := x.byToken(token)
				require.NotNil(t, e)
				x.remove(index)
				for old := range seen {
					_, e := x.byToken(old)
					require.Nil(t, e, "an ended exchange is found")
				}
			}
		})
	}
}
