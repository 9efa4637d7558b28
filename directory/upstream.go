package directory

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// An Upstream is one host of a service, as described by its own entry.
type Upstream struct {
	// ID is unique among the hosts that exist at the same time; a host may keep its ID
	// over a restart.
	ID string
	// Service is the name of the service that the host belongs to.
	Service string
	Address netip.AddrPort
	Zone    string
	// Release is the version of the host's software.
	Release string
	// Slots is the number of requests that the host serves concurrently.
	Slots int
	// Draining hosts finish their open flows and get no new ones.
	Draining bool
	// WarmAt is when the host will have warmed up, on this process's monotonic clock;
	// zero if it is warm.
	WarmAt time.Time
	// StartedAt is when the host started, by its own wall clock; zero if unknown.
	StartedAt time.Time
	// Sequence counts the host's writes of its entry since StartedAt.
	Sequence int64
	// DepartedAt is when the host's entry was deleted, on this process's monotonic clock;
	// zero while the entry exists.
	DepartedAt time.Time
	// Lapsed reports whether the entry was deleted although the host had not announced
	// that it leaves.
	Lapsed bool

	// number and ticket are cached for hosts that are part of a directory; ticket is
	// zero for others.
	number uint64
	ticket Ticket
}

// Cold reports whether the host is still warming up at now.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.WarmAt)
}

// Number returns the hex digits of ID parsed as one number; of more than 16 digits, the
// last 16 are used.
func (u *Upstream) Number() uint64 {
	if u.ticket != 0 {
		return u.number
	}
	digits := strings.Map(func(r rune) rune {
		if strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return r
		}
		return -1
	}, u.ID)
	if len(digits) > maxDigits {
		digits = digits[len(digits)-maxDigits:]
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		// ID has no hex digit. Zero is the number of no host.
		return 0
	}
	return n
}

// announcedTo returns the record of a departed host, u, as corrected by other, which is
// what another balancer knows of it: a host that has announced to leave did not lapse.
func (u *Upstream) announcedTo(other *Upstream) *Upstream {
	left := other.Draining || !other.DepartedAt.IsZero() && !other.Lapsed
	if !u.Lapsed || !left || u.StartedAt.After(other.StartedAt) {
		return u
	}
	d := *u
	d.Lapsed = false
	return &d
}

// writtenAfter reports whether the host wrote u later than other, in whichever era of the
// store.
func (u *Upstream) writtenAfter(other *Upstream) bool {
	if !u.StartedAt.Equal(other.StartedAt) {
		return u.StartedAt.After(other.StartedAt)
	}
	return u.Sequence > other.Sequence
}

// maxDigits is the number of hex digits of a 64-bit number.
const maxDigits = 16

// Ticket returns the value that the packets of the host's flows carry. Every process
// derives the same ticket from ID; it is never zero.
func (u *Upstream) Ticket() Ticket {
	if u.ticket != 0 {
		return u.ticket
	}
	n := u.Number()
	t := Ticket(n) ^ Ticket(n>>32)
	if t == 0 {
		return 1
	}
	return t
}

// withTicket returns a copy of u with its number and ticket cached.
func (u *Upstream) withTicket() *Upstream {
	d := *u
	d.number, d.ticket = u.Number(), u.Ticket()
	return &d
}

// A Ticket identifies a flow's upstream in the flow's own packets, so that any balancer
// can forward the packet without the flow's state; zero identifies none. Hosts with
// different IDs may have the same ticket.
type Ticket uint32
