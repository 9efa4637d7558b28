//go:build !race

package emulation

// playsLargeLoads reports whether tests play the loads of hundreds of hosts, and all seeds.
const playsLargeLoads = true
