package config

// This file defines View, what routers look up while they route: shards, their
// backend servers, and which customers may use which of them.

import (
	"slices"
	"strconv"
	"strings"
	"sync"
)

// ShardID names a group of at most ShardSize backend servers of one service in one zone.
type ShardID struct {
	Service string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Number  int    `cbor:"3,keyasint"`
}

// String returns the shard as service/zone/number.
func (id ShardID) String() string {
	return id.Service + "/" + id.Zone + "/" + strconv.Itoa(id.Number)
}

// Shard is a group of backend servers with one leader.
type Shard struct {
	ID        ShardID
	InService bool
	Backends  []*Object // by name
}

type rule struct{ customers, backends *Selector }

// View indexes one State for routing; it may be used from many goroutines.
type View struct {
	*State
	shards    map[ShardID]*Shard
	byService map[string][]*Shard
	rulesOf   map[string][]rule

	mu    sync.Mutex
	masks map[maskKey]uint32
}

type maskKey struct {
	customer string
	shard    ShardID
}

// NewView indexes a state.
func NewView(s *State) *View {
	v := &View{
		State:     s,
		shards:    map[ShardID]*Shard{},
		byService: map[string][]*Shard{},
		rulesOf:   map[string][]rule{},
		masks:     map[maskKey]uint32{},
	}
	for _, b := range s.List(KindBackend, nil) {
		v.addBackend(b)
	}
	for _, svc := range s.List(KindService, nil) {
		v.rulesOf[svc.Name] = s.rules(svc.Name)
		slices.SortFunc(v.byService[svc.Name], func(a, b *Shard) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	}
	return v
}

func (v *View) addBackend(b *Object) {
	id := ShardID{b.Service, b.Zone, b.Shard}
	sh := v.shards[id]
	if sh == nil {
		sh = &Shard{ID: id, InService: v.ZoneInService(b.Zone)}
		v.shards[id] = sh
		v.byService[b.Service] = append(v.byService[b.Service], sh)
	}
	sh.Backends = append(sh.Backends, b)
}

// Next indexes the state that a change led to. A change that moves no backend
// server keeps the index of shards.
func (v *View) Next(s *State, c *Change) *View {
	switch c.Object().Kind {
	case KindCustomer, KindCaller, KindOperator:
		return &View{State: s, shards: v.shards, byService: v.byService, rulesOf: v.rulesOf, masks: map[maskKey]uint32{}}
	}
	return NewView(s)
}

// rules returns a service's access rules, parsed.
func (s *State) rules(service string) []rule {
	var rules []rule
	for _, o := range s.List(KindAccess, nil) {
		if o.Service != service {
			continue
		}
		c, errC := ParseSelector(o.CustomerSelector)
		b, errB := ParseSelector(o.BackendSelector)
		if errC == nil && errB == nil {
			rules = append(rules, rule{c, b})
		}
	}
	return rules
}

// Shard returns a shard, or nil.
func (v *View) Shard(id ShardID) *Shard { return v.shards[id] }

// Shards returns every shard of a service.
func (v *View) Shards(service string) []*Shard { return v.byService[service] }

// AllShards returns every shard, in no order.
func (v *View) AllShards() []*Shard {
	list := make([]*Shard, 0, len(v.shards))
	for _, sh := range v.shards {
		list = append(list, sh)
	}
	return list
}

// Mask returns the backend servers of a shard that a customer may use, one bit for each by position.
func (v *View) Mask(customer string, id ShardID) uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := maskKey{customer, id}
	m, ok := v.masks[k]
	if !ok {
		m = v.computeMask(customer, id)
		v.masks[k] = m
	}
	return m
}

func (v *View) computeMask(customer string, id ShardID) uint32 {
	c, sh := v.Get(KindCustomer, customer), v.shards[id]
	if c == nil || sh == nil {
		return 0
	}
	var m uint32
	for i, b := range sh.Backends {
		if i < ShardSize && allowed(v.rulesOf[id.Service], c, b) {
			m |= 1 << i
		}
	}
	return m
}

func allowed(rules []rule, c, b *Object) bool {
	return slices.ContainsFunc(rules, func(r rule) bool {
		return r.customers.Matches(c.Labels) && r.backends.Matches(b.Labels)
	})
}

// MayUse reports whether any selector lets a customer use any backend server of a service.
func (v *View) MayUse(customer, service string) bool {
	return slices.ContainsFunc(v.byService[service], func(sh *Shard) bool { return v.Mask(customer, sh.ID) != 0 })
}
