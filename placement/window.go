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

// advanceRing makes the bucket with number to the newest one of a ring, in place of the one
// with number at. It empties the buckets in between, subtracts them from the total, and returns the number of the
// newest bucket.
func advanceRing(buckets []float64, total *float64, at, to int64) int64 {
	if to-at >= int64(len(buckets)) {
		clear(buckets)
		*total = 0
		return to
	}
	for at < to {
		at++
		i := at % int64(len(buckets))
		*total -= buckets[i]
		buckets[i] = 0
	}
	return at
}

// slidingSum sums amounts over a sliding window of slidingBuckets buckets of a fixed length.
type slidingSum struct {
	buckets      [slidingBuckets]float64
	total        float64
	newestBucket int64
}

// Resolution and span of a slidingSum.
const (
	slidingBuckets = 16
	bucketLength   = 250 * time.Millisecond
	slidingSpan    = slidingBuckets * bucketLength
)

// advanceTo makes bucket the newest one.
func (s *slidingSum) advanceTo(bucket int64) {
	s.newestBucket = advanceRing(s.buckets[:], &s.total, s.newestBucket, bucket)
}

// add adds an amount to a bucket, which becomes the newest one.
func (s *slidingSum) add(bucket int64, amount float64) {
	s.advanceTo(bucket)
	s.buckets[s.newestBucket%slidingBuckets] += amount
	s.total += amount
}

// sum returns the total of the window that ends with a bucket.
func (s *slidingSum) sum(bucket int64) float64 {
	s.advanceTo(bucket)
	return max(0, s.total)
}

// spanSum sums amounts over a sliding window of a span that the caller gives, in
// spanBuckets buckets; its zero value is empty. A change of the span empties it.
type spanSum struct {
	buckets      [spanBuckets]float64
	total        float64
	newestBucket int64
	epoch        time.Time // start of bucket 0
	spanMs       float64
}

const spanBuckets = 32

// advanceTo makes the bucket of now the newest one. The span is in milliseconds.
func (s *spanSum) advanceTo(now time.Time, spanMs float64) {
	if s.spanMs != spanMs {
		*s = spanSum{epoch: now, spanMs: spanMs}
	}
	bucket := int64(milliseconds(now.Sub(s.epoch)) / spanMs * spanBuckets)
	s.newestBucket = advanceRing(s.buckets[:], &s.total, s.newestBucket, bucket)
}

// add adds an amount at now.
func (s *spanSum) add(now time.Time, spanMs, amount float64) {
	s.advanceTo(now, spanMs)
	s.buckets[s.newestBucket%spanBuckets] += amount
	s.total += amount
}

// sum returns the total of the span that ends now.
func (s *spanSum) sum(now time.Time, spanMs float64) float64 {
	s.advanceTo(now, spanMs)
	return max(0, s.total)
}
