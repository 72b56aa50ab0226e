package serverload

// This file defines persistence, how far a difference from a mean still holds some time later.

import (
	"math"
	"math/bits"
	"time"
)

// persistence estimates the autocorrelation of a figure from pairs of statements of the same server, by the time between
// the two. Its zero value has seen no pair and trusts nothing before update is called.
type persistence struct {
	products [ageBins]float64 // sums of the products of the two differences from the mean
	squares  [ageBins]float64 // sums of the mean of their squares
	variance float64          // moving average of those squares over all ages
	pairs    int

	// Set by update, since a decision asks for them for each server.
	holds      [ageBins]float64 // fraction of a difference that still holds, between 0 and 1
	deviations [ageBins]float64 // standard deviation of what it is then
	deviation  float64          // the same if nothing is known
}

// Bins and gains of a persistence.
const (
	ageBins      = 12
	firstBinBits = 23    // the first bin ends at 2^23 ns, 8.4 ms, and each further one is twice as wide; the last one begins at 8.6 s
	pairDecay    = 0.995 // factor on the older pairs of a bin at each new one
	varianceGain = 0.01  // weight of one pair, if there are many
	priorPairs   = 12    // weight of the assumed correlation, in pairs of the mean variance
)

// binOf returns the bin of an age.
func binOf(age time.Duration) int {
	return min(ageBins-1, bits.Len64(uint64(max(0, age))>>firstBinBits))
}

// add adds a pair of differences from the mean that were stated at times age apart.
func (p *persistence) add(age time.Duration, first, second float64) {
	square := (first*first + second*second) / 2
	p.pairs++
	p.variance += max(varianceGain, 1/float64(p.pairs)) * (square - p.variance)
	b := binOf(age)
	p.products[b] = p.products[b]*pairDecay + first*second
	p.squares[b] = p.squares[b]*pairDecay + square
}

// update computes what the pairs seen so far say. Where there are few, a difference is taken to hold to one half after
// the given time.
func (p *persistence) update(hold time.Duration) {
	prior := priorPairs * p.variance
	for b := range p.holds {
		p.holds[b] = fade(time.Duration(1)<<(firstBinBits+b)*3/4, hold) // the middle of the bin
		if p.variance > 0 {
			p.holds[b] = max(0, min(1, (p.products[b]+prior*p.holds[b])/(p.squares[b]+prior)))
		}
		p.deviations[b] = math.Sqrt(p.variance * (1 - p.holds[b]*p.holds[b]))
	}
	p.deviation = math.Sqrt(p.variance)
}

// fade returns a weight that falls with age from 1 to 0, and is one half after hold.
func fade(age, hold time.Duration) float64 {
	return float64(hold) / float64(hold+max(0, age))
}
