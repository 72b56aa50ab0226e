package placement

// This file defines the demand and served cost of customers over the whole fleet, and their
// max-min fair shares of the capacity.

import (
	"slices"
	"time"
)

// usage is one customer's cost over the sliding window: of the requests that arrived (demand), of
// those that were sent to backend servers (served), and of those of them that used its fair share
// (withinShare). The others used spare capacity, or ran when nobody had to wait.
type usage struct {
	demand, served, withinShare float64
}

// addScaled adds a fraction of v.
func (u *usage) addScaled(v usage, fraction float64) {
	u.demand += fraction * v.demand
	u.served += fraction * v.served
	u.withinShare += fraction * v.withinShare
}

// customer is one customer, with its usage at this router and elsewhere.
type customer struct {
	name                        string
	demand, served, withinShare slidingSum // at this router; see usage
	remote                      usage      // at the other routers and zones, by their reports
	sharePace                   pace       // at which this router gives it its share
	sparePace                   pace       // at which it gets its share and spare capacity, while it takes any of the latter
}

// usage returns the customer's usage in the window that ends with a bucket, over all routers.
func (c *customer) usage(bucket int64) usage {
	u := c.local(bucket)
	u.addScaled(c.remote, 1)
	return u
}

// local returns the customer's usage at this router.
func (c *customer) local(bucket int64) usage {
	return usage{demand: c.demand.sum(bucket), served: c.served.sum(bucket), withinShare: c.withinShare.sum(bucket)}
}

// charge is what the cost of a request that was sent to a server is charged to.
type charge uint8

const (
	toNothing charge = iota // there was no share
	toShare
	toSpare
)

// addServed adds the cost of a request that was sent to a server, or subtracts it if it did not run.
func (c *customer) addServed(bucket int64, cost float64, to charge) {
	c.served.add(bucket, cost)
	switch to {
	case toShare:
		c.withinShare.add(bucket, cost)
		c.sharePace.credit -= cost
		c.sparePace.credit -= cost
	case toSpare:
		c.sparePace.credit -= cost
	}
}

// shares holds the usage of all customers and the fair share that is computed from it. A customer is
// backlogged if its demand is above the fair share and less than the fraction backloggedBelow of
// that demand was served.
//
// Invariant: a customer's remote usage is the sum of the reports by their weights.
type shares struct {
	customers       map[string]*customer
	reports         map[string]*usageReport // by router, or by zone
	startedAt       time.Time
	capacity        float64   // cost per second; 0 if unknown
	available       float64   // fraction of the capacity that is left by the limits that servers name
	fairShare       float64   // max-min fair share in cost per window; 0 if capacity exceeds demand
	leastServed     float64   // served cost of the least-served backlogged customer, and at least fairShare; 0 if no customer is backlogged
	refreshedBucket int64     // bucket for which fairShare and leastServed were computed
	demands         []float64 // buffer of refresh
}

// newShares returns shares without customers, with buckets counted from now.
func newShares(now time.Time) *shares {
	return &shares{customers: map[string]*customer{}, reports: map[string]*usageReport{}, startedAt: now, available: 1}
}

// charge returns what a request is charged to that is granted now.
func (s *shares) charge(overShare bool) charge {
	switch {
	case s.fairShare <= 0:
		return toNothing
	case overShare:
		return toSpare
	}
	return toShare
}

// bucket returns the number of the bucket that a time lies in.
func (s *shares) bucket(now time.Time) int64 {
	return int64(now.Sub(s.startedAt)/bucketLength) + slidingBuckets
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
// fair share of the window. Half of the cost is counted, so a request is within the share if
// at least half of its cost is. What the customer got beside its share does not count: otherwise
// a customer that took what nobody wanted would get nothing for a window once others want it.
// A customer that wants more than its share gets it at this router's pace.
func (s *shares) exceedsShare(now time.Time, c *customer, cost float64) bool {
	bucket := s.bucket(now)
	if bucket != s.refreshedBucket {
		s.ageReports(now)
		s.refresh(bucket)
	}
	if s.fairShare <= 0 {
		return false
	}
	u := c.usage(bucket)
	if u.demand <= s.fairShare {
		c.sharePace.reset(now)
		return false
	}
	part := c.part(bucket, cost)
	return u.withinShare+cost/2 > s.fairShare || !c.sharePace.allows(now, cost, part*s.fairShare, sharePaceFactor(part))
}

// part returns this router's part of the customer's demand, at least that of a request of the given cost.
func (c *customer) part(bucket int64, cost float64) float64 {
	return max(c.local(bucket).demand, cost) / max(c.usage(bucket).demand, cost)
}

// allowedSpare returns the fraction of the spare capacity that a request of a customer above its
// fair share may use. It falls as the ratio of the customer's served cost to that of the
// least-served backlogged customer grows, which limits the ratio whichever routers their
// requests arrive at. While servers are idle, the fraction is at least idleSpareFraction,
// which falls to 0 at a higher ratio. It is 0 if the request exceeds this router's pace.
func (s *shares) allowedSpare(now time.Time, c *customer, cost, idleSpareFraction float64) float64 {
	if s.leastServed <= 0 {
		c.sparePace.reset(now)
		return 1
	}
	bucket := s.bucket(now)
	servedRatio := c.usage(bucket).served / s.leastServed
	fraction := max(1-ramp(servedRatio, spareRatioFrom, spareRatioTo), idleSpareFraction*(1-ramp(servedRatio, spareRatioTo, idleSpareRatioTo)))
	most := idleSpareRatioTo * s.leastServed
	if fraction > 0 && !c.sparePace.allows(now, cost, c.part(bucket, cost)*most, steadyPaceFactor) {
		return 0
	}
	return fraction
}

// Ratios of a customer's served cost to that of the least-served backlogged customer. From
// spareRatioFrom on it may use less spare capacity, from spareRatioTo on only what
// idleSpareFraction allows, and from idleSpareRatioTo on none. They lie below 2, with room
// for usage that other routers have not reported yet, so that each backlogged customer is
// served at least half as much as any other customer.
const (
	spareRatioFrom, spareRatioTo, idleSpareRatioTo = 1.05, 1.3, 1.65
)

// backloggedBelow is the ratio of served cost to demand below which a customer is backlogged.
const backloggedBelow = 0.9

// updateLeastServed computes leastServed.
func (s *shares) updateLeastServed(bucket int64) {
	s.leastServed = 0
	for _, c := range s.customers {
		u := c.usage(bucket)
		if u.demand <= s.fairShare || u.served >= backloggedBelow*u.demand {
			continue
		}
		if s.leastServed == 0 || u.served < s.leastServed {
			s.leastServed = max(s.fairShare, u.served)
		}
	}
}

// refresh computes the max-min fair share: the level at which the capacity is used up
// if each customer gets the smaller of its demand and the level.
func (s *shares) refresh(bucket int64) {
	s.refreshedBucket, s.fairShare, s.leastServed = bucket, 0, 0
	if s.capacity <= 0 {
		return
	}
	s.demands = s.demands[:0]
	total := 0.0
	for _, c := range s.customers {
		if d := c.usage(bucket).demand; d > 0 {
			s.demands = append(s.demands, d)
			total += d
		}
	}
	left := s.available * s.capacity * slidingSpan.Seconds()
	if total <= left {
		return
	}
	slices.Sort(s.demands)
	for i, d := range s.demands {
		even := left / float64(len(s.demands)-i)
		if d > even {
			s.fairShare = even
			s.updateLeastServed(bucket)
			return
		}
		left -= d
	}
}
