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
	if slot-s.at >= seriesSlots {
		*s = series{at: slot}
		return
	}
	for s.at < slot {
		s.at++
		i := s.at % seriesSlots
		s.total -= s.slots[i]
		s.slots[i] = 0
	}
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
	if slot-a.at >= amountSlots {
		a.slots, a.total, a.at = [amountSlots]float64{}, 0, slot
		return
	}
	for a.at < slot {
		a.at++
		i := a.at % amountSlots
		a.total -= a.slots[i]
		a.slots[i] = 0
	}
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
