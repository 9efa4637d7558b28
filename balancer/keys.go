package balancer

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/ticket"
)

// KeyPropagationDelay is how long a balancer keeps sealing with the key of its
// previous configuration, so that every balancer can open the tickets sealed
// with the new one.
const KeyPropagationDelay = 10 * time.Second

// setKeys takes over the keys of c. previous is the configuration that c
// replaces, or nil.
func (b *Balancer) setKeys(now time.Time, previous, c *config.Snapshot) {
	keys := c.Document.Keys
	index := 0
	if previous != nil {
		index = max(0, indexOf(keys, &b.sealingKey))
	}
	b.setSealer(keys, index)
	if index > 0 {
		b.timers.Subscribe(now.Add(KeyPropagationDelay), (*keyTimer)(b), uint64(c.Version))
	}
}

// setSealer opens tickets with all keys and seals with the one at an index.
func (b *Balancer) setSealer(keys []config.Key, index int) {
	b.sealingKey = keys[index]
	ordered := make([]ticket.Key, 0, len(keys)+1)
	ordered = append(ordered, ticketKey(&keys[index]))
	for i := range keys {
		if i != index {
			ordered = append(ordered, ticketKey(&keys[i]))
		}
	}
	b.sealer = ticket.NewSealer(ordered...)
}

// A keyTimer ends sealing with the key of the previous configuration.
type keyTimer Balancer

// Expire starts sealing with the first key of a version, if that is still the
// current one.
func (t *keyTimer) Expire(_ time.Time, version uint64) {
	b := (*Balancer)(t)
	if uint64(b.config.Version) == version {
		b.setSealer(b.config.Document.Keys, 0)
	}
}

// indexOf returns the index of key in keys, or -1.
func indexOf(keys []config.Key, key *config.Key) int {
	for i := range keys {
		if keys[i].ID == key.ID && string(keys[i].Secret) == string(key.Secret) {
			return i
		}
	}
	return -1
}

func ticketKey(k *config.Key) ticket.Key {
	return ticket.Key{
		ID:     k.ID,
		Secret: k.Secret,
	}
}
