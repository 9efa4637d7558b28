//go:build race

package balancer_test

// affinityFlows is the number of flows of TestAffinity under the race detector,
// which slows the test down tenfold and sees only one goroutine. scripts/test
// also runs it with the full number.
const affinityFlows = 10_000
