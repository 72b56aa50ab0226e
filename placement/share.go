package placement

// This file defines the demand and service of customers over the whole fleet, and their
// max-min fair shares of the capacity.

import (
	"slices"
	"time"
)

// customer holds one customer's demand and service over the sliding window, in cost.
type customer struct {
	name           string
	demand, served slidingSum // of all routers
	demandCounter  uint64     // demand at this router since its start, for its summaries
	servedCounter  uint64     // service from this router since its start
	zoneDemand     uint64     // demand at the other routers of its zone, from their summaries
	zoneServed     uint64
}

// shares holds the demand and service of all customers and the fair share that follows
// from them. A customer is backlogged if its demand is above the fair share and it
// received less than backloggedBelow of it.
type shares struct {
	customers     map[string]*customer
	startedAt     time.Time
	capacity      float64   // cost per second; 0 if unknown
	fairShare     float64   // max-min fair share in cost per window; 0 if capacity exceeds demand
	leastServed   float64   // service of the least-served backlogged customer, and at least fairShare; 0 if no customer is backlogged
	refreshedSlot int64     // slot for which fairShare and leastServed were computed
	demands       []float64 // buffer of refresh
}

// newShares returns shares without customers, with slots counted from now.
func newShares(now time.Time) *shares {
	return &shares{customers: map[string]*customer{}, startedAt: now}
}

// slot returns the number of the slot that a time lies in.
func (s *shares) slot(now time.Time) int64 {
	return int64(now.Sub(s.startedAt)/slotLength) + slidingSlots
}

// customer returns the customer of a name, which it adds if necessary.
func (s *shares) customer(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name}
		s.customers[name] = c
	}
	return c
}

// exceedsShare reports whether a request of the given cost takes a customer above its
// fair share of the window; half of the cost counts.
func (s *shares) exceedsShare(now time.Time, c *customer, cost float64) bool {
	slot := s.slot(now)
	if slot != s.refreshedSlot {
		s.refresh(slot)
	}
	return s.fairShare > 0 && c.served.sum(slot)+cost/2 > s.fairShare
}

// allowedSpare returns the fraction of the spare capacity that a customer above its
// fair share may use. It falls as the customer's service grows beyond that of the
// least-served backlogged customer, so that the ratio between them stays bounded
// wherever their requests arrive. While servers are idle, openFraction is a minimum, which
// falls to 0 at a higher ratio.
func (s *shares) allowedSpare(now time.Time, c *customer, openFraction float64) float64 {
	if s.leastServed <= 0 {
		return 1
	}
	lead := c.served.sum(s.slot(now)) / s.leastServed
	return max(1-ramp(lead, leadFrom, leadTo), openFraction*(1-ramp(lead, leadTo, leadIdle)))
}

// Ratios of a customer's service to that of the least-served backlogged customer from
// which it may use less spare capacity, none, and none even while servers are idle. They
// keep the service of a backlogged customer at half of any other customer's or more.
const (
	leadFrom, leadTo, leadIdle = 1.05, 1.3, 1.65
)

// backloggedBelow is the ratio of service to demand below which a customer is backlogged.
const backloggedBelow = 0.9

// updateLeastServed computes leastServed.
func (s *shares) updateLeastServed(slot int64) {
	s.leastServed = 0
	for _, c := range s.customers {
		demand, served := c.demand.sum(slot), c.served.sum(slot)
		if demand <= s.fairShare || served >= backloggedBelow*demand {
			continue
		}
		if s.leastServed == 0 || served < s.leastServed {
			s.leastServed = max(s.fairShare, served)
		}
	}
}

// refresh computes the max-min fair share: the level at which the capacity is used up
// if each customer gets the smaller of its demand and the level.
func (s *shares) refresh(slot int64) {
	s.refreshedSlot, s.fairShare, s.leastServed = slot, 0, 0
	if s.capacity <= 0 {
		return
	}
	s.demands = s.demands[:0]
	total := 0.0
	for _, c := range s.customers {
		if d := c.demand.sum(slot); d > 0 {
			s.demands = append(s.demands, d)
			total += d
		}
	}
	left := s.capacity * slidingSpan.Seconds()
	if total <= left {
		return
	}
	slices.Sort(s.demands)
	for i, d := range s.demands {
		even := left / float64(len(s.demands)-i)
		if d > even {
			s.fairShare = even
			s.updateLeastServed(slot)
			return
		}
		left -= d
	}
}
