package placement

// This file defines window, a count over a sliding second, and rates over longer windows.

import "time"

// window holds the times of the last events within one second; its zero value is empty.
type window struct {
	times []time.Time
}

// count returns the events of the second before now.
func (w *window) count(now time.Time) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > coldWindow {
		old++
	}
	w.times = append(w.times[:0], w.times[old:]...)
	return len(w.times)
}

// coldWindow is the span over which a cold server's requests are counted; longer than
// the rule's second, since requests may be delayed unevenly on their way.
const coldWindow = 1100 * time.Millisecond

func (w *window) add(now time.Time) { w.times = append(w.times, now) }

// advance empties the slots of a ring that lie between its newest one and a later one,
// takes them off the total, and returns the newest.
func advance(slots []float64, total *float64, at, to int64) int64 {
	if to-at >= int64(len(slots)) {
		clear(slots)
		*total = 0
		return to
	}
	for at < to {
		at++
		i := at % int64(len(slots))
		*total -= slots[i]
		slots[i] = 0
	}
	return at
}

// series counts amounts in slots of a fixed length over a sliding window.
type series struct {
	slots [seriesSlots]float64
	total float64
	at    int64 // number of the newest slot
}

// Resolution of a series.
const (
	seriesSlots = 16
	slotLength  = 250 * time.Millisecond
	seriesSpan  = seriesSlots * slotLength
)

func (s *series) move(slot int64) {
	s.at = advance(s.slots[:], &s.total, s.at, slot)
}

func (s *series) add(slot int64, amount float64) {
	s.move(slot)
	s.slots[s.at%seriesSlots] += amount
	s.total += amount
}

// sum returns the amounts of the window that ends at a slot.
func (s *series) sum(slot int64) float64 {
	s.move(slot)
	return max(0, s.total)
}

// amounts sums what was added within a span before now, in slots of a thirty-second of
// it; its zero value is empty. A change of the span forgets what was added.
type amounts struct {
	slots [amountSlots]float64
	total float64
	at    int64 // number of the newest slot
	base  time.Time
	span  float64 // milliseconds
}

const amountSlots = 32

func (a *amounts) move(now time.Time, span float64) {
	if a.span != span {
		*a = amounts{base: now, span: span}
	}
	slot := int64(milliseconds(now.Sub(a.base)) / span * amountSlots)
	a.at = advance(a.slots[:], &a.total, a.at, slot)
}

func (a *amounts) add(now time.Time, span, value float64) {
	a.move(now, span)
	a.slots[a.at%amountSlots] += value
	a.total += value
}

// sum returns what was added in the span before now.
func (a *amounts) sum(now time.Time, span float64) float64 {
	a.move(now, span)
	return max(0, a.total)
}
