package member

// score returns the rendezvous score of a member for a key: the member with
// the highest score of a set is chosen, so that a change of the set moves only
// the keys of the members that came or went.
func score(key uint64, member uint64) uint64 {
	return mix(mix(key) ^ member)
}

// mix returns a bijective scrambling of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
