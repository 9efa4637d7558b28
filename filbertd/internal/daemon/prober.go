package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"time"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/upstream"
)

// Timing and token size of probes.
const (
	// probeInterval is the mean interval between probes of an upstream. Probes
	// ask for its health and its load in turn.
	probeInterval = time.Second
	// probeCheckInterval is the interval at which due probes are sent.
	probeCheckInterval = 100 * time.Millisecond
	// probeTokenSize is the size of a probe's token in bytes. Tokens of
	// exchanges have another size, so that answers can be told apart.
	probeTokenSize = 4
)

// Paths of an upstream's probe endpoints.
const (
	pathHealth = "health"
	pathLoad   = "load"
)

// A prober schedules health and load probes of the upstreams kept here, which are
// those whose keeper is this balancer. Only the loop's goroutine uses it.
type prober struct {
	probes map[uint32]*probe
	rand   *rand.Rand
}

// A probe is the state of probing one upstream.
type probe struct {
	due time.Time
	// round is the number of the last probe. Even rounds ask for the health, odd
	// ones for the load.
	round uint32
	// pending is set while the probe of this round has no answer.
	pending bool
	// limit is the limiter's limit at the last probe.
	limit uint32
	// keptHere is set if the upstream has been seen among those kept here since
	// the last sweep.
	keptHere bool
}

// A probeReport is the JSON answer to GET /health or GET /load.
type probeReport struct {
	Generation  uint32 `json:"generation"`
	Requests    uint32 `json:"requests"`
	Connections uint32 `json:"connections"`
}

func newProber(r *rand.Rand) *prober {
	return &prober{
		probes: make(map[uint32]*probe),
		rand:   r,
	}
}

// next returns the state of an upstream's probe if one is due, and schedules the
// next one. If the probe before has no answer yet, it is reported to the limiter
// as lost.
func (p *prober) next(now time.Time, id uint32, limiter *upstream.Limiter) *probe {
	q := p.probes[id]
	if q == nil {
		q = &probe{due: now.Add(p.jitter())}
		p.probes[id] = q
	}
	q.keptHere = true
	if now.Before(q.due) {
		return nil
	}
	if q.pending {
		limiter.ProbeLost(now)
	}
	q.round++
	q.pending = true
	q.due = now.Add(probeInterval/2 + p.jitter())
	return q
}

// sweep removes the state of upstreams that are no longer kept here.
func (p *prober) sweep() {
	for id, q := range p.probes {
		if !q.keptHere {
			delete(p.probes, id)
		}
		q.keptHere = false
	}
}

// jitter returns a random duration below probeInterval.
func (p *prober) jitter() time.Duration {
	return time.Duration(p.rand.Int64N(int64(probeInterval)))
}

// token returns the CoAP token of the probe, which encodes its round.
func (q *probe) token() packet.Token {
	var b [probeTokenSize]byte
	binary.BigEndian.PutUint32(b[:], q.round)
	return packet.TokenOf(b[:])
}

func (q *probe) path() string {
	if q.round%2 == 0 {
		return pathHealth
	}
	return pathLoad
}

// probeUpstreams sends due probes to the upstreams kept here until ctx ends.
func (d *Daemon) probeUpstreams(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.call(ctx, d.sendProbes)
		case <-ctx.Done():
			return
		}
	}
}

// handleProbeAnswer processes an upstream's message if it is the answer to a
// probe, and reports whether it is. A late answer to an earlier probe is ignored.
func (d *Daemon) handleProbeAnswer(now time.Time, id uint32, r *coap.Response) bool {
	if r.Token.Size != probeTokenSize {
		return false
	}
	q := d.prober.probes[id]
	if q == nil || !q.pending || r.Token != q.token() {
		return true
	}
	q.pending = false
	p := d.balancer.Config().Upstream(id)
	if p.Upstream == nil {
		return true
	}
	limiter := d.balancer.Keeper().Limiter(p.Upstream)
	var report probeReport
	if err := json.Unmarshal(r.Payload, &report); err != nil {
		d.counters.add("probe", "malformed")
		return true
	}
	if limiter.ProbeAnswered(now, report.Generation) {
		d.counters.add("probe", "restarted")
		d.log.Infof("upstream: %s has restarted", p.Upstream.Name)
	}
	if q.path() == pathLoad {
		limiter.Reported(now, report.Requests, report.Connections)
	}
	return true
}

// sendProbes sends the probes that are due, unless the transport is fenced.
func (d *Daemon) sendProbes(now time.Time) {
	if d.transport.fenced {
		return
	}
	d.balancer.ForEachKept(now, func(_ *config.Service, u *config.Upstream, limiter *upstream.Limiter) {
		wasDown := limiter.Down()
		q := d.prober.next(now, u.ID, limiter)
		if limiter.Down() && !wasDown {
			d.counters.add("probe", "down")
			d.log.Warnf("upstream: %s does not answer probes", u.Name)
		}
		if q == nil {
			return
		}
		if limit := limiter.Limit(); limit != q.limit {
			d.log.Infof("upstream: %s: limit of concurrent requests is now %d, was %d", u.Name, limit, q.limit)
			q.limit = limit
		}
		d.counters.add("probe", "sent")
		id := d.balancer.Keeper().NextMessageID(u.ID)
		b, err := d.transport.writer.Probe(id, q.token(), q.path())
		if err != nil {
			d.counters.add("probe", "malformed")
			return
		}
		d.transport.sendToUpstream(u.ID, b)
	})
	d.prober.sweep()
}
