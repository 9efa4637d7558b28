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
	// probeTimeout bounds a probe: many round trips within a zone. One whose first
	// packet is lost has no result.
	probeTimeout = 150 * time.Millisecond
	// maxProbes is the number of probes at a time.
	maxProbes = 16
	// probeRing is the number of upstreams that wait to be probed; more are left
	// out, as their next unanswered packet asks again.
	probeRing = 64
)

// probe connects to upstreams that are doubted, until ctx ends.
func (d *Daemon) probe(ctx context.Context) {
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case u := <-d.probes.C():
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			d.duties.Go(func() {
				d.probeUpstream(ctx, u)
				<-slots
			})
		case <-ctx.Done():
			return
		}
	}
}

// probeUpstream tells the zone where an upstream refuses connections: nothing
// listens at its address. One that takes the connection gets nothing on it.
func (d *Daemon) probeUpstream(ctx context.Context, u *directory.Upstream) {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", u.Address.String())
	if err == nil {
		err = conn.Close()
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	d.log.Info(time.Now(), "upstream: probed", logs.F("upstream", u.ID), logs.F("refused", refused), logs.F("error", errorText(err)))
	if !refused {
		return
	}
	r := flow.Report{
		Ticket:   u.Ticket(),
		Refusals: 1,
	}
	d.call(func(now time.Time) { d.spread.report(now, &r) })
}

// probeTicket has an upstream probed.
func (d *Daemon) probeTicket(t directory.Ticket) {
	v := d.view.Load()
	if v == nil {
		return
	}
	if u := v.ByTicket(t); u != nil {
		d.probes.Offer(u)
	}
}

// errorText returns what err says; empty for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
