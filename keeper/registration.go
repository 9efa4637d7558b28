package keeper

import "filbertworks.example/filbertworks/packet"

// MaxRegistrations is the maximum number of distinct registration requests that
// a keeper remembers. Watches opened by further requests are not registered
// again by the keeper, only by their callers' refreshes.
const MaxRegistrations = 4096

// A registrationKey identifies requests that differ only in the values that
// change with each watch: token, message id, ticket and deadline.
type registrationKey struct {
	service uint32
	digest  uint64
}

// A registration is a registration request shared by the watches that it
// opened.
type registration struct {
	key      registrationKey
	datagram []byte
	// watches is the number of open watches that share the request.
	watches uint32
}

// registrations hold one reference-counted copy of each distinct registration
// request. They are referred to by index plus one; zero stands for none.
type registrations struct {
	indexes map[registrationKey]uint32
	list    []registration
	free    []uint32
}

func newRegistrations() *registrations {
	return &registrations{
		indexes: make(map[registrationKey]uint32),
	}
}

// datagram returns the request of a reference, or nil.
func (s *registrations) datagram(ref uint32) []byte {
	if ref == 0 {
		return nil
	}
	return s.list[ref-1].datagram
}

// release ends one watch's use of a request.
func (s *registrations) release(ref uint32) {
	if ref == 0 {
		return
	}
	n := &s.list[ref-1]
	n.watches--
	if n.watches > 0 {
		return
	}
	delete(s.indexes, n.key)
	*n = registration{}
	s.free = append(s.free, ref-1)
}

// acquire returns a reference to the request for one more watch, or zero if
// there is no room.
func (s *registrations) acquire(h *packet.Header, datagram []byte) uint32 {
	key := registrationKey{
		service: h.Service,
		digest:  h.Digest,
	}
	if index, ok := s.indexes[key]; ok {
		s.list[index].watches++
		return index + 1
	}
	if len(s.indexes) >= MaxRegistrations {
		return 0
	}
	index := s.allocate()
	s.indexes[key] = index
	s.list[index] = registration{
		key:      key,
		datagram: append([]byte(nil), datagram...),
		watches:  1,
	}
	return index + 1
}

func (s *registrations) allocate() uint32 {
	if n := len(s.free); n > 0 {
		index := s.free[n-1]
		s.free = s.free[:n-1]
		return index
	}
	s.list = append(s.list, registration{})
	return uint32(len(s.list) - 1)
}
