package member

import (
	"net/netip"

	"filbertworks.example/filbertworks/config"
)

// A Record is the state of one process as members exchange it: announced by the
// process itself, or marked suspected or dead by others that no longer receive
// its heartbeats.
type Record struct {
	Name        string
	Zone        string
	Incarnation uint64
	// Sequence is incremented only by the process itself, to refute a suspicion
	// or death and to announce a change of its own state.
	Sequence uint32
	State    State
	// Suspected is set by others. It is never set together with state Dead.
	Suspected bool
	// Joining reports that the process started less than JoinDelay ago.
	Joining bool
	Relay   netip.AddrPort
	Control netip.AddrPort
	Admin   netip.AddrPort
	// Version is the configuration version in force at the process.
	Version config.Version
}

// A Heartbeat is the message that members exchange: the sender's own record and
// gossip about other members.
type Heartbeat struct {
	// Sender is the sender's record of itself.
	Sender Record
	// Digest is the digest of the configuration document of version
	// Sender.Version, or what identifies the history that the version is part of.
	Digest uint64
	// PlatformAge is how long ago, in milliseconds, the platform last answered
	// the sender or another process that reported it.
	PlatformAge uint32
	// Probe, if not zero, asks the receiver for a heartbeat whose Echo is this
	// number.
	Probe uint32
	// Echo is the Probe that this heartbeat answers, or zero.
	Echo uint32
	// Records holds records of other members.
	Records []Record
}

// A Message is a heartbeat to be sent to a peer's relay address.
type Message struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// severity orders records with the same sequence number: dead above suspected
// above neither.
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

// supersedes reports whether r replaces o, a record of the same incarnation: it
// has a higher sequence number, or the same one and a higher severity.
func (r *Record) supersedes(o *Record) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.severity() > o.severity()
}
