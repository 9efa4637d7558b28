//go:build race

package balancer_test

// population is the number of flows of TestAffinity under the race detector,
// which slows it down tenfold and sees one goroutine. scripts/test runs it with
// the whole population besides.
const population = 10_000
