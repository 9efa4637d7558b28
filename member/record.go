package member

import (
	"net/netip"

	"filbertworks.example/filbertworks/config"
)

// A Record is what is believed of one process: said by the process itself, or
// by others who stopped hearing it.
type Record struct {
	Name        string
	Zone        string
	Incarnation uint64
	// Sequence is raised by the process alone, to refute what others believe of
	// it and to announce its leaving.
	Sequence uint32
	State    State
	// Suspected is said by others; it never stands beside Dead.
	Suspected bool
	// Joining tells that the process started less than JoinDelay ago.
	Joining bool
	Relay   netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// Version is the configuration version in force at the process.
	Version config.Version
}

// A Heartbeat is one message between members.
type Heartbeat struct {
	// Sender is the sender's record of itself.
	Sender Record
	// Digest is that of the configuration of version Sender.Version.
	Digest uint64
	// PlatformAge is how long ago the platform last answered the sender or
	// someone who passed that on, in milliseconds.
	PlatformAge uint32
	// Probe, where it is not zero, asks for a heartbeat whose Echo is this
	// number.
	Probe uint32
	// Echo is the Probe that the heartbeat answers, or zero.
	Echo uint32
	// Records are beliefs on other members.
	Records []Record
}

// A Message is a heartbeat on its way to a peer's relay address.
type Message struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// severity orders beliefs of one sequence number.
func (r *Record) severity() int {
	switch {
	case r.State == Dead:
		return 2
	case r.Suspected:
		return 1
	default:
		return 0
	}
}

// supersedes reports whether r says more than o on the same incarnation.
func (r *Record) supersedes(o *Record) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.severity() > o.severity()
}
