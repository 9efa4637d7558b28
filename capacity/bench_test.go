package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"filbertworks.example/filbertworks/capacity"
	"filbertworks.example/filbertworks/directory"
)

// BenchmarkObserve measures one answer of a known upstream and route, among 120 hosts and
// 8 routes.
func BenchmarkObserve(b *testing.B) {
	l := capacity.NewLearner()
	answers := make([]capacity.Answer, 960)
	for i := range answers {
		answers[i] = capacity.Answer{
			Ticket:  directory.Ticket(i%120 + 1),
			Service: "board",
			Route:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i % 8)}), 443),
			Time:    time.Duration(20+i%7) * time.Millisecond,
			Working: float64(i % 5),
			Slots:   4,
		}
	}
	now := epoch
	for i := range 10 * len(answers) {
		l.Observe(now, &answers[i%len(answers)])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Observe(now, &answers[i%len(answers)])
		i++
	}
}

// BenchmarkEstimate measures the estimates of one group with a full history, at 12 answers
// per second and host.
func BenchmarkEstimate(b *testing.B) {
	for _, test := range []struct{ balancers, hosts int }{
		{balancers: 27, hosts: 50},
		{balancers: 27, hosts: 128},
		{balancers: 500, hosts: 128},
	} {
		b.Run(fmt.Sprintf("balancers=%d/hosts=%d", test.balancers, test.hosts), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			e := capacity.NewEstimator()
			hosts := make([]*directory.Upstream, test.hosts)
			for i := range hosts {
				hosts[i] = &directory.Upstream{
					ID:      fmt.Sprintf("i-%06x", i+1),
					Service: "board",
					Slots:   4,
				}
			}
			for at := time.Duration(0); at < 16*time.Second; at += 250 * time.Millisecond {
				for _, u := range hosts {
					for range 3 {
						e.Add(epoch.Add(at), random.Uint64N(uint64(test.balancers)), u.Ticket(), capacity.Observation{
							Light: capacity.Cell{
								Answers: 1,
								Ratio:   0.7 + 0.6*random.Float64(),
							},
						})
					}
				}
			}
			now := epoch.Add(16 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				e.Estimate(now, hosts)
			}
		})
	}
}
