package config

import "maps"

// shardCount is the number of shards of a cowMap. The first change of a shard
// after a copy clones it, which is 1/256 of the entries on average.
const shardCount = 256

// A cowMap is a copy-on-write map: its copies share the shards that they don't
// change.
type cowMap[K ~uint32 | ~uint64, V any] struct {
	shards [shardCount]map[K]V
	// owned marks the shards that no other copy shares.
	owned [shardCount]bool
}

func newCOWMap[K ~uint32 | ~uint64, V any]() *cowMap[K, V] {
	m := &cowMap[K, V]{}
	for i := range m.shards {
		m.shards[i] = make(map[K]V)
		m.owned[i] = true
	}
	return m
}

// copy returns a map with the content of m. Changes of the copy don't affect m.
// m must not be changed afterwards, as the copy shares its shards; nor may the
// copy once it is in use.
func (m *cowMap[K, V]) copy() *cowMap[K, V] {
	return &cowMap[K, V]{shards: m.shards}
}

func (m *cowMap[K, V]) get(k K) (V, bool) {
	v, ok := m.shards[k%shardCount][k]
	return v, ok
}

func (m *cowMap[K, V]) remove(k K) {
	delete(m.writableShard(k), k)
}

func (m *cowMap[K, V]) set(k K, v V) {
	m.writableShard(k)[k] = v
}

// writableShard returns the shard of k, cloned first if it is shared.
func (m *cowMap[K, V]) writableShard(k K) map[K]V {
	i := k % shardCount
	if !m.owned[i] {
		m.shards[i] = maps.Clone(m.shards[i])
		m.owned[i] = true
	}
	return m.shards[i]
}
