package rollout

import (
	"math"
	"time"

	"filbertworks.example/filbertworks/member"
)

// The default policy for the readers of the platform in a zone.
const (
	// Readers is the number of members of a zone that always read the platform.
	Readers = 2
	// MaxReaders is the maximum number of members that read the platform while
	// its last answer is old.
	MaxReaders = 5
	// StandbyAfter is the age of the platform's last answer at which one more
	// member starts to read it; each further one starts that much later.
	StandbyAfter = 10 * time.Second
	// readerKey is the key of the rendezvous order of readers: "reader" in
	// ASCII.
	readerKey = 0x726561646572
)

// A ReaderPolicy determines how many members of a zone read the platform.
type ReaderPolicy struct {
	// Readers is the number of members that always read the platform.
	Readers int
	// MaxReaders is the maximum number of members that read the platform while
	// its last answer is old.
	MaxReaders int
	// StandbyAfter is the age of the platform's last answer at which one more
	// member starts to read it; each further one starts that much later.
	StandbyAfter time.Duration
	// Substitutes is the number of further members that read the platform at a time, in turns
	// of StandbyAfter, while all MaxReaders get no answer: others may have a better path to it.
	Substitutes int
}

// Candidates returns the members of a zone that may read the platform, those that read it
// first in front.
func (p ReaderPolicy) Candidates(t *member.Table, zone string) []member.Member {
	return t.Ranked(readerKey, zone, p.MaxReaders)
}

// Replaces reports whether a member reads the platform because too many of the candidates
// before it are silent. They may have failed: that takes longer to be certain of than a
// change may take to be in force.
func (p ReaderPolicy) Replaces(t *member.Table, name, zone string, silent func(*member.Member) bool) bool {
	reading := 0
	candidates := p.Candidates(t, zone)
	for i := range candidates {
		m := &candidates[i]
		if m.Name == name {
			return reading < p.Readers
		}
		if !silent(m) {
			reading++
		}
	}
	return false
}

// Reads reports whether a member reads the platform, where age is the time
// since the platform's last answer. The first p.Readers members of the zone's
// rendezvous order read it, and further ones while that answer is old. A member
// that is missing from the view or has no configuration always reads it.
func (p ReaderPolicy) Reads(t *member.Table, name, zone string, age time.Duration, configured bool) bool {
	rank, ok := t.Rank(readerKey, name, zone)
	if !ok || !configured || rank < p.Readers {
		return true
	}
	if rank >= p.MaxReaders {
		return p.substitutes(t, zone, rank, age)
	}
	return age >= p.StandbyAfter*time.Duration(rank-p.Readers+1)
}

// substitutes reports whether it is the turn of the member with a rank in its zone to read the platform
// beside the first MaxReaders.
func (p ReaderPolicy) substitutes(t *member.Table, zone string, rank int, age time.Duration) bool {
	turnsBegin := p.StandbyAfter * time.Duration(p.MaxReaders-p.Readers+1)
	if p.Substitutes == 0 || age < turnsBegin {
		return false
	}
	members := len(t.Ranked(readerKey, zone, math.MaxInt))
	turns := (members - p.MaxReaders + p.Substitutes - 1) / p.Substitutes
	turn := int((age - turnsBegin) / p.StandbyAfter)
	return (rank-p.MaxReaders)/p.Substitutes == turn%max(turns, 1)
}

// Leads reports whether a member is the reader of the platform whose answers the other
// zones rely on: the first of all zones' alive members in the rendezvous order. While views differ there may be several
// leaders, or one that has failed: the readers of the other zones read, too, if less often.
func Leads(t *member.Table, name string) bool {
	return t.First(readerKey, name)
}

// Reads reports whether a member reads the platform under the default policy.
func Reads(t *member.Table, name, zone string, age time.Duration, configured bool) bool {
	return ReaderPolicy{
		Readers:      Readers,
		MaxReaders:   MaxReaders,
		StandbyAfter: StandbyAfter,
	}.Reads(t, name, zone, age, configured)
}
