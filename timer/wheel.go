package timer

import "time"

// A Link is the part of an item that a Wheel uses to link it into a list.
type Link struct {
	// next and prev are item identifiers plus one; zero ends the list.
	next uint32
	prev uint32
	// tick is the tick at which the item is due; zero if the wheel does not
	// hold it.
	tick uint32
}

// Links finds the link of the item with a given identifier.
type Links interface {
	Link(id uint32) *Link
}

// A Wheel is a timer wheel. It holds one point in time for each of many items,
// and uses the memory of the items for its lists. It is coarser than a Queue:
// an item is due at the end of its tick. It is not safe for concurrent use.
type Wheel struct {
	links Links
	tick  time.Duration
	// slots holds the head of each list as an item identifier plus one, indexed
	// by tick modulo the number of slots.
	slots []uint32
	// expiredTick is the tick up to which items have been passed to expire.
	expiredTick uint32
	size        int
	// due is a buffer that Advance reuses.
	due []uint32
}

// NewWheel returns an empty wheel with a resolution of tick and the given
// number of slots.
func NewWheel(links Links, tick time.Duration, slots int) *Wheel {
	return &Wheel{
		links: links,
		tick:  tick,
		slots: make([]uint32, slots),
	}
}

// Advance calls expire with each item that is due at now, which is the time
// since the wheel's start. expire may set and clear items.
func (w *Wheel) Advance(now time.Duration, expire func(id uint32)) {
	last := uint32(now / w.tick)
	if last <= w.expiredTick {
		return
	}
	first := w.expiredTick + 1
	// One rotation reaches every slot.
	if last-first >= uint32(len(w.slots)) {
		first = last - uint32(len(w.slots)) + 1
	}
	w.expiredTick = last
	w.due = w.due[:0]
	for t := first; t <= last; t++ {
		w.collect(t, last)
	}
	for _, id := range w.due {
		expire(id)
	}
}

// Clear removes an item, if the wheel holds it.
func (w *Wheel) Clear(id uint32) {
	l := w.links.Link(id)
	if l.tick == 0 {
		return
	}
	if l.prev == 0 {
		w.slots[l.tick%uint32(len(w.slots))] = l.next
	} else {
		w.links.Link(l.prev - 1).next = l.next
	}
	if l.next != 0 {
		w.links.Link(l.next - 1).prev = l.prev
	}
	*l = Link{}
	w.size--
}

// Len returns the number of items.
func (w *Wheel) Len() int {
	return w.size
}

// Set makes an item due at a time, given as the time since the wheel's start.
// It replaces an earlier setting of the item.
func (w *Wheel) Set(id uint32, at time.Duration) {
	w.Clear(id)
	tick := max(w.expiredTick+1, uint32((at+w.tick-1)/w.tick))
	slot := &w.slots[tick%uint32(len(w.slots))]
	*w.links.Link(id) = Link{
		next: *slot,
		tick: tick,
	}
	if *slot != 0 {
		w.links.Link(*slot - 1).prev = id + 1
	}
	*slot = id + 1
	w.size++
}

// collect moves the items of a slot that are due by tick last to w.due.
func (w *Wheel) collect(slot, last uint32) {
	next := w.slots[slot%uint32(len(w.slots))]
	for next != 0 {
		id := next - 1
		l := w.links.Link(id)
		next = l.next
		if l.tick <= last {
			w.Clear(id)
			w.due = append(w.due, id)
		}
	}
}
