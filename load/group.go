package load

import (
	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/rendezvous"
)

// groupSize is the number of hosts from which on a zone has one more group. The digest of a
// group this large needs two datagrams at most.
const groupSize = 128

// Groups returns the number of groups of a zone with so many hosts, at least 1.
func Groups(hosts int) int {
	return 1 + max(hosts, 0)/groupSize
}

// GroupOf returns the group of an upstream, from 0 up to groups-1. All balancers agree on it.
func GroupOf(t directory.Ticket, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(rendezvous.Mix(uint64(t)) % uint64(groups))
}
