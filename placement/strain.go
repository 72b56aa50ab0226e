package placement

// This file defines strain, how late streams get under the present load.

// strain is the part of streams that were late, of which old ones count less; its
// zero value is none. It closes the loop over what the model of an engine lacks:
// what is given to engines goes down as streams get late.
type strain struct {
	late float64
}

// How strain bounds what engines are given.
const (
	strainGain         = 0.03 // of one stream
	spareFrom, spareTo = 0.15, 0.40
	fullFrom, fullTo   = 0.35, 0.80
	leastFull          = 0.5
)

func (s *strain) add(late bool) {
	value := 0.0
	if late {
		value = 1
	}
	s.late += strainGain * (value - s.late)
}

// spare returns the part of the bound that customers above their share may use.
func (s *strain) spare() float64 { return 1 - ramp(s.late, spareFrom, spareTo) }

// full returns the part of the bound that customers below their share may use.
func (s *strain) full() float64 { return max(leastFull, 1-ramp(s.late, fullFrom, fullTo)) }

// ramp goes from 0 to 1 as x goes from one bound to the other.
func ramp(x, from, to float64) float64 { return min(1, max(0, (x-from)/(to-from))) }
