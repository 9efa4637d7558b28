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

// Reads reports whether a member reads the platform: the first ones of its
// zone's rendezvous order do, and the next ones while the platform's word is
// old. A member that is not part of the view, or has no configuration, does.
func Reads(t *member.Table, name, zone string, age time.Duration, configured bool) bool {
	rank, ok := t.Rank(readerKey, name, zone)
	if !ok || !configured || rank < Readers {
		return true
	}
	return rank < MaxReaders && age >= StandbyAfter*time.Duration(rank-Readers+1)
}
