//go:build !race

package balancer_test

// affinityFlows is the number of flows of TestAffinity.
const affinityFlows = 100_000
