package router

// This file implements backend.Tracker, the state shared by the shard leaders in a router:
// usage counters, the quarantine of requests that crash backend servers, and notices of
// free capacity.

import (
	"sync"
	"time"

	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/peer"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// chargeKey identifies what one shard serves to one customer.
type chargeKey struct {
	shard    config.ShardID
	customer string
}

// chargeBuffer accumulates the cost served by local leaders between two heartbeat
// rounds. Its lock is separate from Router.mu because leaders add to it while they hold their
// own locks.
type chargeBuffer struct {
	mu    sync.Mutex
	costs map[chargeKey]float64
}

func (c *chargeBuffer) add(k chargeKey, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.costs == nil {
		c.costs = map[chargeKey]float64{}
	}
	c.costs[k] += cost
}

// drain returns the accumulated costs and empties the buffer.
func (c *chargeBuffer) drain() map[chargeKey]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	costs := c.costs
	c.costs = nil
	return costs
}

// Charge records cost that a shard led here served to a customer; a negative cost
// corrects an earlier charge.
func (r *Router) Charge(id config.ShardID, customer string, cost float64) {
	r.charges.add(chargeKey{id, customer}, cost)
}

// flushCharges adds the accumulated charges to the usage counters, which go to the other
// routers, and to the schedulers of the same service's other shards that are led here.
func (r *Router) flushCharges(now time.Time) {
	costs := r.charges.drain()
	if len(costs) == 0 {
		return
	}
	r.mu.Lock()
	for k, cost := range costs {
		r.usageCounters.Add(fleet.CounterKey{Service: k.shard.Service, Customer: k.customer}.ID(), cost)
	}
	r.mu.Unlock()
	for _, l := range r.listLocalLeaders() {
		for k, cost := range costs {
			if l.ID().Service == k.shard.Service && l.ID() != k.shard {
				l.AddRemoteCost(now, k.customer, cost)
			}
		}
	}
}

// applyRemoteCharges passes charges from other routers to the schedulers of the shards led here.
// Charges whose counter key is not in the configuration are dropped.
func (r *Router) applyRemoteCharges(now time.Time, charges []fleet.Charge) {
	if len(charges) == 0 {
		return
	}
	r.mu.Lock()
	keys := r.counterKeys
	r.mu.Unlock()
	for _, l := range r.listLocalLeaders() {
		for _, charge := range charges {
			if key, ok := keys[charge.Key]; ok && key.Service == l.ID().Service {
				l.AddRemoteCost(now, key.Customer, charge.Cost)
			}
		}
	}
}

// counterKeysByID returns the counter keys of all pairs of a service and a customer, by ID.
func counterKeysByID(v *config.View) map[fleet.CounterID]fleet.CounterKey {
	keys := map[fleet.CounterID]fleet.CounterKey{}
	customers := v.List(config.KindCustomer, nil)
	for _, service := range v.List(config.KindService, nil) {
		for _, customer := range customers {
			key := fleet.CounterKey{Service: service.Name, Customer: customer.Name}
			keys[key.ID()] = key
		}
	}
	return keys
}

// Verdict returns the quarantine's verdict on a request, by its digest: whether it may run.
func (r *Router) Verdict(digest uint64) schedule.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Verdict(time.Now(), digest)
}

// RecordCrash records that a backend server crashed while it ran a request, and propagates the
// request's crash record to the other routers.
func (r *Router) RecordCrash(digest uint64, customer, requestID string) {
	r.mu.Lock()
	record := r.quarantine.RecordCrash(time.Now(), digest)
	r.mu.Unlock()
	r.logger.Warn().Str("request", requestID).Str("customer", customer).Uint64("digest", digest).
		Int("deaths", record.Crashes).Msg("backend-died-running-request")
	r.metrics.Counter("backend_deaths").Inc(1)
	r.propagateCrashRecords("", []schedule.CrashRecord{record})
}

// RecordCompletion records that a suspect request ran to its end.
func (r *Router) RecordCompletion(digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.RecordCompletion(digest)
}

// ApplyCrashRecords merges another router's crash records and propagates those that were new here.
func (r *Router) ApplyCrashRecords(from string, c *peer.CrashRecords) {
	var updated []schedule.CrashRecord
	r.mu.Lock()
	now := time.Now()
	for _, record := range c.Records {
		if r.quarantine.Merge(now, record) {
			updated = append(updated, record)
		}
	}
	r.mu.Unlock()
	if len(updated) > 0 {
		r.propagateCrashRecords(from, updated)
	}
}

// propagateCrashRecords sends crash records over all propagation links but the one to exceptVM.
func (r *Router) propagateCrashRecords(exceptVM string, records []schedule.CrashRecord) {
	for _, l := range r.propagationLinks() {
		if l.Peer().VM != exceptVM {
			l.SendControl(peer.KindCrashRecords, peer.CrashRecords{Records: records})
		}
	}
}

// recentSenderMaxAge is how long after a router's last request for a shard it is notified of
// the shard's free capacity.
const recentSenderMaxAge = 10 * time.Second

// ShardAvailable passes a notice of free capacity of a shard led by another router to the entry.
func (r *Router) ShardAvailable(_ string, m *peer.ShardAvailable) {
	r.entry.UpdateLoad(m.Shard, m.Load)
}

// CapacityAvailable notifies this router's entry, and the routers that recently sent requests for the
// shard, that a shard led here has free capacity.
func (r *Router) CapacityAvailable(id config.ShardID, h request.LoadHint) {
	r.entry.UpdateLoad(id, h)
	now := time.Now()
	var receivers []string
	r.mu.Lock()
	for vm, sentAt := range r.recentSenders[id] {
		if now.Sub(sentAt) > recentSenderMaxAge {
			delete(r.recentSenders[id], vm)
			continue
		}
		receivers = append(receivers, vm)
	}
	r.mu.Unlock()
	for _, vm := range receivers {
		if l := r.peers.Link(vm); l != nil {
			l.SendControl(peer.KindShardAvailable, peer.ShardAvailable{Shard: id, Load: h})
		}
	}
}
