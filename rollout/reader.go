package rollout

import (
	"time"

	"filbertworks.example/filbertworks/member"
)

// Readers of the platform in a zone.
const (
	// Readers is the number of members of a zone that read the platform.
	Readers = 2
	// MaxReaders is the greatest number that do while the platform's word is
	// old.
	MaxReaders = 5
	// StandbyAfter is the age of the platform's last word at which the next
	// member begins to read, and so on.
	StandbyAfter = 10 * time.Second
	// readerKey is the key of the rendezvous order of readers.
	readerKey = 0x726561646572
)

// A ReaderPolicy tells how many members of a zone read the platform.
type ReaderPolicy struct {
	// Readers is the number that always read.
	Readers int
	// MaxReaders is the greatest number that do while the platform's word is
	// old.
	MaxReaders int
	// StandbyAfter is the age of the platform's last word at which the next
	// member begins to read, and so on.
	StandbyAfter time.Duration
}

// Reads reports whether a member reads the platform: the first ones of its
// zone's rendezvous order do, and the next ones while the platform's word is
// old. A member that is not part of the view, or has no configuration, does.
func (p ReaderPolicy) Reads(t *member.Table, name, zone string, age time.Duration, configured bool) bool {
	rank, ok := t.Rank(readerKey, name, zone)
	if !ok || !configured || rank < p.Readers {
		return true
	}
	return rank < p.MaxReaders && age >= p.StandbyAfter*time.Duration(rank-p.Readers+1)
}

// Reads reports whether a member reads the platform by the usual policy.
func Reads(t *member.Table, name, zone string, age time.Duration, configured bool) bool {
	return ReaderPolicy{
		Readers:      Readers,
		MaxReaders:   MaxReaders,
		StandbyAfter: StandbyAfter,
	}.Reads(t, name, zone, age, configured)
}
