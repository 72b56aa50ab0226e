package rollout

// This file defines the evidence for and against a version: likelihood ratios of its answers and those of the old version.

import (
	"math"
	"time"
)

// Evidence is in natural logarithms of odds: how much likelier the answers are if the version is bad than if it is as the old one.
const (
	rollbackEvidence     = 7.0 // odds of 1,100 to 1 that the version is bad
	lateRollbackEvidence = 5.0 // the same once 50 bad answers are known, when waiting costs more
	pauseEvidence        = 3.0 // the version gets no more than it has
	holdEvidence         = 1.0 // a router that hears few others sends no more
	shiftEvidence        = 3.0 // odds of 20 to 1 against the least fault
	lateShiftEvidence    = 1.0 // the same when the deadline is near
)

// Figures of the comparison.
const (
	leastFault     = 0.15  // share of answers that the least fault to be found makes fail
	leastSlow      = 0.3   // share of answers that it makes slow
	leastExcess    = 4     // bad answers beyond the expected number, so that one incident of one server is no proof against a version
	leastPrior     = 5     // answers of a window that the rate of the whole order counts as, if the old version has many there
	mostPrior      = 30    // the same if it has none there
	matchedPrior   = 2     // the same between two snapshots, where the rate of that moment is wanted
	priorFalls     = 3     // from one to the other, for each answer of the old version in the window
	baselineErrors = 2     // standard errors by which the expected rate is raised against wrong rollbacks
	leastRate      = 0.005 // of failures of a sound version
	mostDesigned   = 0.25  // failure rate of old servers up to which a version is cleared by being like them
	slowBuckets    = 3     // buckets beyond the old version's median: at least 2 times, at most 2.8 times as slow
	mostSlowOld    = 0.1   // share of the old version's answers that may count as slow
	leastTimed     = 8     // answers of the old version without which no time is compared
	routeShare     = 0.1   // share of a service's answers from which a route needs evidence of its own
	routeAnswers   = 6     // of the version on such a route
	recentPart     = 3     // a window over its end, in which answers still have to be slow
	snapshotPeriod = 250 * time.Millisecond
	slowLasts      = 0.5 // of RollbackDelay, for each of two successive windows: a slow start of a server passes sooner
)

// Shares of answers that the faults considered make fail, and make slow.
var (
	failEffects = [...]float64{0.1, 0.3, 0.7}
	slowEffects = [...]float64{leastSlow, 0.7}
)

// snapshot is the sum of the answers at a time. Windows are counted from snapshots.
type snapshot struct {
	at       time.Time
	routes   []RouteCounts
	expected []float64 // failures of the version by route, had it failed as often as the old one at each time
}

// sample compares the answers of both versions on one route in a window. prior is the old version's rate over the whole order, and
// matched its rate at the times of the version's answers: the version's share of requests changes, so that a fault outside the
// versions may hit more of its answers.
type sample struct {
	oldBad, oldAnswers, newBad, newAnswers, prior, matched float64
}

// weight returns how many answers of the old version the sample stands on. In a window with few of them, which is usual late in
// the shift, the whole order counts more; with many, it counts less, since a fault outside the versions raises the rates of both.
func (s sample) weight() float64 {
	return s.oldAnswers + max(leastPrior, mostPrior-priorFalls*s.oldAnswers)
}

// baseline returns the rate of bad answers to be expected, raised by a number of standard errors.
func (s sample) baseline(errors float64) float64 {
	n := s.weight()
	p := max(s.matched, (s.oldBad+(n-s.oldAnswers)*s.prior)/n)
	p += errors * math.Sqrt(p*(1-p)/n)
	return min(max(p, leastRate), 1-leastRate)
}

// odds returns the evidence that a fault makes a share of the answers bad, in addition to the rate p. No more answers of the new
// version count than the rate stands on: the error of the rate would otherwise add up without end.
func (s sample) odds(p, effect float64) float64 {
	q := p + effect*(1-p)
	odds := s.newBad*math.Log(q/p) + (s.newAnswers-s.newBad)*math.Log((1-q)/(1-p))
	return odds * s.weight() / (s.weight() + s.newAnswers)
}

// failures returns the sample of failed answers. d is the window and whole the order.
func failures(d, whole RouteCounts) (sample, bool) {
	prior := (float64(whole.Old.Failed) + 0.5) / (float64(whole.Old.Answered) + 1)
	return sample{float64(d.Old.Failed), float64(d.Old.Answered), float64(d.New.Failed), float64(d.New.Answered), prior, 0}, true
}

// slowness returns the sample of slow answers, and false if the old version's times are too few to tell what is slow.
func slowness(d, whole RouteCounts) (sample, bool) {
	bucket, ok := slowFrom(whole.Old)
	if !ok {
		return sample{}, false
	}
	slow, timed := whole.Old.tail(bucket), whole.Old.tail(0)
	prior := (slow + 0.5) / (timed + 1)
	return sample{d.Old.tail(bucket), d.Old.tail(0), d.New.tail(bucket), d.New.tail(0), prior, 0}, true
}

// slowFrom returns the bucket from which answers are slow by the old version's measure.
func slowFrom(old Counts) (bucket int, ok bool) {
	timed := old.tail(0)
	if timed < leastTimed {
		return 0, false
	}
	median := 0
	for old.tail(median+1) > timed/2 {
		median++
	}
	bucket = median + slowBuckets
	for bucket < ratioBuckets && old.tail(bucket) > mostSlowOld*timed {
		bucket++
	}
	return bucket, bucket < ratioBuckets
}

// tail returns the number of answers in a bucket and those above.
func (c Counts) tail(bucket int) float64 {
	n := uint32(0)
	for i := bucket; i < ratioBuckets; i++ {
		n += c.Times[i]
	}
	return float64(n)
}

// window is what was answered between two times. whole is the order up to the later one.
type window struct {
	counts, whole []RouteCounts
	from, last    *snapshot // before the window, and the last one in it
}

// failures returns the sample of failed answers of a route.
func (w window) failures(i int) sample {
	s, _ := failures(w.counts[i], w.whole[i])
	if w.last == nil || i >= len(w.last.routes) {
		return s
	}
	answers, expected := float64(w.last.routes[i].New.Answered), w.last.expected[i]
	if w.from != nil && i < len(w.from.routes) {
		answers -= float64(w.from.routes[i].New.Answered)
		expected -= w.from.expected[i]
	}
	if answers > 0 {
		s.matched = min(1, expected/answers)
	}
	return s
}

// slowness returns the sample of slow answers of a route.
func (w window) slowness(i int) (sample, bool) { return slowness(w.counts[i], w.whole[i]) }

// against returns the evidence against the version in a window, for the likeliest one of the faults: on all routes or on one.
func (w window) against(of func(i int) (sample, bool), effects []float64, excess float64) float64 {
	most := 0.0
	correction := math.Log(float64(max(1, len(w.counts)))) // for looking at each route by itself
	for _, effect := range effects {
		sum, sumExcess := 0.0, 0.0
		for i := range w.counts {
			s, ok := of(i)
			if !ok || s.newAnswers == 0 {
				continue
			}
			p := s.baseline(baselineErrors)
			odds, beyond := s.odds(p, effect), s.newBad-p*s.newAnswers
			sum, sumExcess = sum+odds, sumExcess+beyond
			if beyond >= excess {
				most = max(most, odds-correction)
			}
		}
		if sumExcess >= excess {
			most = max(most, sum)
		}
	}
	return most
}

// soundAnswers returns the evidence that the version fails no more than the old one, by the least fault to be found.
func (w window) soundAnswers() float64 {
	sum := 0.0
	for i := range w.counts {
		if s := w.failures(i); s.newAnswers > 0 {
			sum -= s.odds(min(s.baseline(0), mostDesigned), leastFault)
		}
	}
	return sum
}

// soundTimes returns the same of slow answers, and false if the old version's times are too few to tell.
func (w window) soundTimes() (sum float64, ok bool) {
	for i := range w.counts {
		if s, timed := w.slowness(i); timed {
			ok = true
			sum -= s.odds(s.baseline(0), leastSlow)
		}
	}
	return sum, ok
}

// routesSound reports whether each large route has as many answers as it needs by itself, and none favours the least fault. Near
// the deadline, when late goes from 0 to 1, less will do.
func (w window) routesSound(late float64) bool {
	all := uint32(0)
	for _, c := range w.whole {
		all += c.Old.Answered
	}
	for i, c := range w.whole {
		if float64(c.Old.Answered) < max(1, routeShare*float64(all)) {
			continue
		}
		s := w.failures(i)
		if s.newAnswers < (1-late)*routeAnswers || late < 1 && s.odds(min(s.baseline(0), mostDesigned), leastFault) > late*pauseEvidence {
			return false
		}
	}
	return true
}

// since returns the window that began with a snapshot and ended with another one, or now if until is nil. It uses the trial's
// buffer, which the next call overwrites.
func (t *trial) since(from, until *snapshot) window {
	end := t.total.routes
	if until != nil {
		end = until.routes
	}
	t.buffer = append(t.buffer[:0], end...)
	if from != nil {
		for i, c := range from.routes {
			t.buffer[i].Old, t.buffer[i].New = t.buffer[i].Old.minus(c.Old), t.buffer[i].New.minus(c.New)
		}
	}
	return window{counts: t.buffer, whole: t.total.routes[:len(end)], from: from, last: t.snapshots[len(t.snapshots)-1]}
}

// answers returns the number of the version's answers.
func (w window) answers() (n uint32) {
	for _, c := range w.counts {
		n += c.New.Answered
	}
	return n
}

// failing returns the evidence of failures with a least number beyond the expected one.
func (w window) failing(excess float64) float64 {
	return w.against(func(i int) (sample, bool) { return w.failures(i), true }, failEffects[:], excess)
}

// slowing returns the evidence of slow answers with a least number beyond the expected one.
func (w window) slowing(excess float64) float64 {
	return w.against(w.slowness, slowEffects[:], excess)
}

// newSnapshot returns the sums as they are now.
func (t *trial) newSnapshot(now time.Time) *snapshot {
	s := &snapshot{at: now, routes: append([]RouteCounts(nil), t.total.routes...), expected: make([]float64, len(t.total.routes))}
	if len(t.snapshots) == 0 {
		return s
	}
	last := t.snapshots[len(t.snapshots)-1]
	copy(s.expected, last.expected)
	for i, c := range t.since(last, nil).counts {
		sample, _ := failures(c, s.routes[i])
		s.expected[i] += sample.newAnswers * (sample.oldBad + matchedPrior*sample.prior) / (sample.oldAnswers + matchedPrior)
	}
	return s
}

// snap keeps the sums as they are now. Of older snapshots fewer are kept, so that their number grows with the logarithm of the
// order's age and windows of each length exist within a quarter.
func (t *trial) snap(now time.Time) {
	if n := len(t.snapshots); n > 0 && now.Sub(t.snapshots[n-1].at) < snapshotPeriod {
		return
	}
	t.snapshots = append(t.snapshots, t.newSnapshot(now))
	kept := t.snapshots[:1]
	for i := 1; i < len(t.snapshots); i++ {
		last := i == len(t.snapshots)-1
		if last || t.snapshots[i+1].at.Sub(kept[len(kept)-1].at) >= now.Sub(t.snapshots[i].at)/4 {
			kept = append(kept, t.snapshots[i])
		}
	}
	clear(t.snapshots[len(kept):])
	t.snapshots = kept
}

// weigh computes the evidence of all windows that end now. A fault may appear late, so the strongest window counts.
func (t *trial) weigh(now time.Time) {
	whole := t.since(nil, nil)
	answers := whole.answers()
	t.suspicion, t.failing = whole.failing(0), whole.failing(leastExcess)
	t.slowing, t.slowNow = 0, 0
	sound := whole.soundAnswers()
	t.favoursFault = sound < 0
	soundTimes, timed := whole.soundTimes()
	for i, s := range t.snapshots {
		w := t.since(s, nil)
		t.failing = max(t.failing, w.failing(leastExcess))
		if 2*w.answers() >= answers { // a slow start, or a fault outside the versions, may have gone before
			sound = max(sound, w.soundAnswers())
			times, _ := w.soundTimes()
			soundTimes = max(soundTimes, times)
		}
		t.slowing = max(t.slowing, t.slowTwice(now, i))
	}
	t.suspicion = max(t.suspicion, t.slowing)
	t.favour = sound
	if timed {
		t.favour = min(sound, soundTimes)
	}
}

// slowTwice returns the evidence that answers were slow both since snapshot i and in the window of the same length before it, and
// still are: the end of a slow start must not count for all of a longer window.
func (t *trial) slowTwice(now time.Time, i int) float64 {
	late := t.since(t.snapshots[i], nil).slowing(leastExcess / 2)
	if late <= t.slowing {
		return 0
	}
	length := now.Sub(t.snapshots[i].at)
	recent := i
	for recent+1 < len(t.snapshots) && now.Sub(t.snapshots[recent].at) > length/recentPart {
		recent++
	}
	if t.since(t.snapshots[recent], nil).slowing(0) < pauseEvidence {
		return 0
	}
	t.slowNow = max(t.slowNow, late)
	first := i - 1
	for first >= 0 && t.snapshots[i].at.Sub(t.snapshots[first].at) < length {
		first--
	}
	if first < 0 || float64(length) < slowLasts*float64(t.options.RollbackDelay) {
		return 0
	}
	return min(late, t.since(t.snapshots[first], t.snapshots[i]).slowing(leastExcess/2))
}
