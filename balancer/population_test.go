//go:build !race

package balancer_test

// population is the number of flows of TestAffinity.
const population = 100_000
