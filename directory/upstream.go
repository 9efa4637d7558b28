package directory

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// An Upstream is one host of a service, as it described itself.
type Upstream struct {
	// ID is distinct among hosts that live at the same time; a host that starts
	// again may have the ID that it had.
	ID string
	// Service is the name of the service that the host belongs to.
	Service string
	Address netip.AddrPort
	Zone    string
	// Release names the version of the host's software.
	Release string
	// Slots is the number of requests that the host works on at once.
	Slots int
	// Draining hosts finish what they hold and get nothing new.
	Draining bool
	// WarmAt is when the host has warmed up, on this process's steady clock;
	// zero where it is warm.
	WarmAt time.Time
	// Born is when the host started, by its own time of day; zero if unknown.
	Born time.Time
	// Departed is when the host's entry went, on this process's steady clock;
	// zero while there is one.
	Departed time.Time
	// Lapsed tells that the entry went without a notice of leaving.
	Lapsed bool

	// number and ticket are those of ID, once the host is part of a directory;
	// ticket is zero before.
	number uint64
	ticket Ticket
}

// Cold reports whether the host still warms up at now.
func (u *Upstream) Cold(now time.Time) bool {
	return now.Before(u.WarmAt)
}

// Number returns the hex digits of ID, read as one number; where there are
// more than 16, the last 16 count.
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
		// There is no digit: the number is that of no host.
		return 0
	}
	return n
}

// maxDigits is the number of hex digits of a 64-bit number.
const maxDigits = 16

// Ticket returns the value that packets of the host's flows carry. Every
// process derives the same one from ID; zero is never one.
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

// withTicket returns a copy of u that holds its number and ticket.
func (u *Upstream) withTicket() *Upstream {
	d := *u
	d.number, d.ticket = u.Number(), u.Ticket()
	return &d
}

// A Ticket names the upstream of a flow in the flow's own packets; zero names
// none.
type Ticket uint32
