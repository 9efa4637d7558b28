package upstream_test

import (
	"testing"
	"time"

	"filbertworks.example/filbertworks/upstream"
	"filbertworks.example/filbertworks/verdict"
)

// A policy is a concurrency limit that upstream.Limiter is compared with.
type policy struct {
	slots, limit, requests uint32
	answers                uint32
	started                time.Time
	average, baseline      time.Duration
	// change sets limit when a request has ended.
	change func(p *policy, now time.Time, r upstream.Result, latency time.Duration)
}

func (p *policy) AdmitRequest(now time.Time) verdict.Reason {
	if p.started.IsZero() {
		p.started = now
	}
	if p.requests >= p.limit {
		return verdict.ReasonBusy
	}
	p.requests++
	return verdict.ReasonNone
}

func (p *policy) EndRequest(now time.Time, r upstream.Result, latency time.Duration) {
	p.requests--
	p.change(p, now, r, latency)
	p.limit = min(max(1, p.limit), p.slots)
}

func (p *policy) Limit() uint32 { return p.limit }

// additive raises the limit by one after as many answers as the limit, and
// halves it on sheds and timeouts.
func additive(p *policy, _ time.Time, r upstream.Result, _ time.Duration) {
	if r != upstream.ResultAnswered {
		p.limit /= 2
		p.answers = 0
		return
	}
	p.answers++
	if p.answers >= p.limit {
		p.limit++
		p.answers = 0
	}
}

// ramp raises the limit by one each second, whatever the outcomes.
func ramp(p *policy, now time.Time, _ upstream.Result, _ time.Duration) {
	p.limit = 1 + uint32(now.Sub(p.started)/time.Second)
}

// gradient scales the limit by the ratio of the baseline latency to the current
// latency.
func gradient(p *policy, _ time.Time, r upstream.Result, latency time.Duration) {
	if r != upstream.ResultAnswered {
		p.limit /= 2
		return
	}
	if p.average == 0 {
		p.average, p.baseline = latency, latency
	}
	p.average += (latency - p.average) / 16
	p.baseline += (latency - p.baseline) / 256
	p.answers++
	if p.answers%8 == 0 {
		ratio := min(1, float64(p.baseline)/float64(max(1, p.average)))
		p.limit = uint32(float64(p.limit)*max(0.5, ratio)) + 1
	}
}

// BenchmarkPolicies compares policies on 100 hosts of 4 slots, each restarted
// unnoticed 5 times. It reports overloads, sheds and lost requests for each
// restart, and the answers as a fraction of the smaller of the hosts' capacity
// and the offered load.
func BenchmarkPolicies(b *testing.B) {
	const hosts, restarts, slots = 100, 5, 4
	policies := []struct {
		name   string
		change func(*policy, time.Time, upstream.Result, time.Duration)
	}{
		{name: "limiter"},
		{
			name:   "additive",
			change: additive,
		},
		{
			name:   "ramp",
			change: ramp,
		},
		{
			name:   "gradient",
			change: gradient,
		},
	}
	for _, load := range []struct {
		name string
		rate float64
	}{
		{
			name: "load=0.7",
			rate: 0.7,
		},
		{
			name: "load=3",
			rate: 3,
		},
	} {
		for _, p := range policies {
			b.Run(load.name+"/policy="+p.name, func(b *testing.B) {
				for b.Loop() {
					var overloads, sheds, lost, done, due float64
					for seed := range uint64(hosts) {
						s := newSimulation(seed, slots, 20*time.Millisecond)
						if p.change != nil {
							s.limiter = &policy{
								slots:  slots,
								limit:  1,
								change: p.change,
							}
						}
						for range restarts {
							s.run(12*time.Second, load.rate*s.capacity())
							s.host.restart()
						}
						overloads += float64(s.host.overloads)
						sheds += float64(s.shed)
						lost += float64(s.lost)
						done += float64(s.done)
						due += min(1, load.rate) * s.capacity() * (restarts * 12)
					}
					b.ReportMetric(overloads/(hosts*restarts), "overloads/restart")
					b.ReportMetric(sheds/(hosts*restarts), "sheds/restart")
					b.ReportMetric(lost/(hosts*restarts), "lost/restart")
					b.ReportMetric(done/due, "answered/due")
				}
			})
		}
	}
}
