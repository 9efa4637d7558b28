package wire

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// TestLoadSize guards against endless splitting of what fits into no datagram.
func TestLoadSize(t *testing.T) {
	_, err := AppendLoadReport(nil, loadReport(10, true), 20)
	require.ErrorIs(t, err, ErrLoadSize)
	_, err = AppendLoadDigest(nil, loadTime, loadDigest(10, 1, 1), 20)
	require.ErrorIs(t, err, ErrLoadSize)
	_, err = AppendLoadDigest(nil, loadTime, &load.Digest{Zones: []load.ZoneTotal{{
		Zone: string(make([]byte, maxLoadName+1)),
	}}}, MaxLoadDatagram)
	require.ErrorIs(t, err, ErrLoadSize)
	datagrams, err := AppendLoadReport(nil, loadReport(500, true), math.MaxInt)
	require.NoError(t, err)
	require.Greater(t, len(datagrams), 1)
}

// TestFullLoadMessages guards against messages on a zone of 50 hosts that need two datagrams
// where every balancer has work at every host. The figures are those of
// docs/design/shared-load.md.
func TestFullLoadMessages(t *testing.T) {
	report, err := AppendLoadReport(nil, loadReport(50, true), MaxLoadDatagram)
	require.NoError(t, err)
	digest, err := AppendLoadDigest(nil, loadTime, loadDigest(50, 10, 3), MaxLoadDatagram)
	require.NoError(t, err)
	require.Len(t, report, 1)
	require.Len(t, digest, 1)
	t.Logf("bytes: report %d, digest %d", len(report[0]), len(digest[0]))
	require.LessOrEqual(t, len(report[0]), 600)
	require.LessOrEqual(t, len(digest[0]), 650)
}

// A traffic is a zone for which TestLoadTraffic counts bytes.
type traffic struct {
	balancers, hosts, zones int
	// utilization is the share of the slots in use, and period the time between reports of
	// a balancer to a collector and between digests of a group.
	utilization float64
	period      time.Duration
	// copies is the number of collectors that get each report.
	copies int
	// withoutZones reports whether digests have no totals of other zones.
	withoutZones bool
}

// bytesPerSecond returns what a balancer of the zone sends, in bytes a second: the payload, and
// the payload with the headers of IPv4 and UDP. Reports are of hosts with 2 slots and work of
// 60 ms, with 5 open flows at full use, as in deploy/loads.
func (v *traffic) bytesPerSecond(t *testing.T) (payload, total float64) {
	t.Helper()
	const (
		rounds   = 12
		services = 3
		headers  = 28
	)
	random := rand.New(rand.NewPCG(1, 1))
	hosts := make([]*directory.Upstream, v.hosts)
	for i := range hosts {
		hosts[i] = &directory.Upstream{
			ID:      hexID(directory.Ticket(random.Uint32() | 1)),
			Service: "service-" + string(rune('a'+i%services)),
			Slots:   2,
		}
	}
	groups := load.Groups(v.hosts)
	var datagrams [][]byte
	var err error
	for group := range groups {
		c := load.NewCollector(1 << 60)
		var members []*directory.Upstream
		for _, h := range hosts {
			if load.GroupOf(h.Ticket(), groups) == group {
				members = append(members, h)
			}
		}
		for n := range rounds {
			now := loadTime.Add(time.Duration(n) * v.period)
			for b := range v.balancers {
				r := &load.Report{
					Sender:   1<<60 + uint64(b),
					Sequence: uint32(100000 + n),
					Period:   v.period,
				}
				for _, h := range members {
					if s := v.sample(random); s != (load.Sample{}) {
						s.Ticket = h.Ticket()
						r.Samples = append(r.Samples, s)
					}
				}
				c.AddReport(now, r)
				if b == 0 && n > 0 {
					for range v.copies {
						datagrams, err = AppendLoadReport(datagrams, r, MaxLoadDatagram)
						require.NoError(t, err)
					}
				}
			}
			if n == 0 {
				continue
			}
			// The totals of other zones are in the digests of one group.
			for zone := range v.zones - 1 {
				for service := range services * groups {
					if group == 0 && !v.withoutZones {
						c.AddZone(now, load.ZoneTotal{
							Zone:     "eu-west-1" + string(rune('b'+zone)),
							Service:  "service-" + string(rune('a'+service%services)),
							Group:    service / services,
							Working:  60,
							Capacity: 100,
							At:       now.Add(-200 * time.Millisecond),
						})
					}
				}
			}
			d, ok := c.Digest(now, group, groups, members, v.balancers)
			require.True(t, ok)
			datagrams, err = AppendLoadDigest(datagrams, now, &d, MaxLoadDatagram)
			require.NoError(t, err)
		}
	}
	seconds := (rounds - 1) * v.period.Seconds()
	for _, data := range datagrams {
		payload += float64(len(data)) / seconds
		total += float64(len(data)+headers) / seconds
	}
	// The collectors send their own zone's totals to both collectors of each other zone.
	own := &load.Digest{
		Origin:   1 << 60,
		Sequence: 100000,
	}
	for range services {
		own.Zones = append(own.Zones, load.ZoneTotal{
			Zone:     "eu-west-1a",
			Service:  "service-a",
			Working:  60,
			Capacity: 100,
			At:       loadTime,
		})
	}
	rows, err := AppendLoadDigest(nil, loadTime, own, MaxLoadDatagram)
	require.NoError(t, err)
	sent := float64(2*(v.zones-1)*groups) / v.period.Seconds() / float64(v.balancers)
	return payload + sent*float64(len(rows[0])), total + sent*float64(len(rows[0])+headers)
}

// sample returns what a balancer sees of one host in one period, without the ticket.
func (v *traffic) sample(random *rand.Rand) load.Sample {
	const slots, work, flows = 2, 0.06, 5
	requests := poisson(random, v.utilization*slots/work*v.period.Seconds()/float64(v.balancers))
	s := load.Sample{
		Flows:   poisson(random, v.utilization*flows/float64(v.balancers)),
		Working: float64(requests) * work / v.period.Seconds(),
	}
	for range requests {
		cell := &s.Answers.Light
		if random.Float64() < v.utilization {
			cell = &s.Answers.Loaded
		}
		cell.Answers++
		cell.Ratio = 0.5 + random.Float64()
	}
	return s
}

// poisson returns a number with a mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}

// TestLoadTraffic guards against messages that take more of a small link than the limit of
// 2 kB/s on average over a day of which a quarter is busy, at 80 balancers and 150 hosts. The
// figures are those of docs/design/shared-load.md.
func TestLoadTraffic(t *testing.T) {
	const limit = 2000
	small, large := traffic{
		balancers: 27,
		hosts:     50,
		zones:     3,
		copies:    2,
	}, traffic{
		balancers: 100,
		hosts:     160,
		zones:     3,
		copies:    2,
	}
	inTurn, withoutZones := small, small
	inTurn.copies, withoutZones.withoutZones = 1, true
	largeInTurn := large
	largeInTurn.copies = 1
	for _, test := range []struct {
		name string
		zone traffic
		// quiet and busy limit the payload in bytes a second.
		quiet, busy, average float64
	}{
		{
			name:    "80 balancers, 150 hosts",
			zone:    small,
			quiet:   1100,
			busy:    3800,
			average: limit,
		},
		{
			name:    "80 balancers, 150 hosts, reports to both collectors in turn",
			zone:    inTurn,
			quiet:   800,
			busy:    3100,
			average: limit,
		},
		{
			name:    "80 balancers, 150 hosts, no zone totals",
			zone:    withoutZones,
			quiet:   900,
			busy:    3000,
			average: limit,
		},
		{
			name:    "300 balancers, 480 hosts",
			zone:    large,
			quiet:   2200,
			busy:    8000,
			average: 2 * limit,
		},
		{
			name:    "300 balancers, 480 hosts, reports to both collectors in turn",
			zone:    largeInTurn,
			quiet:   1900,
			busy:    7200,
			average: 2 * limit,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			quiet, busy := test.zone, test.zone
			quiet.utilization, quiet.period = 0.4, time.Second
			busy.utilization, busy.period = 1, 250*time.Millisecond
			quietPayload, quietTotal := quiet.bytesPerSecond(t)
			busyPayload, busyTotal := busy.bytesPerSecond(t)
			average := 0.75*quietPayload + 0.25*busyPayload
			t.Logf("bytes a second: quiet %.0f, with headers %.0f; busy %.0f, with headers %.0f; average %.0f",
				quietPayload, quietTotal, busyPayload, busyTotal, average)
			require.LessOrEqual(t, quietPayload, test.quiet)
			require.LessOrEqual(t, busyPayload, test.busy)
			require.LessOrEqual(t, average, test.average)
		})
	}
}
