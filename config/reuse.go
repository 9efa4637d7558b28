package config

import (
	"fmt"
	"net/netip"
)

// An owner is the service to which an upstream's id or address belongs.
type owner struct {
	service uint32
	name    string
}

// CheckReuse returns a *CheckError if next gives an id or address that an upstream
// has in before to an upstream of another service, or nil. A balancer that still
// has before in force would send packets of one service to the other. An address
// may be used by another service once every balancer has a version without it.
func CheckReuse(before, next *Document) error {
	ids := make(map[uint32]owner)
	addresses := make(map[netip.AddrPort]owner)
	for i := range before.Services {
		s := &before.Services[i]
		o := owner{
			service: s.ID,
			name:    s.Name,
		}
		for j := range s.Upstreams {
			ids[s.Upstreams[j].ID] = o
			addresses[s.Upstreams[j].Address] = o
		}
	}
	c := newChecker()
	for i := range next.Services {
		s := &next.Services[i]
		for j := range s.Upstreams {
			u := &s.Upstreams[j]
			path := fmt.Sprintf("services[%d].upstreams[%d]", i, j)
			if o, ok := ids[u.ID]; ok && o.service != s.ID {
				c.addFault(path+".id", u.ID, "an id never used by another service, it is one of "+o.name)
			}
			if o, ok := addresses[u.Address]; ok && o.service != s.ID {
				c.addFault(path+".address", u.Address, "an address not in use by another service, remove it from "+o.name+" in an earlier version")
			}
		}
	}
	if len(c.faults) == 0 {
		return nil
	}
	return &CheckError{Faults: c.faults}
}
