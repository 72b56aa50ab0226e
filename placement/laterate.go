package placement

// This file defines lateRate, the rate of late streams under the present load.

// lateRate is a moving average of the fraction of streams that were late; its zero
// value is 0. It corrects errors of the prefill model by feedback: the more streams are
// late, the less load model servers get.
type lateRate struct {
	fraction float64
}

// Late rates at which the load limits of model servers begin to fall, and at which they are lowest.
const (
	lateGain                   = 0.03       // weight of one stream
	spareLateFrom, spareLateTo = 0.15, 0.40 // for customers above their fair share
	fairLateFrom, fairLateTo   = 0.35, 0.80 // for customers below it
	minFairFraction            = 0.5        // least fraction of the limit that is left to them
)

// add records a stream.
func (r *lateRate) add(late bool) {
	value := 0.0
	if late {
		value = 1
	}
	r.fraction += lateGain * (value - r.fraction)
}

// spareFraction returns the fraction of a limit that holds for customers above their
// fair share.
func (r *lateRate) spareFraction() float64 { return 1 - ramp(r.fraction, spareLateFrom, spareLateTo) }

// fairFraction returns the fraction of a limit that holds for customers below their
// fair share.
func (r *lateRate) fairFraction() float64 {
	return max(minFairFraction, 1-ramp(r.fraction, fairLateFrom, fairLateTo))
}

// ramp rises linearly from 0 at from to 1 at to, and is constant outside of them.
func ramp(x, from, to float64) float64 { return min(1, max(0, (x-from)/(to-from))) }
