package config

import "maps"

// shardCount is the number of parts that a map is divided into.
const shardCount = 256

// shards is a map whose copies share the parts that they don't change.
type shards[K ~uint32 | ~uint64, V any] struct {
	parts [shardCount]map[K]V
	// own marks the parts that no other copy shares.
	own [shardCount]bool
}

func newShards[K ~uint32 | ~uint64, V any]() *shards[K, V] {
	s := &shards[K, V]{}
	for i := range s.parts {
		s.parts[i] = make(map[K]V)
		s.own[i] = true
	}
	return s
}

// copy returns a map with the content of s; changes of it leave s as it is.
// Neither may be changed in place once both are in use.
func (s *shards[K, V]) copy() *shards[K, V] {
	return &shards[K, V]{parts: s.parts}
}

func (s *shards[K, V]) get(k K) (V, bool) {
	v, ok := s.parts[k%shardCount][k]
	return v, ok
}

func (s *shards[K, V]) remove(k K) {
	delete(s.part(k), k)
}

func (s *shards[K, V]) set(k K, v V) {
	s.part(k)[k] = v
}

// part returns the part of k for changing it.
func (s *shards[K, V]) part(k K) map[K]V {
	i := k % shardCount
	if !s.own[i] {
		s.parts[i] = maps.Clone(s.parts[i])
		s.own[i] = true
	}
	return s.parts[i]
}
