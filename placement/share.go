package placement

// This file defines what customers asked for and got over the whole fleet, and
// their max-min shares of the capacity.

import (
	"slices"
	"time"
)

// customer is one customer's demand and service of the last seconds, in cost.
type customer struct {
	name          string
	asked, served series // fleet-wide
	askedSum      uint64 // by this router in all, told to other routers
	servedSum     uint64
	zoneAsked     uint64 // the same of the other routers of its zone, as heard
	zoneServed    uint64
}

// shares are all customers' demand and service.
type shares struct {
	customers map[string]*customer
	began     time.Time
	capacity  float64 // cost per second, 0 if unknown
	level     float64 // share of a customer that asks for more, in cost per window; 0 if there is enough
	mean      float64 // what customers got that ask for more than they get, in cost per window
	levelAt   int64
	demands   []float64
}

func newShares(now time.Time) *shares {
	return &shares{customers: map[string]*customer{}, began: now}
}

func (s *shares) slot(now time.Time) int64 { return int64(now.Sub(s.began)/slotLength) + seriesSlots }

func (s *shares) customer(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name}
		s.customers[name] = c
	}
	return c
}

// over reports whether a customer has had its share of the window.
func (s *shares) over(now time.Time, c *customer, cost float64) bool {
	slot := s.slot(now)
	if slot != s.levelAt {
		s.refresh(slot)
	}
	return s.level > 0 && c.served.sum(slot)+cost/2 > s.level
}

// yields returns the part of the spare capacity that a customer above its share may
// use: less as it got more than the others that ask for more, so that these get alike
// wherever their requests arrive.
func (s *shares) yields(now time.Time, c *customer) float64 {
	if s.mean <= 0 {
		return 1
	}
	return min(1, max(0, 1-yieldSlope*(c.served.sum(s.slot(now))/s.mean-1)))
}

// yieldSlope makes a customer use nothing that is spare when it got a third more than the mean.
const yieldSlope = 3

// unsatisfied is the part of what it asks up to which a customer counts as asking for more.
const unsatisfied = 0.9

// average computes what those customers got on the average that ask for more than
// they get, the share at least.
func (s *shares) average(slot int64) {
	sum, n := 0.0, 0
	for _, c := range s.customers {
		asked, served := c.asked.sum(slot), c.served.sum(slot)
		if asked > s.level && served < unsatisfied*asked {
			sum += served
			n++
		}
	}
	s.mean = 0
	if n > 0 {
		s.mean = max(s.level, sum/float64(n))
	}
}

// refresh computes the max-min share: the level at which capacity is used up when
// each customer gets what it asks, but at most the level.
func (s *shares) refresh(slot int64) {
	s.levelAt, s.level, s.mean = slot, 0, 0
	if s.capacity <= 0 {
		return
	}
	s.demands = s.demands[:0]
	total := 0.0
	for _, c := range s.customers {
		if d := c.asked.sum(slot); d > 0 {
			s.demands = append(s.demands, d)
			total += d
		}
	}
	left := s.capacity * seriesSpan.Seconds()
	if total <= left {
		return
	}
	slices.Sort(s.demands)
	for i, d := range s.demands {
		even := left / float64(len(s.demands)-i)
		if d > even {
			s.level = even
			s.average(slot)
			return
		}
		left -= d
	}
}
