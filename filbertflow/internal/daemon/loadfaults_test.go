package daemon

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/load"
	"filbertworks.example/filbertworks/wire"
)

// TestMalformedLoadDatagrams guards against datagrams that can't be read, of which a part would
// count, or which would be passed on.
func TestMalformedLoadDatagrams(t *testing.T) {
	hosts := hostsOf("a", 3)
	x := newExchange(t, hosts, "a", "a", "a")
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 1)
	}
	x.run(startUp)
	p := x.collectors(groupID{zone: "a"})[0]
	report, err := wire.AppendLoadReport(nil, &load.Report{
		Sender:   7,
		Sequence: 1,
		Period:   busyReportInterval,
		Samples:  samplesOf(hosts, 40),
	}, maxDeltaSize)
	require.NoError(t, err)
	digest, err := wire.AppendLoadDigest(nil, x.now, &load.Digest{
		Origin:    7,
		Sequence:  1,
		Groups:    1,
		Balancers: 3,
		Totals: []load.Total{{
			Ticket:  hosts[0].Ticket(),
			Working: 40,
		}},
	}, maxDeltaSize)
	require.NoError(t, err)
	counted := p.daemon.counters.malformed.Load()
	for _, data := range [][]byte{
		report[0][:1+len(report[0])/2],
		digest[0][:len(digest[0])-1],
		append(slices.Clone(report[0]), make([]byte, maxDeltaSize)...),
		{report[0][0], 0xff},
		{digest[0][0], 0xff},
	} {
		counted++
		sent, notices, digests := p.daemon.counters.loadBytes.Load(), p.notices, p.daemon.counters.loadDigests.Load()
		p.daemon.syncer.handleDatagram(t.Context(), x.now, netip.AddrPort{}, data)
		x.deliver()
		require.Equal(t, counted, p.daemon.counters.malformed.Load())
		require.Equal(t, sent, p.daemon.counters.loadBytes.Load())
		require.Equal(t, digests, p.daemon.counters.loadDigests.Load())
		require.Equal(t, notices, p.notices)
	}
	passed := x.run(time.Second)
	x.requireTotals(passed)
	x.requireOrigins(passed, x.collectors(groupID{zone: "a"}))
}

// TestPauseDiscardsReports guards against a collector that tells after a pause what balancers
// reported before it.
func TestPauseDiscardsReports(t *testing.T) {
	hosts := hostsOf("a", 3)
	x := newExchange(t, hosts, "a", "a", "a")
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 2)
	}
	x.run(startUp)
	collectors := x.collectors(groupID{zone: "a"})
	paused := collectors[0]
	paused.stopped = true
	x.run(time.Second)
	for _, p := range x.peers {
		p.samples = nil
	}
	paused.stopped = false
	paused.daemon.syncer.loads.handleResume(x.now)
	passed := x.run(startUp)
	came := 0
	for _, digests := range x.digests(passed) {
		for _, d := range digests {
			if d.Origin == paused.daemon.incarnation {
				came++
				require.Empty(t, d.Totals)
				require.Equal(t, 3, d.Balancers)
			}
		}
	}
	require.Positive(t, came)
}

// TestLoadShareOff guards against a balancer that takes part although load.share is off, and
// against a zone that stops sharing because one of its balancers does not.
func TestLoadShareOff(t *testing.T) {
	hosts := hostsOf("a", 3)
	x := newExchange(t, hosts, "a", "a", "a", "a", "a")
	off := x.add("lb-off", "a", func(o *Options) { o.Load = LoadOptions{} })
	for _, p := range x.peers {
		p.samples = samplesOf(hosts, 1)
	}
	x.run(startUp)
	digests := x.digests(x.run(time.Second))
	require.Zero(t, off.requested)
	require.Zero(t, off.notices)
	require.Zero(t, off.daemon.counters.loadBytes.Load())
	require.Zero(t, off.daemon.counters.loadReports.Load())
	require.Zero(t, off.daemon.counters.loadDigests.Load())
	for _, p := range x.peers {
		if p != off {
			require.NotEmpty(t, digests[p], p.name)
		}
	}
}
