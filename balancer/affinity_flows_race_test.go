//go:build race

package balancer_test

// affinityFlows is the number of flows of TestAffinity under the race detector,
// which slows it down tenfold and sees one goroutine. scripts/test runs it with
// the whole affinityFlows besides.
const affinityFlows = 10_000
