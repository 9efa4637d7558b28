package keeper

import "filbertworks.example/filbertworks/packet"

// MaxRegistrations is the greatest number of distinct registration requests
// that a keeper remembers. Watches beyond it are healed by their callers'
// refreshes only.
const MaxRegistrations = 4096

// A registrationKey names requests that differ only in what is set anew for
// each watch: token, message id, ticket and deadline.
type registrationKey struct {
	service uint32
	digest  uint64
}

// A registration is a request that watches share.
type registration struct {
	key      registrationKey
	datagram []byte
	// watches counts those that were opened by it.
	watches uint32
}

// registrations hold one copy of each distinct registration request.
type registrations struct {
	places map[registrationKey]uint32
	list   []registration
	free   []uint32
}

func newRegistrations() *registrations {
	return &registrations{
		places: make(map[registrationKey]uint32),
	}
}

// datagram returns the request at a place plus one, or nil.
func (s *registrations) datagram(place uint32) []byte {
	if place == 0 {
		return nil
	}
	return s.list[place-1].datagram
}

// drop gives up one use of the request at a place plus one.
func (s *registrations) drop(place uint32) {
	if place == 0 {
		return
	}
	n := &s.list[place-1]
	n.watches--
	if n.watches > 0 {
		return
	}
	delete(s.places, n.key)
	*n = registration{}
	s.free = append(s.free, place-1)
}

// hold returns the place plus one of a request that one more watch uses, or
// zero where there is no room.
func (s *registrations) hold(h *packet.Header, datagram []byte) uint32 {
	key := registrationKey{
		service: h.Service,
		digest:  h.Digest,
	}
	if place, ok := s.places[key]; ok {
		s.list[place].watches++
		return place + 1
	}
	if len(s.places) >= MaxRegistrations {
		return 0
	}
	place := s.room()
	s.places[key] = place
	s.list[place] = registration{
		key:      key,
		datagram: append([]byte(nil), datagram...),
		watches:  1,
	}
	return place + 1
}

func (s *registrations) room() uint32 {
	if n := len(s.free); n > 0 {
		place := s.free[n-1]
		s.free = s.free[:n-1]
		return place
	}
	s.list = append(s.list, registration{})
	return uint32(len(s.list) - 1)
}
