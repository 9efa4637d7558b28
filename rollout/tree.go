package rollout

import (
	"cmp"
	"net/netip"
	"slices"

	"filbertworks.example/filbertworks/member"
	"filbertworks.example/filbertworks/rendezvous"
)

const (
	// fanOut is the number of children of a member in a zone's relay tree.
	fanOut = 6
	// entryPoints is the number of members of each other zone to which a leading
	// reader sends its changes: one of them may have failed.
	entryPoints = 2
)

// RelayTargets returns the relay addresses to which a member passes on changes that the
// member with incarnation origin has read from the platform. All members with the same view
// compute the same tree for each zone. The root is origin in its own zone; if origin leads,
// the entry points of the other zones are the roots there. The argument leads is whether
// self leads; members may contain self, and dead members, which get nothing.
func RelayTargets(members []member.Member, self *member.Member, origin uint64, leads bool) []netip.AddrPort {
	own := relayOrder(members, self.Zone, origin)
	// The root is not in the order, and its children are the first.
	index := slices.IndexFunc(own, func(m member.Member) bool { return m.Incarnation == self.Incarnation })
	first := min((index+1)*fanOut, len(own))
	targets := appendRelays(nil, own[first:min(first+fanOut, len(own))], self)
	switch {
	case origin == self.Incarnation && leads:
		for _, zone := range otherZones(members, self.Zone) {
			order := relayOrder(members, zone, origin)
			targets = appendRelays(targets, order[:min(entryPoints, len(order))], self)
		}
	case index >= 0 && index < entryPoints && zoneOf(members, origin, self.Zone) != self.Zone:
		targets = appendRelays(targets, own[:min(fanOut, len(own))], self)
	}
	return targets
}

// relayOrder returns the members of a zone that are not dead, without origin, in the order
// of the relay tree of origin.
func relayOrder(members []member.Member, zone string, origin uint64) []member.Member {
	var order []member.Member
	for i := range members {
		if m := &members[i]; m.Zone == zone && m.State != member.Dead && m.Incarnation != origin {
			order = append(order, *m)
		}
	}
	slices.SortFunc(order, func(a, b member.Member) int {
		return cmp.Compare(rendezvous.Score(origin, a.Incarnation), rendezvous.Score(origin, b.Incarnation))
	})
	return order
}

// otherZones returns the zones of members other than own, sorted by name.
func otherZones(members []member.Member, own string) []string {
	var zones []string
	for i := range members {
		if zone := members[i].Zone; zone != own && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// zoneOf returns the zone of the member with an incarnation, or other if it is unknown.
func zoneOf(members []member.Member, incarnation uint64, other string) string {
	for i := range members {
		if members[i].Incarnation == incarnation {
			return members[i].Zone
		}
	}
	return other
}

// appendRelays appends the relay addresses of members other than self.
func appendRelays(targets []netip.AddrPort, members []member.Member, self *member.Member) []netip.AddrPort {
	for i := range members {
		if members[i].Incarnation != self.Incarnation {
			targets = append(targets, members[i].Relay)
		}
	}
	return targets
}
