// Package rendezvous implements rendezvous hashing, by which processes agree on
// choices without communication: the candidate with the highest score for a key
// is chosen, so that adding or removing a candidate moves only the keys of that
// candidate.
package rendezvous

// Mix returns a bijective scrambling of x (the finalizer of SplitMix64).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Score returns the score of a candidate for a key; the candidate with the
// highest score is chosen.
func Score(key, candidate uint64) uint64 {
	return Mix(Mix(key) ^ candidate)
}
