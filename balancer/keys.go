package balancer

import (
	"time"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/ticket"
)

// KeyPropagationDelay is how long a balancer goes on sealing with the key of its earlier
// configuration, so that every balancer can open what the new one seals.
const KeyPropagationDelay = 10 * time.Second

// setKeys puts the keys of c in force. before is the configuration that c
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

// setSealer opens with all keys and seals with the one at an index.
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

// keyTimer ends the use of an earlier key for sealing.
type keyTimer Balancer

// Expire seals with the first key of a version, if it is still in force.
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
