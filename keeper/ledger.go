package keeper

import (
	"time"

	"filbertworks.example/filbertworks/packet"
	"filbertworks.example/filbertworks/verdict"
)

// An entryState is the progress of a serial's execution.
type entryState uint8

const (
	// entrySent means that the request was sent to the upstream and the outcome
	// is open.
	entrySent entryState = iota
	// entryAnswered means that the answer is stored.
	entryAnswered
	// entryRefused means that the serial has not run and never will.
	entryRefused
	// entryUnknown means that the deadline passed without an answer.
	entryUnknown
)

// An entry records the execution or refusal of one serial.
type entry struct {
	state entryState
	// digest is the digest of the only request that the serial may execute.
	digest uint64
	// upstream and token identify the execution once it has begun.
	upstream uint32
	token    packet.Token
	// answer is the upstream's datagram in state entryAnswered.
	answer []byte
	// reason is the reason of the refusal in state entryRefused.
	reason verdict.Reason
}

// recordAnswer stores the answer to an execution whose outcome was open.
func (n *entry) recordAnswer(datagram []byte) {
	if n.state != entrySent && n.state != entryUnknown {
		return
	}
	n.state = entryAnswered
	n.answer = append([]byte(nil), datagram...)
}

// A ledger decides whether a serial issued by this process may be executed, and
// records its outcome. Invariant: for each serial at most one call of begin
// succeeds, and none after any answer has stated that the serial has not run.
type ledger struct {
	entries map[uint64]*entry
	// serials maps the tokens of executions that have begun to their serials.
	serials map[packet.Token]uint64
	limit   int
	// issued is the last serial issued.
	issued uint64
	// Serials up to lastBarred may no longer begin.
	lastBarred uint64
	// retention is how long an entry is kept after its ticket has expired.
	retention time.Duration
}

func newLedger(limit int, retention time.Duration) *ledger {
	return &ledger{
		entries:   make(map[uint64]*entry),
		serials:   make(map[packet.Token]uint64),
		limit:     limit,
		retention: retention,
	}
}

// begin records that serial is about to be executed at an upstream under token.
// Call it only after checkSerial has returned nil and before the request is
// sent.
func (l *ledger) begin(serial, digest uint64, upstream uint32, token packet.Token) {
	l.entries[serial] = &entry{
		state:    entrySent,
		digest:   digest,
		upstream: upstream,
		token:    token,
	}
	l.serials[token] = serial
}

// findExecution returns the entry whose execution has begun at an upstream
// under token, or nil.
func (l *ledger) findExecution(upstream uint32, token packet.Token) *entry {
	serial, ok := l.serials[token]
	if !ok {
		return nil
	}
	n := l.entries[serial]
	if n.upstream != upstream {
		return nil
	}
	return n
}

// remove deletes an entry whose retention has ended.
func (l *ledger) remove(serial uint64) {
	n := l.entries[serial]
	if n == nil {
		return
	}
	delete(l.entries, serial)
	if n.token.Size > 0 {
		delete(l.serials, n.token)
	}
}

// barIfFull reports whether the ledger has no room for another entry. If so, it
// bars all serials issued so far that have not begun, since a refusal of one of
// them could not be recorded.
func (l *ledger) barIfFull() bool {
	if len(l.entries) < l.limit {
		return false
	}
	l.lastBarred = l.issued
	return true
}

// issueSerial returns a new serial.
func (l *ledger) issueSerial() uint64 {
	l.issued++
	return l.issued
}

// checkSerial returns nil if a serial without an entry may begin, or else the
// reason. expiry and now count from the start of the process.
func (l *ledger) checkSerial(serial uint64, expiry, now time.Duration) *verdict.Error {
	switch {
	case now >= expiry+l.retention:
		return &verdict.Error{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.ReasonExpired,
		}
	case now >= expiry, serial <= l.lastBarred:
		return &verdict.Error{
			Verdict: verdict.NotRun,
			Reason:  verdict.ReasonExpired,
		}
	default:
		return nil
	}
}

// recordRefusal bars a serial that has not begun.
func (l *ledger) recordRefusal(serial, digest uint64, reason verdict.Reason) {
	l.entries[serial] = &entry{
		state:  entryRefused,
		digest: digest,
		reason: reason,
	}
}
