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
	least     float64 // what the customer got that got least of those that ask for more, the share at least; 0 if none does
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
// use: less as it got more than the one that got least of those that ask for more, so
// that the gap between them stays bounded wherever their requests arrive. Idle is the
// part that is anyone's since engines idle; the gap bounds it too.
func (s *shares) yields(now time.Time, c *customer, idle float64) float64 {
	if s.least <= 0 {
		return 1
	}
	gap := c.served.sum(s.slot(now)) / s.least
	return max(1-ramp(gap, gapFrom, gapTo), idle*(1-ramp(gap, gapTo, gapIdle)))
}

// Service of a customer, in that of the one that got least, from which it may use less
// of what is spare, none, and none while engines idle. A customer gets at least half of
// what another got.
const (
	gapFrom, gapTo, gapIdle = 1.05, 1.3, 1.65
)

// unsatisfied is the part of what it asks up to which a customer counts as asking for more.
const unsatisfied = 0.9

// lowest computes what the customer got that got least of those that ask for more than
// they get, the share at least.
func (s *shares) lowest(slot int64) {
	s.least = 0
	for _, c := range s.customers {
		asked, served := c.asked.sum(slot), c.served.sum(slot)
		if asked <= s.level || served >= unsatisfied*asked {
			continue
		}
		if s.least == 0 || served < s.least {
			s.least = max(s.level, served)
		}
	}
}

// refresh computes the max-min share: the level at which capacity is used up when
// each customer gets what it asks, but at most the level.
func (s *shares) refresh(slot int64) {
	s.levelAt, s.level, s.least = slot, 0, 0
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
			s.lowest(slot)
			return
		}
		left -= d
	}
}
