package capacity_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// equalLength is the length of TestEqualHosts; a minute of it replays 60 upstreams for a
// minute in each case.
var equalLength = flag.Duration("capacity.equal", time.Minute, "replay equal hosts for this long")

func TestEqualHosts(t *testing.T) {
	for _, test := range []struct {
		name     string
		work     time.Duration
		rate     float64
		interval time.Duration
	}{
		{
			name:     "short work",
			work:     5 * time.Millisecond,
			rate:     12,
			interval: 250 * time.Millisecond,
		},
		{
			name:     "usual work",
			work:     20 * time.Millisecond,
			rate:     12,
			interval: time.Second,
		},
		{
			name:     "half of the slots busy",
			work:     60 * time.Millisecond,
			rate:     30,
			interval: 250 * time.Millisecond,
		},
		{
			name:     "all requests that hosts get",
			work:     30 * time.Millisecond,
			rate:     45,
			interval: 250 * time.Millisecond,
		},
	} {
		for _, balancers := range zoneSizes {
			t.Run(fmt.Sprintf("%s/%d", test.name, balancers), func(t *testing.T) {
				t.Parallel()
				z := newZone(balancers, *seed)
				z.hosts = 60
				z.rate = test.rate
				z.interval = test.interval
				z.routes = []route{
					{
						work:  test.work,
						sigma: 0.5,
						share: 1,
					},
				}
				low := make(map[int]bool)
				found := 0
				z.run(*equalLength, func(time.Duration) {
					for host := range z.hosts {
						is := z.share(host) < 0.8
						if is && !low[host] {
							found++
						}
						low[host] = is
					}
				})
				minutes := equalLength.Minutes() * float64(z.hosts)
				t.Logf("%d found slow in %.0f minutes of upstreams", found, minutes)
				require.LessOrEqual(t, found, int(minutes/1000))
			})
		}
	}
}
