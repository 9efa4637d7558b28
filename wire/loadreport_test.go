package wire

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/load"
)

// loadTime is when digests are sent and come.
var loadTime = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// loadReport returns a report on n hosts. With answers, it includes what is sent once a second.
func loadReport(n int, answers bool) *load.Report {
	r := &load.Report{
		Sender:   1 << 60,
		Sequence: 100000,
		Period:   250 * time.Millisecond,
	}
	for i := range n {
		s := load.Sample{
			Ticket:  directory.Ticket(1<<31 + i),
			Flows:   3 + i%20,
			Working: float64(1+i%60) / 16,
		}
		if answers {
			s.Answers = capacity.Observation{
				Light: capacity.Cell{
					Answers: 3 + i%50,
					Ratio:   1.25,
				},
				Loaded: capacity.Cell{
					Answers: 2 + i%30,
					Ratio:   0.8,
				},
				Quick: i % 3,
			}
		}
		r.Samples = append(r.Samples, s)
	}
	return r
}

// loadDigest returns a digest on n hosts, of which each slowEvery-th is slow, with totals of
// services of two other zones.
func loadDigest(n, slowEvery, services int) *load.Digest {
	d := &load.Digest{
		Origin:    1 << 60,
		Sequence:  100000,
		Groups:    1,
		Balancers: 27,
	}
	for i := range n {
		t := load.Total{
			Ticket:  directory.Ticket(1<<31 + i),
			Flows:   20 + i%200,
			Working: 4 + float64(i%160)/16,
		}
		if i%slowEvery == 0 {
			t.Capacity, t.Answers = 3, 40
		}
		d.Totals = append(d.Totals, t)
	}
	for _, zone := range []string{"eu-west-1b", "eu-west-1c"} {
		for i := range services {
			d.Zones = append(d.Zones, load.ZoneTotal{
				Zone:     zone,
				Service:  "service-" + string(rune('a'+i)),
				Working:  150,
				Capacity: 300,
				At:       loadTime.Add(-200 * time.Millisecond),
			})
		}
	}
	return d
}

// TestLoadReportRoundTrip guards against values that change on the way, and against parts of a
// report that count as a whole one.
func TestLoadReportRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name   string
		report *load.Report
		parts  int
	}{
		{
			name:   "no host",
			report: loadReport(0, false),
			parts:  1,
		},
		{
			name:   "one datagram",
			report: loadReport(50, true),
			parts:  1,
		},
		{
			name:   "two datagrams",
			report: loadReport(128, true),
			parts:  2,
		},
		{
			name:   "several datagrams",
			report: loadReport(500, true),
			parts:  8,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			datagrams, err := AppendLoadReport(nil, test.report, MaxLoadDatagram)
			require.NoError(t, err)
			require.Len(t, datagrams, test.parts)
			var samples []load.Sample
			for _, data := range datagrams {
				require.LessOrEqual(t, len(data), MaxLoadDatagram)
				require.True(t, IsLoadReport(data))
				require.False(t, IsLoadDigest(data))
				r, err := ParseLoadReport(data)
				require.NoError(t, err)
				require.Equal(t, test.report.Sender, r.Sender)
				require.Equal(t, test.report.Sequence, r.Sequence)
				require.Equal(t, test.report.Period, r.Period)
				require.Equal(t, test.parts > 1, r.Partial)
				samples = append(samples, r.Samples...)
			}
			require.Len(t, samples, len(test.report.Samples))
			for i, s := range test.report.Samples {
				got := samples[i]
				// Ratios are sent in steps of a sixteenth of an octave.
				require.InEpsilon(t, s.Answers.Light.Ratio, got.Answers.Light.Ratio, 0.03)
				require.InEpsilon(t, s.Answers.Loaded.Ratio, got.Answers.Loaded.Ratio, 0.03)
				got.Answers.Light.Ratio, got.Answers.Loaded.Ratio = s.Answers.Light.Ratio, s.Answers.Loaded.Ratio
				require.Equal(t, s, got)
			}
		})
	}
}

// TestLoadDigestRoundTrip is the same for digests.
func TestLoadDigestRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name   string
		digest *load.Digest
		parts  int
	}{
		{
			name:   "idle",
			digest: loadDigest(0, 1, 0),
			parts:  1,
		},
		{
			name:   "only zones",
			digest: loadDigest(0, 1, 4),
			parts:  1,
		},
		{
			name:   "one datagram",
			digest: loadDigest(50, 5, 4),
			parts:  1,
		},
		{
			name:   "two datagrams",
			digest: loadDigest(140, 5, 4),
			parts:  2,
		},
		{
			name:   "several datagrams",
			digest: loadDigest(300, 1, 20),
			parts:  4,
		},
		{
			name:   "many zones",
			digest: loadDigest(1, 1, 25),
			parts:  2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			datagrams, err := AppendLoadDigest(nil, loadTime, test.digest, MaxLoadDatagram)
			require.NoError(t, err)
			require.Len(t, datagrams, test.parts)
			got := *test.digest
			got.Totals, got.Zones, got.Partial = []load.Total{}, nil, test.parts > 1
			for _, data := range datagrams {
				require.LessOrEqual(t, len(data), MaxLoadDatagram)
				require.True(t, IsLoadDigest(data))
				require.False(t, IsLoadReport(data))
				d, err := ParseLoadDigest(loadTime, data)
				require.NoError(t, err)
				got.Totals, got.Zones = append(got.Totals, d.Totals...), append(got.Zones, d.Zones...)
				d.Totals, d.Zones = got.Totals, got.Zones
				require.Equal(t, got, *d)
			}
			want := *test.digest
			want.Totals, want.Partial = append([]load.Total{}, want.Totals...), test.parts > 1
			require.Equal(t, want, got)
		})
	}
}

// TestPartsOfLoadReport guards against a collector or a book that keeps one part only of a
// message that was split.
func TestPartsOfLoadReport(t *testing.T) {
	r := loadReport(128, true)
	hosts := make([]*directory.Upstream, len(r.Samples))
	for i, s := range r.Samples {
		// The hex digits of the ID make up the ticket.
		hosts[i] = &directory.Upstream{
			ID:    hexID(s.Ticket),
			Slots: 64,
		}
		require.Equal(t, s.Ticket, hosts[i].Ticket())
	}
	c, b := load.NewCollector(1), load.NewBook()
	for n := range 3 {
		now := loadTime.Add(time.Duration(n) * 250 * time.Millisecond)
		r.Sequence++
		datagrams, err := AppendLoadReport(nil, r, MaxLoadDatagram)
		require.NoError(t, err)
		require.Len(t, datagrams, 2)
		for _, data := range datagrams {
			part, err := ParseLoadReport(data)
			require.NoError(t, err)
			c.AddReport(now, part)
		}
	}
	now := loadTime.Add(500 * time.Millisecond)
	d, ok := c.Digest(now, 0, 1, hosts, 1)
	require.True(t, ok)
	require.Len(t, d.Totals, len(hosts))
	datagrams, err := AppendLoadDigest(nil, now, &d, 600)
	require.NoError(t, err)
	require.Len(t, datagrams, 2)
	for _, data := range datagrams {
		part, err := ParseLoadDigest(now, data)
		require.NoError(t, err)
		require.True(t, b.Apply(now, part))
	}
	for _, s := range r.Samples {
		e := b.Upstream(now, s.Ticket)
		require.Zero(t, e.Flows-float64(s.Flows))
		require.Zero(t, e.Working-s.Working)
	}
}

// hexID returns the ID of a host with a ticket.
func hexID(t directory.Ticket) string {
	const digits = "0123456789abcdef"
	id := []byte("i-")
	for shift := 28; shift >= 0; shift -= 4 {
		id = append(id, digits[t>>shift&15])
	}
	return string(id)
}

// TestLoadValuesOutOfRange guards against values that overflow in messages or take effect when
// they come.
func TestLoadValuesOutOfRange(t *testing.T) {
	for _, test := range []struct {
		name string
		in   load.Sample
		out  load.Sample
	}{
		{
			name: "huge",
			in: load.Sample{
				Ticket:  1,
				Flows:   math.MaxInt,
				Working: math.Inf(1),
				Answers: capacity.Observation{
					Light: capacity.Cell{
						Answers: math.MaxInt,
						Ratio:   math.Inf(1),
					},
					Quick: math.MaxInt,
				},
			},
			out: load.Sample{
				Ticket:  1,
				Flows:   maxLoadFlows,
				Working: maxLoadWorking,
				Answers: capacity.Observation{
					Light: capacity.Cell{
						Answers: maxLoadAnswers,
						Ratio:   1024,
					},
					Quick: maxLoadAnswers,
				},
			},
		},
		{
			name: "negative",
			in: load.Sample{
				Ticket:  1,
				Flows:   math.MinInt,
				Working: math.Inf(-1),
				Answers: capacity.Observation{
					Loaded: capacity.Cell{
						Answers: -1,
						Ratio:   1,
					},
					Quick: math.MinInt,
				},
			},
			out: load.Sample{Ticket: 1},
		},
		{
			name: "not a number",
			in: load.Sample{
				Ticket:  1,
				Working: math.NaN(),
				Answers: capacity.Observation{
					Light: capacity.Cell{
						Answers: 1,
						Ratio:   math.NaN(),
					},
					Loaded: capacity.Cell{
						Answers: 1,
						Ratio:   -1,
					},
				},
			},
			out: load.Sample{Ticket: 1},
		},
		{
			name: "nearly zero",
			in: load.Sample{
				Ticket: 1,
				Answers: capacity.Observation{
					Light: capacity.Cell{
						Answers: 1,
						Ratio:   math.SmallestNonzeroFloat64,
					},
				},
			},
			out: load.Sample{
				Ticket: 1,
				Answers: capacity.Observation{
					Light: capacity.Cell{
						Answers: 1,
						Ratio:   1. / 1024,
					},
				},
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			datagrams, err := AppendLoadReport(nil, &load.Report{
				Period:  -time.Second,
				Samples: []load.Sample{test.in},
			}, MaxLoadDatagram)
			require.NoError(t, err)
			r, err := ParseLoadReport(datagrams[0])
			require.NoError(t, err)
			require.Equal(t, []load.Sample{test.out}, r.Samples)
			require.Zero(t, r.Period)
		})
	}
	t.Run("decoded", func(t *testing.T) {
		data, err := marshalLoad(loadReportFormat, &LoadReport{
			Period:       math.MaxUint32,
			Tickets:      []uint32{1},
			Flows:        []uint32{math.MaxUint32},
			Working:      []uint32{math.MaxUint32},
			Loaded:       []uint32{math.MaxUint32},
			LoadedRatios: []int32{math.MinInt32},
		})
		require.NoError(t, err)
		r, err := ParseLoadReport(data)
		require.NoError(t, err)
		require.Equal(t, &load.Report{
			Period: maxLoadPeriod,
			Samples: []load.Sample{{
				Ticket:  1,
				Flows:   maxLoadFlows,
				Working: maxLoadWorking,
				Answers: capacity.Observation{
					Loaded: capacity.Cell{
						Answers: maxLoadAnswers,
						Ratio:   1. / 1024,
					},
				},
			}},
		}, r)
	})
	t.Run("decoded digest", func(t *testing.T) {
		data, err := marshalLoad(loadDigestFormat, &LoadDigest{
			Group:      math.MaxUint32,
			Groups:     math.MaxUint32,
			Balancers:  math.MaxUint32,
			Tickets:    []uint32{1},
			Flows:      []uint32{math.MaxUint32},
			Capacities: []uint32{math.MaxUint32},
			Answers:    []uint32{math.MaxUint32},
			Zones: []*ZoneLoad{{
				Group:   math.MaxUint32,
				Working: math.MaxUint32,
				Age:     math.MaxUint32,
			}},
		})
		require.NoError(t, err)
		d, err := ParseLoadDigest(loadTime, data)
		require.NoError(t, err)
		require.Equal(t, &load.Digest{
			Group:     maxLoadNumber,
			Groups:    maxLoadNumber,
			Balancers: maxLoadNumber,
			Totals: []load.Total{{
				Ticket:   1,
				Flows:    maxTotalFlows,
				Capacity: maxLoadWorking,
				Answers:  maxLoadAnswers,
			}},
			Zones: []load.ZoneTotal{{
				Group:   maxLoadNumber,
				Working: maxLoadWorking,
				At:      loadTime.Add(-maxLoadAge),
			}},
		}, d)
	})
}

// TestSmallestCapacity guards against a host that counts as usual because what it takes rounds
// to zero.
func TestSmallestCapacity(t *testing.T) {
	datagrams, err := AppendLoadDigest(nil, loadTime, &load.Digest{
		Groups: 1,
		Totals: []load.Total{{
			Ticket:   1,
			Capacity: 0.01,
		}},
	}, MaxLoadDatagram)
	require.NoError(t, err)
	d, err := ParseLoadDigest(loadTime, datagrams[0])
	require.NoError(t, err)
	require.Positive(t, d.Totals[0].Capacity)
}

// TestMalformedLoad guards against datagrams that crash a balancer or are half understood.
func TestMalformedLoad(t *testing.T) {
	report := func(x *LoadReport) []byte {
		data, err := marshalLoad(loadReportFormat, x)
		require.NoError(t, err)
		return data
	}
	digest := func(x *LoadDigest) []byte {
		data, err := marshalLoad(loadDigestFormat, x)
		require.NoError(t, err)
		return data
	}
	for _, test := range []struct {
		name string
		data []byte
	}{
		{
			name: "empty",
		},
		{
			name: "other format",
			data: []byte{healthFormat},
		},
		{
			name: "truncated report",
			data: report(&LoadReport{Sender: 1})[:5],
		},
		{
			name: "truncated digest",
			data: digest(&LoadDigest{Origin: 1})[:5],
		},
		{
			name: "report with a short column",
			data: report(&LoadReport{Tickets: []uint32{1, 2}, Flows: []uint32{1}}),
		},
		{
			name: "report with a long column",
			data: report(&LoadReport{Tickets: []uint32{1}, LightRatios: []int32{1, 2}}),
		},
		{
			name: "report without tickets",
			data: report(&LoadReport{Quick: []uint32{1}}),
		},
		{
			name: "digest with a short column",
			data: digest(&LoadDigest{Tickets: []uint32{1, 2}, Answers: []uint32{1}}),
		},
		{
			name: "digest without tickets",
			data: digest(&LoadDigest{Capacities: []uint32{1}}),
		},
		{
			name: "digest with a long name",
			data: digest(&LoadDigest{Zones: []*ZoneLoad{{Zone: string(make([]byte, maxLoadName+1))}}}),
		},
		{
			name: "oversized report",
			data: report(&LoadReport{Tickets: make([]uint32, 300)}),
		},
		{
			name: "oversized digest",
			data: digest(&LoadDigest{Tickets: make([]uint32, 300)}),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseLoadReport(test.data)
			require.ErrorIs(t, err, ErrLoadReport)
			_, err = ParseLoadDigest(loadTime, test.data)
			require.ErrorIs(t, err, ErrLoadDigest)
		})
	}
}

// TestSlowHostsOfZones guards against slow hosts of other zones that are lost on their way, and
// against columns that don't belong together.
func TestSlowHostsOfZones(t *testing.T) {
	d := &load.Digest{
		Origin:   1,
		Sequence: 1,
		Zones: []load.ZoneTotal{{
			Zone:     "b",
			Service:  "board",
			Working:  1.5,
			Capacity: 8,
			Free:     2.25,
			Slow: []load.SlowHost{{
				Ticket:   7,
				Capacity: 0.5,
			}},
			At: loadTime,
		}},
	}
	datagrams, err := AppendLoadDigest(nil, loadTime, d, MaxLoadDatagram)
	require.NoError(t, err)
	require.Len(t, datagrams, 1)
	parsed, err := ParseLoadDigest(loadTime, datagrams[0])
	require.NoError(t, err)
	require.Equal(t, d.Zones, parsed.Zones)
	uneven, err := marshalLoad(loadDigestFormat, &LoadDigest{Zones: []*ZoneLoad{{Slow: []uint32{7}}}})
	require.NoError(t, err)
	_, err = ParseLoadDigest(loadTime, uneven)
	require.ErrorIs(t, err, ErrLoadDigest)
}
