package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/filbertflow/internal/logs"
	"filbertworks.example/filbertworks/flow"
)

const (
	// maxProbes is the number of concurrent probes.
	maxProbes = 16
	// probeQueueSize is the number of upstreams that may wait for a probe;
	// further ones are skipped, as their next unanswered packet asks for a probe
	// again.
	probeQueueSize = 64
)

// A probeResult is the outcome of a probe.
type probeResult uint8

// Results of probes.
const (
	// probeAccepted means that a process listens at the upstream's address.
	probeAccepted probeResult = iota
	// probeRefused means that no process listens there.
	probeRefused
	// probeNoAnswer means that there was no answer.
	probeNoAnswer
)

// probeResultCount is the number of probe results.
const probeResultCount = int(probeNoAnswer) + 1

// String returns the name of r.
func (r probeResult) String() string {
	switch r {
	case probeRefused:
		return "refused"
	case probeNoAnswer:
		return "lost"
	default:
		return "taken"
	}
}

// probeResultOf returns the result of a connection attempt that returned err.
func probeResultOf(err error) probeResult {
	switch {
	case err == nil:
		return probeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	default:
		return probeNoAnswer
	}
}

// runProbes probes the queued upstreams until ctx ends.
func (d *Daemon) runProbes(ctx context.Context) {
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case u := <-d.probeQueue.C():
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			d.tasks.Go(func() {
				d.probeUpstream(ctx, u)
				<-slots
			})
		case <-ctx.Done():
			return
		}
	}
}

// probeUpstream connects to an upstream and reports it to the balancers that
// watch it if it refuses the connection: no process listens at its address. An
// accepted connection is closed without sending anything.
func (d *Daemon) probeUpstream(ctx context.Context, u *directory.Upstream) {
	startedAt := time.Now()
	dialer := net.Dialer{Timeout: flow.ProbeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", u.Address.String())
	if err == nil {
		err = conn.Close()
	}
	result := probeResultOf(err)
	d.counters.probes[result].Add(1)
	fields := []logs.Field{logs.F("upstream", u.ID), logs.F("address", u.Address), logs.F("result", result.String())}
	if result == probeNoAnswer {
		fields = append(fields, logs.F("error", err.Error()))
	}
	d.log.Info(time.Now(), "upstream: probed", fields...)
	d.recordProbe(startedAt, u, result)
	if result != probeRefused || u.Zone != d.options.Zone {
		return
	}
	r := flow.Report{
		Ticket:   u.Ticket(),
		Refusals: 1,
	}
	d.post(func(now time.Time) { d.syncer.sendReport(now, &r) })
}

// recordProbe tells the packet handler what a probe has shown. An accepted connection may be
// one to the next host at the address. A refused one shows nothing of a host that drains, which
// may stop listening before its last flows end, or that is in another zone, as a network cut
// may refuse it.
func (d *Daemon) recordProbe(startedAt time.Time, u *directory.Upstream, result probeResult) {
	v := d.view.Load()
	if v == nil {
		return
	}
	listed := v.ByAddress(u.Address)
	switch result {
	case probeAccepted:
		if listed == nil || listed.Ticket() != u.Ticket() {
			return
		}
	case probeRefused:
		if u.Zone != d.options.Zone || d.isDraining(u.Ticket()) {
			return
		}
	case probeNoAnswer:
	}
	d.queueNotice(func(t *packetHandler) { t.forwarder.RecordProbe(startedAt, u.Ticket(), result == probeAccepted) })
}

// queueProbe queues a probe of the upstream that a ticket identifies.
func (d *Daemon) queueProbe(t directory.Ticket) {
	v := d.view.Load()
	if v == nil {
		return
	}
	if u := v.ByTicket(t); u != nil {
		d.probeQueue.Offer(u)
	}
}
