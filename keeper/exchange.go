package keeper

import (
	"encoding/binary"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/rendezvous"
	"filbertworks.example/filbertworks/ticket"
	"filbertworks.example/filbertworks/timer"
)

// An exchangeKey identifies an exchange by its caller's address and token.
type exchangeKey struct {
	ip    [16]byte
	port  uint16
	token packet.Token
}

func keyOf(caller netip.AddrPort, token packet.Token) exchangeKey {
	return exchangeKey{
		ip:    caller.Addr().As16(),
		port:  caller.Port(),
		token: token,
	}
}

func (k *exchangeKey) caller() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.ip).Unmap(), k.port)
}

// sameAddressAndToken reports whether k and o differ at most in the port.
func (k *exchangeKey) sameAddressAndToken(o *exchangeKey) bool {
	return k.ip == o.ip && k.token == o.token
}

// An exchange is one open watch or one request in flight.
type exchange struct {
	key exchangeKey
	// kind is KindWatchOpen, KindIdempotent or KindOnce.
	kind packet.Kind
	// confirmable is set if the caller's message awaits an acknowledgement.
	confirmable bool
	// detached is set if the table no longer finds the exchange by key,
	// because the caller has reused its token.
	detached bool
	// upstreamGone is set once nothing more may be sent to the upstream.
	upstreamGone bool
	// confirmed is set once the upstream has confirmed the watch.
	confirmed bool
	// reregistered is set while a registration that the keeper itself sent is
	// in flight.
	reregistered bool
	// fingerprint identifies the ticket last issued for a watch.
	fingerprint ticket.Fingerprint
	// messageID is the caller's latest message id, forwardedID the one used
	// towards the upstream.
	messageID   uint16
	forwardedID uint16
	// generation is odd while the exchange is open and changes each time its
	// table entry is reused.
	generation uint32
	service    uint32
	upstream   uint32
	// nextInBucket is the index plus one of the next exchange of the same
	// bucket, or zero.
	nextInBucket uint32
	// registrationRef refers to a watch's request in the keeper's
	// registrations.
	registrationRef uint32
	// lease links a watch into the timer wheel of leases.
	lease timer.Link
	// serial is the ledger key of a non-idempotent request. A watch keeps one
	// serial while it is open, and its tickets identify it by that serial.
	serial uint64
	// formerKeeper is the incarnation of the watch's former keeper; it is zero
	// once that keeper has been sent a release. Until then serial is the former
	// keeper's.
	formerKeeper uint64
	// sent and expires count from the keeper's start.
	sent    time.Duration
	expires time.Duration
}

// bucketsPerExchange keeps the chains short, since following a link costs a
// cache miss.
const bucketsPerExchange = 2

// pageSize is the number of exchanges that are allocated together.
const pageSize = 1024

// An exchangeTable holds the open exchanges of a keeper. Entries are reused and
// never move in memory. It is indexed by a hash table chained through the
// exchanges.
type exchangeTable struct {
	pages []*[pageSize]exchange
	free  []uint32
	// allocated is the number of entries that were ever in use.
	allocated uint32
	// buckets hold indexes plus one, by a hash of IP address and token. Their
	// number is a power of two.
	buckets []uint32
	seed    uint64
	limit   int
}

func newExchangeTable(limit int, seed uint64) *exchangeTable {
	n := 1
	for n < bucketsPerExchange*limit {
		n *= 2
	}
	return &exchangeTable{
		buckets: make([]uint32, n),
		seed:    seed,
		limit:   limit,
	}
}

// Link returns the lease link of the exchange at index.
func (t *exchangeTable) Link(index uint32) *timer.Link {
	return &t.entry(index).lease
}

// add opens an exchange and returns its index; ok is false if the table is
// full.
func (t *exchangeTable) add(key exchangeKey) (index uint32, ok bool) {
	if t.len() >= t.limit {
		return 0, false
	}
	if n := len(t.free); n > 0 {
		index = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		index = t.allocate()
	}
	e := t.entry(index)
	*e = exchange{
		generation: e.generation + 1,
		detached:   true,
	}
	t.attach(index, key)
	return index, true
}

// byToken returns the exchange of a token that the keeper gave to an upstream,
// or nil.
func (t *exchangeTable) byToken(token packet.Token) (uint32, *exchange) {
	if token.Size != packet.MaxTokenSize {
		return 0, nil
	}
	index := binary.BigEndian.Uint32(token.Bytes[:])
	return index, t.get(index, binary.BigEndian.Uint32(token.Bytes[4:]))
}

// attach adds the exchange at index to the hash table under key, which no other
// exchange may have.
func (t *exchangeTable) attach(index uint32, key exchangeKey) {
	t.detach(index)
	e := t.entry(index)
	b := t.bucket(&key)
	e.key = key
	e.detached = false
	e.nextInBucket = *b
	*b = index + 1
}

// bucket returns the head of the chain for key.
func (t *exchangeTable) bucket(key *exchangeKey) *uint32 {
	sum := rendezvous.Mix(t.seed ^ binary.LittleEndian.Uint64(key.ip[:]))
	sum = rendezvous.Mix(sum ^ binary.LittleEndian.Uint64(key.ip[8:]))
	sum = rendezvous.Mix(sum ^ binary.LittleEndian.Uint64(key.token.Bytes[:]))
	return &t.buckets[sum&uint64(len(t.buckets)-1)]
}

// detach removes the exchange at index from the hash table but leaves it open.
func (t *exchangeTable) detach(index uint32) {
	e := t.entry(index)
	if e.detached {
		return
	}
	p := t.bucket(&e.key)
	for *p != index+1 {
		p = &t.entry(*p - 1).nextInBucket
	}
	*p = e.nextInBucket
	e.nextInBucket = 0
	e.detached = true
}

// entry returns the exchange at an index that is or was in use.
func (t *exchangeTable) entry(index uint32) *exchange {
	return &t.pages[index/pageSize][index%pageSize]
}

func (t *exchangeTable) find(key exchangeKey) (uint32, *exchange) {
	return t.search(&key, func(e *exchange) bool { return e.key.port == key.port })
}

// search returns the first exchange with the IP address and token of key that
// match accepts, or nil.
func (t *exchangeTable) search(key *exchangeKey, match func(e *exchange) bool) (uint32, *exchange) {
	for next := *t.bucket(key); next != 0; {
		e := t.entry(next - 1)
		if e.key.sameAddressAndToken(key) && match(e) {
			return next - 1, e
		}
		next = e.nextInBucket
	}
	return 0, nil
}

// get returns the exchange at index if its generation is still the given one,
// or nil.
func (t *exchangeTable) get(index, generation uint32) *exchange {
	if index >= t.allocated || generation%2 == 0 {
		return nil
	}
	e := t.entry(index)
	if e.generation != generation {
		return nil
	}
	return e
}

// allocate returns the index of a new entry.
func (t *exchangeTable) allocate() uint32 {
	if t.allocated%pageSize == 0 {
		t.pages = append(t.pages, new([pageSize]exchange))
	}
	t.allocated++
	return t.allocated - 1
}

// len returns the number of open exchanges.
func (t *exchangeTable) len() int {
	return int(t.allocated) - len(t.free)
}

// remove closes the exchange at index; its lease must have been cleared.
func (t *exchangeTable) remove(index uint32) {
	t.detach(index)
	e := t.entry(index)
	*e = exchange{generation: e.generation + 1}
	t.free = append(t.free, index)
}

// token returns the token that identifies the exchange at index towards its
// upstream.
func (t *exchangeTable) token(index uint32) packet.Token {
	token := packet.Token{Size: packet.MaxTokenSize}
	binary.BigEndian.PutUint32(token.Bytes[:], index)
	binary.BigEndian.PutUint32(token.Bytes[4:], t.entry(index).generation)
	return token
}

// timerKey returns the key of a timer for the exchange at index.
func (t *exchangeTable) timerKey(index uint32) uint64 {
	return uint64(t.entry(index).generation)<<32 | uint64(index)
}
