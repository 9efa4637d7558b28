package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/rendezvous"
)

// An index holds the upstreams of one service that take new work under one version of
// the configuration.
type index struct {
	all   sampler
	local sampler
	root  node
}

func newIndex(c *config.Snapshot, s *config.Service, zone string) *index {
	x := &index{}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.State != config.UpstreamActive || !c.ZoneIn(u.Zone) {
			continue
		}
		x.all.add(u)
		if u.Zone == zone {
			x.local.add(u)
		}
	}
	if len(x.all.upstreams) > 0 {
		x.root = newTree(x.all.upstreams)
	}
	return x
}

// rendezvous returns the upstream of a flow, or nil if all are excluded, and the hash to
// call it with for another choice.
func (x *index) rendezvous(flow uint64, excluded []uint32) (*config.Upstream, uint64) {
	for range maxSamples {
		u := x.root.find(flow)
		flow = rendezvous.Mix(flow + 1)
		if !slices.Contains(excluded, u.ID) {
			return u, flow
		}
	}
	return x.all.first(excluded), flow
}

// A sampler draws random upstreams, weighted by their shares.
type sampler struct {
	upstreams []*config.Upstream
	// cumulative holds the sums of the shares up to and including the upstream at the
	// same index.
	cumulative []uint64
}

func (s *sampler) add(u *config.Upstream) {
	s.upstreams = append(s.upstreams, u)
	s.cumulative = append(s.cumulative, s.total()+uint64(u.Share))
}

// sample returns a random upstream that is not excluded, or nil.
func (s *sampler) sample(r *rand.Rand, excluded []uint32) *config.Upstream {
	if len(s.upstreams) == 0 {
		return nil
	}
	for range maxSamples {
		n := r.Uint64N(s.total())
		u := s.upstreams[sort.Search(len(s.cumulative), func(i int) bool { return n < s.cumulative[i] })]
		if !slices.Contains(excluded, u.ID) {
			return u
		}
	}
	return s.first(excluded)
}

// first returns the first upstream that is not excluded, or nil.
func (s *sampler) first(excluded []uint32) *config.Upstream {
	for _, u := range s.upstreams {
		if !slices.Contains(excluded, u.ID) {
			return u
		}
	}
	return nil
}

func (s *sampler) total() uint64 {
	if len(s.cumulative) == 0 {
		return 0
	}
	return s.cumulative[len(s.cumulative)-1]
}

// Shape of the tree.
const (
	// levelBits is the number of bits of an upstream's hashed id per level.
	levelBits = 4
	// maxDepth is the maximum number of levels that split upstreams by their hashed
	// ids.
	maxDepth = 3
)

// A node is a node of the tree of upstreams. At each level, weighted rendezvous hashing
// chooses between the children, so that a change of one upstream moves flows only at the
// nodes on its path to the root.
type node struct {
	salt   uint64
	weight float64
	// upstream is set on leaves, children on the others.
	upstream *config.Upstream
	children []node
}

// newTree returns the tree of one or more upstreams. An upstream's position depends on
// its id alone.
func newTree(upstreams []*config.Upstream) node {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b *config.Upstream) int {
		if rendezvous.Mix(uint64(a.ID)) < rendezvous.Mix(uint64(b.ID)) {
			return -1
		}
		return 1
	})
	return newNode(sorted, 0, 0)
}

func newNode(sorted []*config.Upstream, depth int, salt uint64) node {
	n := node{salt: salt}
	for _, u := range sorted {
		n.weight += float64(u.Share)
	}
	if len(sorted) == 1 {
		n.upstream = sorted[0]
		return n
	}
	for len(sorted) > 0 {
		size := 1
		salt := rendezvous.Mix(uint64(sorted[0].ID))
		if depth < maxDepth {
			prefix := prefixOf(sorted[0], depth)
			size = sort.Search(len(sorted), func(i int) bool { return prefixOf(sorted[i], depth) > prefix })
			salt = rendezvous.Mix(prefix<<levelBits | uint64(depth) + 1)
		}
		n.children = append(n.children, newNode(sorted[:size], depth+1, salt))
		sorted = sorted[size:]
	}
	return n
}

// find returns the upstream of a flow.
func (n *node) find(flow uint64) *config.Upstream {
	for n.upstream == nil {
		best := &n.children[0]
		if len(n.children) > 1 {
			best = n.best(flow)
		}
		n = best
	}
	return n.upstream
}

func (n *node) best(flow uint64) *node {
	var best *node
	highest := math.Inf(-1)
	for i := range n.children {
		child := &n.children[i]
		unit := (float64(rendezvous.Mix(flow^child.salt)>>11) + 0.5) / (1 << 53)
		if score := child.weight / -math.Log(unit); score > highest {
			best, highest = child, score
		}
	}
	return best
}

// prefixOf returns the leading bits of u's hashed id that select its child node at a
// depth.
func prefixOf(u *config.Upstream, depth int) uint64 {
	return rendezvous.Mix(uint64(u.ID)) >> (64 - levelBits*(depth+1))
}
