package config

// This file defines View, the index of a State that routers use for each request: shards,
// their backend servers, and which customers may use which of them.

import (
	"slices"
	"strconv"
	"strings"
	"sync"
)

// ShardID identifies a shard: a group of at most MaxShardSize backend servers of one
// service in one zone.
type ShardID struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Number  int    `cbor:"3,keyasint"`
}

// String returns service/zone/number.
func (id ShardID) String() string {
	return id.Service + "/" + id.Zone + "/" + strconv.Itoa(id.Number)
}

// Shard is a group of backend servers whose requests are scheduled by one router, the
// leader of the shard.
type Shard struct {
	ID        ShardID
	InService bool      // whether the zone is in service
	Backends  []*Object // sorted by name
}

// accessRule allows customers to use backend servers of one service.
type accessRule struct{ customers, backends *Selector }

// View indexes one State for routing. It is safe for concurrent use.
type View struct {
	*State
	shards          map[ShardID]*Shard
	shardsByService map[string][]*Shard
	rulesByService  map[string][]accessRule

	mu    sync.Mutex
	masks map[maskKey]uint32 // results of BackendMask
}

type maskKey struct {
	customer string
	shard    ShardID
}

// NewView returns the view of a state.
func NewView(s *State) *View {
	v := &View{
		State:           s,
		shards:          map[ShardID]*Shard{},
		shardsByService: map[string][]*Shard{},
		rulesByService:  map[string][]accessRule{},
		masks:           map[maskKey]uint32{},
	}
	for _, b := range s.List(KindBackend, nil) {
		v.addBackend(b)
	}
	for _, svc := range s.List(KindService, nil) {
		v.rulesByService[svc.Name] = s.accessRules(svc.Name)
		slices.SortFunc(v.shardsByService[svc.Name], func(a, b *Shard) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	}
	return v
}

func (v *View) addBackend(b *Object) {
	id := ShardID{b.Service, b.Zone, b.Shard}
	shard := v.shards[id]
	if shard == nil {
		shard = &Shard{ID: id, InService: v.ZoneInService(b.Zone)}
		v.shards[id] = shard
		v.shardsByService[b.Service] = append(v.shardsByService[b.Service], shard)
	}
	shard.Backends = append(shard.Backends, b)
}

// Next returns the view of a state that change c led to from the state of v. It shares
// the shards and access rules with v if the change cannot affect them.
func (v *View) Next(s *State, c *Change) *View {
	switch c.Object().Kind {
	case KindCustomer, KindCaller, KindOperator:
		return &View{State: s, shards: v.shards, shardsByService: v.shardsByService, rulesByService: v.rulesByService, masks: map[maskKey]uint32{}}
	}
	return NewView(s)
}

// accessRules returns the access rules of a service, sorted by name. Rules with an invalid
// selector are left out.
func (s *State) accessRules(service string) []accessRule {
	var rules []accessRule
	for _, o := range s.List(KindAccess, nil) {
		if o.Service != service {
			continue
		}
		customers, customersErr := ParseSelector(o.CustomerSelector)
		backends, backendsErr := ParseSelector(o.BackendSelector)
		if customersErr == nil && backendsErr == nil {
			rules = append(rules, accessRule{customers, backends})
		}
	}
	return rules
}

// Shard returns the shard with an ID, or nil.
func (v *View) Shard(id ShardID) *Shard { return v.shards[id] }

// Shards returns all shards of a service. The caller must not modify them.
func (v *View) Shards(service string) []*Shard { return v.shardsByService[service] }

// AllShards returns the shards of all services, in no particular order.
func (v *View) AllShards() []*Shard {
	list := make([]*Shard, 0, len(v.shards))
	for _, sh := range v.shards {
		list = append(list, sh)
	}
	return list
}

// BackendMask returns which backend servers of a shard a customer may use: bit i is set
// for Shard.Backends[i]. The result is cached.
func (v *View) BackendMask(customer string, id ShardID) uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := maskKey{customer, id}
	mask, ok := v.masks[key]
	if !ok {
		mask = v.computeMask(customer, id)
		v.masks[key] = mask
	}
	return mask
}

func (v *View) computeMask(customer string, id ShardID) uint32 {
	c, shard := v.Get(KindCustomer, customer), v.shards[id]
	if c == nil || shard == nil {
		return 0
	}
	var mask uint32
	for i, b := range shard.Backends {
		if i < MaxShardSize && anyRuleAllows(v.rulesByService[id.Service], c, b) {
			mask |= 1 << i
		}
	}
	return mask
}

func anyRuleAllows(rules []accessRule, customer, backend *Object) bool {
	return slices.ContainsFunc(rules, func(r accessRule) bool {
		return r.customers.Matches(customer.Labels) && r.backends.Matches(backend.Labels)
	})
}

// MayUse reports whether a customer may use at least one backend server of a service.
func (v *View) MayUse(customer, service string) bool {
	return slices.ContainsFunc(v.shardsByService[service], func(sh *Shard) bool { return v.BackendMask(customer, sh.ID) != 0 })
}
