package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/load"
)

// FuzzParseLoadReport checks that no datagram crashes the parser or the collector, and that
// what was parsed is sent and parsed without change.
func FuzzParseLoadReport(f *testing.F) {
	for _, r := range []*load.Report{
		{},
		loadReport(3, false),
		loadReport(3, true),
		{
			Partial: true,
			Samples: []load.Sample{{Ticket: 1}},
		},
	} {
		datagrams, err := AppendLoadReport(nil, r, MaxLoadDatagram)
		require.NoError(f, err)
		f.Add(datagrams[0])
		f.Add(bytes.Repeat(datagrams[0], 2))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ParseLoadReport(data)
		if err != nil {
			require.ErrorIs(t, err, ErrLoadReport)
			return
		}
		for _, s := range r.Samples {
			require.NotZero(t, s.Ticket)
			require.GreaterOrEqual(t, s.Flows, 0)
			require.GreaterOrEqual(t, s.Working, 0.)
			require.Equal(t, s.Answers.Light.Answers > 0, s.Answers.Light.Ratio > 0)
		}
		load.NewCollector(1).AddReport(loadTime, r)
		datagrams, err := AppendLoadReport(nil, r, MaxLoadDatagram)
		require.NoError(t, err)
		var samples []load.Sample
		for _, data := range datagrams {
			again, err := ParseLoadReport(data)
			require.NoError(t, err)
			samples = append(samples, again.Samples...)
		}
		require.Len(t, samples, len(r.Samples))
		for i := range samples {
			require.Equal(t, r.Samples[i], samples[i])
		}
	})
}

// FuzzParseLoadDigest is the same for digests.
func FuzzParseLoadDigest(f *testing.F) {
	for _, d := range []*load.Digest{
		{},
		loadDigest(3, 2, 1),
		{
			Partial: true,
			Groups:  2,
			Totals:  []load.Total{{Ticket: 1}},
		},
	} {
		datagrams, err := AppendLoadDigest(nil, loadTime, d, MaxLoadDatagram)
		require.NoError(f, err)
		f.Add(datagrams[0])
		f.Add(bytes.Repeat(datagrams[0], 2))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseLoadDigest(loadTime, data)
		if err != nil {
			require.ErrorIs(t, err, ErrLoadDigest)
			return
		}
		for _, total := range d.Totals {
			require.NotZero(t, total.Ticket)
			require.GreaterOrEqual(t, total.Flows, 0)
			require.GreaterOrEqual(t, total.Capacity, 0.)
		}
		for _, z := range d.Zones {
			require.False(t, z.At.After(loadTime))
		}
		b := load.NewBook()
		b.Apply(loadTime, d)
		b.Upstream(loadTime, 1)
		datagrams, err := AppendLoadDigest(nil, loadTime, d, MaxLoadDatagram)
		require.NoError(t, err)
		var totals []load.Total
		var zones []load.ZoneTotal
		for _, data := range datagrams {
			again, err := ParseLoadDigest(loadTime, data)
			require.NoError(t, err)
			totals, zones = append(totals, again.Totals...), append(zones, again.Zones...)
		}
		require.ElementsMatch(t, d.Zones, zones)
		require.Len(t, totals, len(d.Totals))
		for i := range totals {
			require.Equal(t, d.Totals[i], totals[i])
		}
	})
}
