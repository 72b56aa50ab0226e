package router

// This file defines what a router's leaders share: service accounts, the
// quarantine of requests that crash backend servers, and news of room.

import (
	"sync"
	"time"

	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/peer"
	"bulrushtally/request"
	"bulrushtally/schedule"
)

// chargeKey names a customer's service from one shard.
type chargeKey struct {
	shard    config.ShardID
	customer string
}

// charges collects service that leaders here gave, between two heartbeats. It has
// a lock of its own because leaders add to it while they hold theirs.
type charges struct {
	mu   sync.Mutex
	sums map[chargeKey]float64
}

func (c *charges) add(k chargeKey, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sums == nil {
		c.sums = map[chargeKey]float64{}
	}
	c.sums[k] += cost
}

func (c *charges) take() map[chargeKey]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := c.sums
	c.sums = nil
	return sums
}

// Charge counts service that a customer received from a shard led here.
func (r *Router) Charge(id config.ShardID, customer string, cost float64) {
	r.charges.add(chargeKey{id, customer}, cost)
}

// settleCharges hands collected charges to the accounts and to the other shards
// of the same service that are led here.
func (r *Router) settleCharges(now time.Time) {
	sums := r.charges.take()
	if len(sums) == 0 {
		return
	}
	r.mu.Lock()
	for k, cost := range sums {
		r.accounts.Add(fleet.Key{Service: k.shard.Service, Customer: k.customer}.ID(), cost)
	}
	r.mu.Unlock()
	for _, l := range r.led() {
		for k, cost := range sums {
			if l.ID().Service == k.shard.Service && l.ID() != k.shard {
				l.Remote(now, k.customer, cost)
			}
		}
	}
}

// countRemote hands service given by other routers to the shards led here.
func (r *Router) countRemote(now time.Time, list []fleet.Charge) {
	if len(list) == 0 {
		return
	}
	r.mu.Lock()
	names := r.names
	r.mu.Unlock()
	for _, l := range r.led() {
		for _, c := range list {
			if k, ok := names[c.Key]; ok && k.Service == l.ID().Service {
				l.Remote(now, k.Customer, c.Cost)
			}
		}
	}
}

// keyNames returns every customer's key at every service by its short form.
func keyNames(v *config.View) map[fleet.KeyID]fleet.Key {
	names := map[fleet.KeyID]fleet.Key{}
	customers := v.List(config.KindCustomer, nil)
	for _, svc := range v.List(config.KindService, nil) {
		for _, c := range customers {
			k := fleet.Key{Service: svc.Name, Customer: c.Name}
			names[k.ID()] = k
		}
	}
	return names
}

// Verdict says whether a request may run.
func (r *Router) Verdict(digest uint64) schedule.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Verdict(time.Now(), digest)
}

// Died takes in that a backend server died while it ran a request, and tells the other routers.
func (r *Router) Died(digest uint64, customer, number string) {
	r.mu.Lock()
	c := r.quarantine.Died(time.Now(), digest)
	r.mu.Unlock()
	r.logger.Warn().Str("request", number).Str("customer", customer).Uint64("digest", digest).
		Int("deaths", c.Deaths).Msg("backend-died-running-request")
	r.metrics.Counter("backend_deaths").Inc(1)
	r.spreadCrashRecords("", []schedule.CrashRecord{c})
}

// Cleared takes in that a suspect request ran to its end.
func (r *Router) Cleared(digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantine.Cleared(digest)
}

// CrashRecords takes in what another router knows of requests, and passes news on.
func (r *Router) CrashRecords(from string, c *peer.CrashRecords) {
	var news []schedule.CrashRecord
	r.mu.Lock()
	now := time.Now()
	for _, x := range c.CrashRecords {
		if r.quarantine.Heard(now, x) {
			news = append(news, x)
		}
	}
	r.mu.Unlock()
	if len(news) > 0 {
		r.spreadCrashRecords(from, news)
	}
}

func (r *Router) spreadCrashRecords(except string, list []schedule.CrashRecord) {
	for _, l := range r.neighbours() {
		if l.Peer().VM != except {
			l.Send(peer.KindCrashRecords, peer.CrashRecords{CrashRecords: list})
		}
	}
}

// interestTime is how long a router counts as interested in a shard's room.
const interestTime = 10 * time.Second

// Room takes in that a shard led elsewhere has room.
func (r *Router) Room(_ string, m *peer.Room) { r.entry.Hint(m.Shard, m.Hint) }

// HasRoom tells this router's entry, and the routers that sent requests lately,
// that a shard led here has room.
func (r *Router) HasRoom(id config.ShardID, h request.Hint) {
	r.entry.Hint(id, h)
	now := time.Now()
	var interested []string
	r.mu.Lock()
	for vm, at := range r.interest[id] {
		if now.Sub(at) > interestTime {
			delete(r.interest[id], vm)
			continue
		}
		interested = append(interested, vm)
	}
	r.mu.Unlock()
	for _, vm := range interested {
		if l := r.peers.Link(vm); l != nil {
			l.Send(peer.KindRoom, peer.Room{Shard: id, Hint: h})
		}
	}
}
