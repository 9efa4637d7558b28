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
	// probeTimeout bounds a probe: many round trips within a zone. A probe whose
	// first packet is lost has no result.
	probeTimeout = 150 * time.Millisecond
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
	dialer := net.Dialer{Timeout: probeTimeout}
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
	if result != probeRefused {
		return
	}
	r := flow.Report{
		Ticket:   u.Ticket(),
		Refusals: 1,
	}
	d.post(func(now time.Time) { d.syncer.sendReport(now, &r) })
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
