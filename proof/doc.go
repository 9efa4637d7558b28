// Package proof holds tests of the promises that hold for whole systems under
// failure. They run real processes on loopback.
package proof
