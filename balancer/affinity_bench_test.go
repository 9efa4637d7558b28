package balancer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/placement"
)

// Parameters of the comparison.
const (
	methodFlows = 100_000
	methodNodes = 8
	// exceptionSize is the size of an exception in bytes: caller, token and
	// upstream.
	exceptionSize = 32
	// controlRate is the maximum rate of control traffic of one balancer, in bytes
	// per second.
	controlRate = 4096
	// refreshSeconds is the time within which each flow sends a packet.
	refreshSeconds = 30
)

// A changeCost is the cost of one change under a method that keeps flows at
// their upstreams.
type changeCost struct {
	broken, control, state int
}

func (o *changeCost) report(b *testing.B) {
	b.ReportMetric(float64(o.broken), "broken")
	b.ReportMetric(float64(o.control), "control-bytes")
	b.ReportMetric(float64(o.state), "state-bytes")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAffinityMethods compares methods to keep flows at their upstreams:
// rendezvous hashing alone, hashing with a table of exceptions at each
// balancer, and tickets carried by the packets.
func BenchmarkAffinityMethods(b *testing.B) {
	kinds := []change{
		changes[0],
		changes[1],
		{
			name:  "upstream re-weighted",
			apply: func(s *flowSimulation) { s.service().Upstreams[0].Share *= 2 },
		},
		{
			name: changes[4].name,
			apply: func(s *flowSimulation) {
				slices.SortFunc(s.nodes, func(x, y *flowNode) int {
					return y.balancer.Keeper().Exchanges() - x.balancer.Keeper().Exchanges()
				})
				changes[4].apply(s)
			},
		},
	}
	for _, k := range kinds {
		b.Run(k.name+"/hashing", func(b *testing.B) {
			for b.Loop() {
				moved := movedByHashing(b, k)
				o := changeCost{broken: len(moved)}
				o.report(b)
			}
		})
		b.Run(k.name+"/exceptions", func(b *testing.B) {
			for b.Loop() {
				o := exceptionCost(b, k)
				o.report(b)
			}
		})
		b.Run(k.name+"/tickets", func(b *testing.B) {
			for b.Loop() {
				s := newFlowSimulation(b, 1, methodNodes)
				s.openFlows(methodFlows)
				s.applyChanges(k)
				o := changeCost{
					broken:  s.broken,
					control: s.control,
				}
				o.report(b)
			}
		})
	}
}

// movedByHashing returns the flows that hashing alone sends to another upstream
// after a change.
func movedByHashing(t require.TestingT, k change) []int {
	s := newFlowSimulation(t, 1, 1)
	before := hashedUpstreams(s)
	k.apply(s)
	s.newVersion()
	after := hashedUpstreams(s)
	var moved []int
	for i := range before {
		if before[i] != after[i] {
			moved = append(moved, i)
		}
	}
	return moved
}

// hashedUpstreams returns the upstreams of all flows under hashing alone.
func hashedUpstreams(s *flowSimulation) []uint32 {
	p := placement.NewPicker("a", noLoads{}, s.random)
	service := s.current.Service(calendar)
	flows := rand.New(rand.NewPCG(3, 3))
	upstreams := make([]uint32, methodFlows)
	for i := range upstreams {
		upstreams[i] = p.Pick(s.current, service, placement.Query{
			Flow:  flows.Uint64(),
			Watch: true,
		}).ID
	}
	return upstreams
}

// noLoads is a placement.Loads without any known load.
type noLoads struct{}

func (noLoads) Utilization(uint32, bool) (float32, bool) { return 0, false }

// exceptionCost returns the cost of exceptions. Each balancer sends the
// exceptions for its share of the moved flows to the others, as fast as its
// control rate allows; a flow breaks if its next packet arrives before its
// exception. A balancer that replaces another needs the exceptions of an
// earlier change, here an added upstream.
func exceptionCost(t require.TestingT, k change) changeCost {
	r := rand.New(rand.NewPCG(4, 4))
	replaced := k.name == changes[4].name
	if replaced {
		k = changes[0]
	}
	moved := movedByHashing(t, k)
	o := changeCost{state: len(moved) * exceptionSize * methodNodes}
	receivers := methodNodes - 1
	if replaced {
		receivers = 1
	}
	o.control = len(moved) * exceptionSize * receivers
	perSecond := float64(controlRate) / float64(exceptionSize*receivers)
	for i := range moved {
		arrival := float64(i/methodNodes) / perSecond
		packet := refreshSeconds * r.Float64()
		// If a balancer was replaced, only the new one lacks the exception;
		// otherwise all balancers but one lack it.
		lacking := r.IntN(methodNodes) < receivers
		if lacking && packet < arrival {
			o.broken++
		}
	}
	return o
}
