package admission

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"filbertworks.example/filbertworks/rendezvous"
)

const (
	sketchRows  = 4
	sketchBits  = 11
	sketchWidth = 1 << sketchBits
	// sketchUnit is what one admission adds. Halving takes an admission to zero in 5 s
	// rather than in one.
	sketchUnit = 16
	// sketchHalfLife is the interval between two halvings.
	sketchHalfLife = time.Second
	// maxCallers bounds the number of callers by which fair shares are computed. With more
	// callers, cells are shared by several, and a share of less than 4 mean cells can't be
	// told from the others' admissions in the same cells.
	maxCallers = sketchWidth / 4
	// excessFactor and excessSlack say what much more than a fair share is: more than
	// twice the mean of the callers, and at least 8 admissions more than that. With one or
	// two callers nobody can exceed twice the mean.
	excessFactor = 2
	excessSlack  = 8 * sketchUnit
)

// A sketch counts the recent admissions of callers in a count-min sketch with conservative
// update: a count is never too low, and too high where other callers share all cells.
// It takes 32 kB whatever the number of callers.
type sketch struct {
	seed     uint64
	halvedAt time.Time
	cells    [sketchRows][sketchWidth]uint32
	// total is the sum of all counts, in sketchUnit, and halves with them.
	total uint64
	// used is the number of cells of the first row that aren't zero.
	used int
}

// add counts one admission of the caller with a key.
func (s *sketch) add(key uint64) {
	count := s.count(key) + sketchUnit
	for i := range sketchRows {
		cell := &s.cells[i][column(key, i)]
		if *cell >= count {
			continue
		}
		if i == 0 && *cell == 0 {
			s.used++
		}
		*cell = count
	}
	s.total += sketchUnit
}

// advance halves the counts for each half-life that has passed.
func (s *sketch) advance(now time.Time) {
	elapsed := now.Sub(s.halvedAt)
	if elapsed < sketchHalfLife {
		return
	}
	halvings := uint(elapsed / sketchHalfLife)
	if s.halvedAt.IsZero() || halvings >= 32 {
		s.reset(now)
		return
	}
	s.halvedAt = s.halvedAt.Add(time.Duration(halvings) * sketchHalfLife)
	if s.total == 0 {
		return
	}
	s.total >>= halvings
	s.used = 0
	for i := range sketchRows {
		for j := range s.cells[i] {
			s.cells[i][j] >>= halvings
			if i == 0 && s.cells[i][j] > 0 {
				s.used++
			}
		}
	}
}

// callers estimates the number of callers with recent admissions from the part of the first
// row that is in use; at least 1, at most maxCallers.
func (s *sketch) callers() float64 {
	free := float64(sketchWidth-s.used) / sketchWidth
	if free <= 0.5 {
		return maxCallers
	}
	return min(max(-sketchWidth*math.Log(free), 1), maxCallers)
}

// count returns the recent admissions of a caller, in sketchUnit.
func (s *sketch) count(key uint64) uint32 {
	count := uint32(math.MaxUint32)
	for i := range sketchRows {
		count = min(count, s.cells[i][column(key, i)])
	}
	return count
}

// excessive reports whether a caller has taken much more than its fair share of the recent
// admissions.
func (s *sketch) excessive(key uint64) bool {
	count := float64(s.count(key))
	return count > excessFactor*float64(s.total)/s.callers()+excessSlack
}

// key returns the key of a caller. An IPv6 caller is its /64 prefix, since one host may use
// all addresses of it.
func (s *sketch) key(a netip.Addr) uint64 {
	b := a.As16()
	high := binary.BigEndian.Uint64(b[:8])
	low := uint64(0)
	if a.Is4() || a.Is4In6() {
		low = binary.BigEndian.Uint64(b[8:])
	}
	return rendezvous.Mix(rendezvous.Mix(high^s.seed) ^ rendezvous.Mix(low+s.seed))
}

func (s *sketch) reset(now time.Time) {
	*s = sketch{
		seed:     s.seed,
		halvedAt: now,
	}
}

// column returns the column of a key in a row: each row takes other bits of the key.
func column(key uint64, row int) int {
	return int(key >> (row * sketchBits) % sketchWidth)
}
