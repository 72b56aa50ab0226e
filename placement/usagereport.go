package placement

// This file defines usageReport, the usage of customers at other routers.
//
// A report holds sums over the sliding window. It replaces the sender's last one, so a lost or repeated
// report does no harm, and another router of a zone can report for the zone at any moment. Without
// new reports a report fades as its window passes.

import "time"

// reportFreshTime is the age up to which a report counts in full; from then on it fades until its
// window has passed.
const reportFreshTime = time.Second

// usageReport is the last report of another router, or of another zone.
type usageReport struct {
	zone       string
	ofZone     bool // it covers all routers of a zone
	receivedAt time.Time
	weight     float64 // fraction that counts
	entries    []reportEntry
}

// reportEntry is the usage of one customer in a report.
type reportEntry struct {
	customer *customer
	usage    usage
}

// apply adds a fraction of the report to the customers' remote usage, or subtracts it.
func (r *usageReport) apply(fraction float64) {
	for _, e := range r.entries {
		e.customer.remote.addScaled(e.usage, fraction)
	}
}

// applyReport replaces the last report of a sender by that of a summary.
func (s *shares) applyReport(now time.Time, m *Summary) {
	if old := s.reports[m.Router]; old != nil {
		old.apply(-old.weight)
	}
	r := &usageReport{zone: m.Zone, ofZone: m.ZoneRouters > 0, receivedAt: now, weight: 1, entries: make([]reportEntry, 0, len(m.Usage))}
	for _, u := range m.Usage {
		r.entries = append(r.entries, reportEntry{s.customer(u.Customer), usage{float64(u.Demand), float64(u.Served), float64(u.WithinShare)}})
	}
	s.reports[m.Router] = r
	r.apply(1)
}

// ageReports updates the weights of the reports and drops those that have faded. It sums up the
// remote usage anew, so that rounding errors do not add up.
func (s *shares) ageReports(now time.Time) {
	for _, c := range s.customers {
		c.remote = usage{}
	}
	for sender, r := range s.reports {
		r.weight = 1 - ramp(now.Sub(r.receivedAt).Seconds(), reportFreshTime.Seconds(), slidingSpan.Seconds())
		if r.weight == 0 {
			delete(s.reports, sender)
			continue
		}
		r.apply(r.weight)
	}
}

// zoneReports returns how many other zones' reports count, and the age of the oldest.
func (s *shares) zoneReports(now time.Time) (zones int, oldest time.Duration) {
	for _, r := range s.reports {
		if r.ofZone {
			zones++
			oldest = max(oldest, now.Sub(r.receivedAt))
		}
	}
	return zones, oldest
}

// fillUsage adds the customers' usage at this router to a summary.
func (s *shares) fillUsage(now time.Time, m *Summary) {
	bucket := s.bucket(now)
	for _, c := range s.customers {
		m.addUsage(c.name, c.local(bucket))
	}
}

// fillZoneUsage adds the customers' usage at this router and at the other routers of its zone.
func (s *shares) fillZoneUsage(now time.Time, zone string, m *Summary) {
	s.ageReports(now)
	bucket := s.bucket(now)
	total := map[*customer]usage{}
	for _, c := range s.customers {
		total[c] = c.local(bucket)
	}
	for _, r := range s.reports {
		if r.ofZone || r.zone != zone {
			continue
		}
		for _, e := range r.entries {
			u := total[e.customer]
			u.addScaled(e.usage, r.weight)
			total[e.customer] = u
		}
	}
	for c, u := range total {
		m.addUsage(c.name, u)
	}
}

// addUsage adds the usage of a customer to the summary if it has any.
func (m *Summary) addUsage(customer string, u usage) {
	if u != (usage{}) {
		m.Usage = append(m.Usage, CustomerUsage{Customer: customer, Demand: uint64(u.demand), Served: uint64(u.served), WithinShare: uint64(u.withinShare)})
	}
}
