package config

import (
	"encoding/binary"
	"net/netip"
)

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// Digest returns a hash of d's content, which detects different documents that
// were published under the same version by mistake. It is not a cryptographic
// hash and gives no protection against forgery.
func (d *Document) Digest() uint64 {
	h := hasher(fnvOffset)
	h.number(uint64(len(d.Keys)))
	for i := range d.Keys {
		h.number(uint64(d.Keys[i].ID))
		h.text(string(d.Keys[i].Secret))
	}
	h.number(uint64(len(d.Zones)))
	for i := range d.Zones {
		z := &d.Zones[i]
		h.text(z.Name)
		h.text(z.Region)
		h.text(string(z.State))
	}
	h.number(uint64(len(d.Services)))
	for i := range d.Services {
		h.service(&d.Services[i])
	}
	return uint64(h)
}

// A hasher is the state of an FNV-1a hash.
type hasher uint64

func (h *hasher) address(a netip.AddrPort) {
	ip := a.Addr().As16()
	h.bytes(ip[:])
	h.number(uint64(a.Port()))
}

func (h *hasher) bytes(b []byte) {
	v := uint64(*h)
	for _, c := range b {
		v = (v ^ uint64(c)) * fnvPrime
	}
	*h = hasher(v)
}

func (h *hasher) number(n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	h.bytes(b[:])
}

func (h *hasher) service(s *Service) {
	h.number(uint64(s.ID))
	h.text(s.Name)
	h.address(s.Address)
	h.number(uint64(s.Deadline))
	h.number(uint64(s.Refresh))
	h.number(uint64(len(s.Upstreams)))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		h.number(uint64(u.ID))
		h.text(u.Name)
		h.text(u.Zone)
		h.address(u.Address)
		h.number(uint64(u.Share))
		h.number(uint64(u.Slots))
		h.number(uint64(u.Connections))
		h.text(string(u.State))
	}
}

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	h.bytes([]byte(s))
}
