package lab

// This file defines the experiment spread: the time from accepting a configuration change
// until every router applies it.

import (
	"fmt"
	"sync"
	"time"

	"bulrushtally/config"
	"bulrushtally/operator"
)

const (
	spreadChanges          = 300
	spreadChangesPerSecond = 20
)

// measureSpread runs the experiment spread with fleets of two sizes.
func measureSpread(e *Env) (*Report, error) {
	r := &Report{}
	for _, n := range []struct{ zones, perZone int }{{3, 2}, {24, 4}} {
		e.logf("%d changes at %d per second on %d routers", spreadChanges, spreadChangesPerSecond, n.zones*n.perZone)
		if err := measureSpreadOver(e, r, n.zones, n.perZone); err != nil {
			return r, err
		}
	}
	return r, nil
}

// appliedTimes records when routers first applied each revision, one time for each router.
type appliedTimes struct {
	mu         sync.Mutex
	byRevision map[uint64][]time.Time
}

// measureSpreadOver sends changes through all routers in turn, and adds the figures to r.
func measureSpreadOver(e *Env, r *Report, zones, perZone int) error {
	o := CurrentFleetOptions(e.Seed)
	o.Zones, o.RoutersPerZone, o.ModelServers, o.PlainServers, o.Customers = zoneNames(zones), perZone, zones, 0, 4
	s, err := StartSystem(o, FleetWide)
	if err != nil {
		return err
	}
	defer s.Close()
	applied := &appliedTimes{byRevision: map[uint64][]time.Time{}}
	for _, router := range s.Routers {
		lastRevision := router.ConfigStore().View().Revision()
		router.ConfigStore().Watch(func(v *config.View) {
			now := time.Now()
			applied.mu.Lock()
			defer applied.mu.Unlock()
			for ; lastRevision < v.Revision(); lastRevision++ {
				applied.byRevision[lastRevision+1] = append(applied.byRevision[lastRevision+1], now)
			}
		})
	}
	statsBefore := s.Platform.Stats()
	acceptedAt := map[uint64]time.Time{}
	ticker := time.NewTicker(time.Second / spreadChangesPerSecond)
	defer ticker.Stop()
	start := time.Now()
	for i := range spreadChanges {
		<-ticker.C
		client := operator.NewClient("http://"+s.Routers[i%len(s.Routers)].Address(), OperatorKey)
		change := operator.LabelChange{Set: map[string]string{"n": fmt.Sprint(i)}}
		accepted, err := client.Label(config.KindCustomer, CustomerName(i%4), change, operator.ChangeOptions{Version: "*"})
		if err != nil {
			return err
		}
		acceptedAt[accepted.Change.Revision] = time.Now()
	}
	seconds := time.Since(start).Seconds()
	statsAfter := s.Platform.Stats()
	time.Sleep(6 * time.Second)
	return applied.addFigures(r, len(s.Routers), acceptedAt, seconds, statsBefore.Reads, statsAfter.Reads, statsBefore.Writes, statsAfter.Writes)
}

// addFigures adds the figures to r. The changes were sent within the given seconds, and
// the reads and writes are those of the platform's table before and after.
func (a *appliedTimes) addFigures(r *Report, routers int, acceptedAt map[uint64]time.Time, seconds float64, readsBefore, readsAfter, writesBefore, writesAfter int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	delays := newHistogram() // in microseconds
	missing := 0
	for revision, accepted := range acceptedAt {
		times := a.byRevision[revision]
		missing += routers - len(times)
		for _, applied := range times {
			delays.RecordValue(max(1, applied.Sub(accepted).Microseconds()))
		}
	}
	prefix := fmt.Sprintf("%d routers: ", routers)
	p99TargetMs := 1000.0
	if routers > 6 {
		p99TargetMs = 5000
	}
	r.addAtMost(prefix+"time from acceptance to application p99", "ms", float64(delays.ValueAtQuantile(99))/1000, p99TargetMs)
	r.addAtMost(prefix+"time from acceptance to application, maximum", "ms", float64(delays.Max())/1000, 5000)
	r.addAtMost(prefix+"changes not applied, summed over routers", "", float64(missing), 0)
	r.addFigure(prefix+"changes per second", "1/s", float64(len(acceptedAt))/seconds)
	r.addAtMost(prefix+"table reads", "1/s", float64(readsAfter-readsBefore)/seconds, 2000)
	r.addAtMost(prefix+"table writes", "1/s", float64(writesAfter-writesBefore)/seconds, 500)
	return nil
}
