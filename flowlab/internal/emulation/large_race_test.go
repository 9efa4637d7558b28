//go:build race

package emulation

// playsLargeLoads is false under the race detector, which slows runs down tenfold. Runs use
// one goroutine.
const playsLargeLoads = false
