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

// Pace of probes.
const (
	// probeInterval is the mean time between two probes of an upstream; health
	// and load take turns.
	probeInterval = time.Second
	// probeCheckInterval is the time between two looks at what is due.
	probeCheckInterval = 100 * time.Millisecond
	// probeTokenSize differs from the size of an exchange's token, in bytes.
	probeTokenSize = 4
)

// Paths of an upstream's endpoints.
const (
	pathHealth = "health"
	pathLoad   = "load"
)

// A prober asks the upstreams kept here for their health and load. It belongs
// to the loop's goroutine.
type prober struct {
	probes map[uint32]*probe
	rand   *rand.Rand
}

// A probe is the state of probing one upstream.
type probe struct {
	due time.Time
	// round numbers the probes; even rounds ask for the health.
	round uint32
	// pending tells that the probe of this round has no answer yet.
	pending bool
	// limit is that of the gate at the last probe.
	limit uint32
	// keptHere tells that the upstream was kept here at the last look.
	keptHere bool
}

// A probeReport is the answer of GET /health or GET /load.
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

// next returns the probe of an upstream if it is due, and sets when the next
// one is; a probe without an answer by then is lost.
func (p *prober) next(now time.Time, id uint32, g *upstream.Limiter) *probe {
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
		g.ProbeLost(now)
	}
	q.round++
	q.pending = true
	q.due = now.Add(probeInterval/2 + p.jitter())
	return q
}

// sweep forgets the upstreams that are not kept here any more.
func (p *prober) sweep() {
	for id, q := range p.probes {
		if !q.keptHere {
			delete(p.probes, id)
		}
		q.keptHere = false
	}
}

// jitter returns a time of up to probeInterval.
func (p *prober) jitter() time.Duration {
	return time.Duration(p.rand.Int64N(int64(probeInterval)))
}

// token names the probe of a round.
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

// probeUpstreams asks the upstreams kept here at a bounded rate.
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

// handleProbeAnswer takes an upstream's message and reports whether it answers a
// probe.
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
	g := d.balancer.Keeper().Limiter(p.Upstream)
	var report probeReport
	if err := json.Unmarshal(r.Payload, &report); err != nil {
		d.counters.add("probe", "malformed")
		return true
	}
	if g.ProbeAnswered(now, report.Generation) {
		d.counters.add("probe", "restarted")
		d.log.Infof("upstream: %s has restarted", p.Upstream.Name)
	}
	if q.path() == pathLoad {
		g.Reported(now, report.Requests, report.Connections)
	}
	return true
}

func (d *Daemon) sendProbes(now time.Time) {
	if d.transport.fenced {
		return
	}
	d.balancer.ForEachKept(now, func(_ *config.Service, u *config.Upstream, g *upstream.Limiter) {
		wasDown := g.Down()
		q := d.prober.next(now, u.ID, g)
		if g.Down() && !wasDown {
			d.counters.add("probe", "down")
			d.log.Warnf("upstream: %s answers nothing", u.Name)
		}
		if q == nil {
			return
		}
		if limit := g.Limit(); limit != q.limit {
			d.log.Infof("upstream: %s is given up to %d requests at once, %d before", u.Name, limit, q.limit)
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
