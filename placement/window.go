package placement

// This file defines counts and sums over sliding windows.

import "time"

// eventWindow holds the times of the events within the last coldRateWindow; its zero
// value is empty.
type eventWindow struct {
	times []time.Time
}

// count returns the number of events in the window that ends now.
func (w *eventWindow) count(now time.Time) int {
	expired := 0
	for expired < len(w.times) && now.Sub(w.times[expired]) > coldRateWindow {
		expired++
	}
	w.times = append(w.times[:0], w.times[expired:]...)
	return len(w.times)
}

// coldRateWindow is the span over which requests to a cold server are counted. It is
// longer than the second that the rate is defined over, since requests may be delayed
// unevenly on their way.
const coldRateWindow = 1100 * time.Millisecond

// add records an event. Times must not decrease.
func (w *eventWindow) add(now time.Time) { w.times = append(w.times, now) }

// advanceRing moves the newest slot of a ring from number at to number to. It empties the
// slots in between, subtracts them from the total, and returns the number of the newest slot.
func advanceRing(slots []float64, total *float64, at, to int64) int64 {
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

// slidingSum sums amounts over a sliding window of slidingSlots slots of a fixed length.
type slidingSum struct {
	slots      [slidingSlots]float64
	total      float64
	newestSlot int64
}

// Resolution and span of a slidingSum.
const (
	slidingSlots = 16
	slotLength   = 250 * time.Millisecond
	slidingSpan  = slidingSlots * slotLength
)

// advanceTo makes slot the newest one.
func (s *slidingSum) advanceTo(slot int64) {
	s.newestSlot = advanceRing(s.slots[:], &s.total, s.newestSlot, slot)
}

// add adds an amount to a slot, which becomes the newest one.
func (s *slidingSum) add(slot int64, amount float64) {
	s.advanceTo(slot)
	s.slots[s.newestSlot%slidingSlots] += amount
	s.total += amount
}

// sum returns the total of the window that ends with a slot.
func (s *slidingSum) sum(slot int64) float64 {
	s.advanceTo(slot)
	return max(0, s.total)
}

// spanSum sums amounts over a sliding window of a span that the caller gives, in
// spanSlots slots; its zero value is empty. A change of the span empties it.
type spanSum struct {
	slots      [spanSlots]float64
	total      float64
	newestSlot int64
	epoch      time.Time // start of slot 0
	spanMs     float64
}

const spanSlots = 32

// advanceTo makes the slot of now the newest one. The span is in milliseconds.
func (s *spanSum) advanceTo(now time.Time, spanMs float64) {
	if s.spanMs != spanMs {
		*s = spanSum{epoch: now, spanMs: spanMs}
	}
	slot := int64(milliseconds(now.Sub(s.epoch)) / spanMs * spanSlots)
	s.newestSlot = advanceRing(s.slots[:], &s.total, s.newestSlot, slot)
}

// add adds an amount at now.
func (s *spanSum) add(now time.Time, spanMs, amount float64) {
	s.advanceTo(now, spanMs)
	s.slots[s.newestSlot%spanSlots] += amount
	s.total += amount
}

// sum returns the total of the span that ends now.
func (s *spanSum) sum(now time.Time, spanMs float64) float64 {
	s.advanceTo(now, spanMs)
	return max(0, s.total)
}
