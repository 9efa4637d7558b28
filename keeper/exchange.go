package keeper

import (
	"encoding/binary"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/packet"
)

// An exchangeKey names an exchange as its caller does.
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

// An exchange is one open watch or one request in flight.
type exchange struct {
	key exchangeKey
	// kind is KindWatchOpen, KindIdempotent or KindOnce.
	kind packet.Kind
	// confirmable tells that the caller's message awaits an acknowledgement.
	confirmable bool
	// detached tells that key leads to another exchange: the caller has used its
	// token again.
	detached bool
	// closed tells that nothing more may be sent to the upstream; its answer is
	// still awaited.
	closed bool
	// settled tells that a watch has been confirmed by its upstream.
	settled bool
	// message is the caller's latest message id, forwarded the one used
	// towards the upstream.
	message   uint16
	forwarded uint16
	// generation is odd while the exchange is open and changes with each reuse
	// of its place.
	generation uint32
	service    uint32
	upstream   uint32
	// serial is the ledger's key of a non-idempotent request.
	serial uint64
	// sent and expires count from the keeper's start.
	sent    time.Duration
	expires time.Duration
}

// An exchangeTable holds the open exchanges of a keeper in reused places.
type exchangeTable struct {
	places []exchange
	free   []uint32
	index  map[exchangeKey]uint32
	limit  int
}

func newExchangeTable(limit int) *exchangeTable {
	return &exchangeTable{
		index: make(map[exchangeKey]uint32),
		limit: limit,
	}
}

// add opens an exchange; ok is false where the table is full.
func (t *exchangeTable) add(key exchangeKey) (place uint32, ok bool) {
	if t.len() >= t.limit {
		return 0, false
	}
	if n := len(t.free); n > 0 {
		place = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		place = uint32(len(t.places))
		t.places = append(t.places, exchange{})
	}
	e := &t.places[place]
	*e = exchange{
		key:        key,
		generation: e.generation + 1,
	}
	t.index[key] = place
	return place, true
}

// at returns the exchange of a token that the keeper gave to an upstream, or
// nil.
func (t *exchangeTable) at(token packet.Token) (uint32, *exchange) {
	if token.Size != packet.MaxTokenSize {
		return 0, nil
	}
	place := binary.BigEndian.Uint32(token.Bytes[:])
	return place, t.get(place, binary.BigEndian.Uint32(token.Bytes[4:]))
}

// attach makes key lead to the exchange at a place; no exchange has key.
func (t *exchangeTable) attach(place uint32, key exchangeKey) {
	e := &t.places[place]
	t.detach(place)
	e.key = key
	e.detached = false
	t.index[key] = place
}

// detach leaves the exchange at a place open without a key that leads to it.
func (t *exchangeTable) detach(place uint32) {
	e := &t.places[place]
	if !e.detached {
		delete(t.index, e.key)
	}
	e.detached = true
}

func (t *exchangeTable) find(key exchangeKey) (uint32, *exchange) {
	place, ok := t.index[key]
	if !ok {
		return 0, nil
	}
	return place, &t.places[place]
}

// get returns the exchange at a place if it has not been replaced, or nil.
func (t *exchangeTable) get(place, generation uint32) *exchange {
	if int64(place) >= int64(len(t.places)) || generation%2 == 0 {
		return nil
	}
	e := &t.places[place]
	if e.generation != generation {
		return nil
	}
	return e
}

// len returns the number of open exchanges.
func (t *exchangeTable) len() int {
	return len(t.places) - len(t.free)
}

func (t *exchangeTable) remove(place uint32) {
	e := &t.places[place]
	t.detach(place)
	*e = exchange{generation: e.generation + 1}
	t.free = append(t.free, place)
}

// token returns the token by which an upstream names the exchange at a place.
func (t *exchangeTable) token(place uint32) packet.Token {
	token := packet.Token{Size: packet.MaxTokenSize}
	binary.BigEndian.PutUint32(token.Bytes[:], place)
	binary.BigEndian.PutUint32(token.Bytes[4:], t.places[place].generation)
	return token
}

// timerKey returns the key of a timer for the exchange at a place.
func (t *exchangeTable) timerKey(place uint32) uint64 {
	return uint64(t.places[place].generation)<<32 | uint64(place)
}
