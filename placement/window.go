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

// amounts are what was added lately; its zero value is empty.
type amounts struct {
	list []amount
}

type amount struct {
	at    time.Time
	value float64
}

func (a *amounts) add(now time.Time, value float64) { a.list = append(a.list, amount{now, value}) }

// sum returns what was added in the milliseconds before now.
func (a *amounts) sum(now time.Time, span float64) float64 {
	old, sum := 0, 0.0
	for _, x := range a.list {
		if milliseconds(now.Sub(x.at)) > maxSpan {
			old++
			continue
		}
		if milliseconds(now.Sub(x.at)) <= span {
			sum += x.value
		}
	}
	a.list = append(a.list[:0], a.list[old:]...)
	return sum
}

// maxSpan is the longest span that is summed, in milliseconds.
const maxSpan = 1000.0
