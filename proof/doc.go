// Package proof tests the guarantees of a complete system under failures. Its
// tests run the real programs as processes on loopback addresses.
package proof
