package config

// This file defines Plan, which turns an operator's wish into the next Change:
// it checks the wish against the state, assigns shards, and works out effects.

import "slices"

// Wish is what an operator asks for: the object as it should be, on top of a known version.
type Wish struct {
	Object  *Object `json:"object"`
	Delete  bool    `json:"delete,omitempty"`
	Version uint64  `json:"version"`         // the version that the wish is based on; 0 for a creation
	Any     bool    `json:"any,omitempty"`   // whatever version stands
	Force   bool    `json:"force,omitempty"` // even if it leaves somebody with no backend server
}

// Effects says what a change does to who may reach what.
type Effects struct {
	Gained            []Reach  `json:"gained,omitempty"`
	Lost              []Reach  `json:"lost,omitempty"`
	StrandedServices  []string `json:"strandedServices,omitempty"`
	StrandedCustomers []string `json:"strandedCustomers,omitempty"`
}

// Reach says that a customer may use a number of backend servers of a service.
type Reach struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Backends int    `json:"backends"`
}

// Plan returns the change that a wish makes on a state, with its effects.
// It returns *InvalidError, *ConflictError or *StrandedError.
func Plan(s *State, w Wish) (*Change, Effects, error) {
	o := w.Object.Clone()
	have := s.Get(o.Kind, o.Name)
	if err := checkVersion(o, have, w); err != nil {
		return nil, Effects{}, err
	}
	c := &Change{Revision: s.revision + 1, Before: have}
	if !w.Delete {
		if err := s.check(o); err != nil {
			return nil, Effects{}, err
		}
		o.Version = c.Revision
		o.Shard = s.assignShard(o, have)
		c.After = o
	} else if err := s.checkUnused(have); err != nil {
		return nil, Effects{}, err
	}
	next, err := s.Apply(c)
	if err != nil {
		return nil, Effects{}, err
	}
	e := Effects{}
	if k := o.Kind; k != KindOperator && k != KindCaller {
		e = compare(s, next)
	}
	if !w.Force && len(e.StrandedServices)+len(e.StrandedCustomers) > 0 {
		return nil, e, &StrandedError{Effects: e}
	}
	return c, e, nil
}

func checkVersion(o, have *Object, w Wish) error {
	conflict := &ConflictError{Object: o.ID(), Want: w.Version, Have: have}
	if have == nil {
		if w.Delete || (w.Version != 0 && !w.Any) {
			return conflict
		}
		return nil
	}
	if !w.Any && have.Version != w.Version {
		return conflict
	}
	return nil
}

// check returns the object's own faults and its references to objects that do not exist.
func (s *State) check(o *Object) error {
	if err := o.check(); err != nil {
		return err
	}
	need := func(field string, k Kind, name string) error {
		if s.Get(k, name) == nil {
			return invalid(o, field, name, "create that "+string(k)+" first")
		}
		return nil
	}
	switch o.Kind {
	case KindBackend:
		if err := need("zone", KindZone, o.Zone); err != nil {
			return err
		}
		return need("service", KindService, o.Service)
	case KindAccess:
		if s.Get(KindAccess, o.Name) == nil && len(s.rules(o.Service)) >= maxRules {
			return invalid(o, "service", o.Service, "join some of its 256 access rules first")
		}
		return need("service", KindService, o.Service)
	case KindCaller:
		return need("customer", KindCustomer, o.Customer)
	}
	if other := s.keys[o.KeyHash]; o.KeyHash != "" && other != nil && other.ID() != o.ID() {
		return invalid(o, "keyHash", o.KeyHash, "make a new key, this one is in use")
	}
	return nil
}

// checkUnused refuses to delete an object that others refer to.
func (s *State) checkUnused(o *Object) error {
	for _, other := range s.referring() {
		used := o.Kind == KindZone && other.Zone == o.Name ||
			o.Kind == KindService && other.Service == o.Name ||
			o.Kind == KindCustomer && other.Customer == o.Name
		if used {
			return invalid(o, "delete", o.Name, "delete "+string(other.Kind)+" "+other.Name+" first, which refers to it")
		}
	}
	return nil
}

// referring returns all objects of the kinds that refer to others.
func (s *State) referring() []*Object {
	var list []*Object
	for _, k := range []Kind{KindBackend, KindAccess, KindCaller} {
		list = append(list, s.List(k, nil)...)
	}
	return list
}

// ShardSize is the most backend servers that one leader admits to as a group.
const ShardSize = 32

// assignShard keeps a backend server's shard, or gives a new one the first with room.
func (s *State) assignShard(o, have *Object) int {
	if o.Kind != KindBackend {
		return 0
	}
	if have != nil && have.Service == o.Service && have.Zone == o.Zone {
		return have.Shard
	}
	var sizes []int
	for _, b := range s.objects[KindBackend] {
		if b.Service != o.Service || b.Zone != o.Zone {
			continue
		}
		for len(sizes) <= b.Shard {
			sizes = append(sizes, 0)
		}
		sizes[b.Shard]++
	}
	for i, n := range sizes {
		if n < ShardSize {
			return i
		}
	}
	return len(sizes)
}

// compare says what a step from one state to another does to who may reach what.
func compare(before, after *State) Effects {
	var e Effects
	was, is := reaches(before), reaches(after)
	for k, n := range is {
		if d := n - was[k]; d > 0 {
			e.Gained = append(e.Gained, Reach{k.customer, k.service, d})
		}
	}
	for k, n := range was {
		if d := n - is[k]; d > 0 {
			e.Lost = append(e.Lost, Reach{k.customer, k.service, d})
		}
		if n > 0 && is[k] == 0 && after.Get(KindCustomer, k.customer) != nil && after.Get(KindService, k.service) != nil {
			e.StrandedCustomers = append(e.StrandedCustomers, k.customer)
		}
	}
	for _, svc := range after.List(KindService, nil) {
		if before.usable(svc.Name) > 0 && after.usable(svc.Name) == 0 {
			e.StrandedServices = append(e.StrandedServices, svc.Name)
		}
	}
	e.sort()
	return e
}

func (e *Effects) sort() {
	byName := func(a, b Reach) int {
		if a.Customer+"/"+a.Service < b.Customer+"/"+b.Service {
			return -1
		}
		return 1
	}
	slices.SortFunc(e.Gained, byName)
	slices.SortFunc(e.Lost, byName)
	slices.Sort(e.StrandedCustomers)
	e.StrandedCustomers = slices.Compact(e.StrandedCustomers)
}

type reachKey struct{ customer, service string }

// reaches counts the backend servers in service that each customer may use.
//
// Servers are counted by the set of rules that match them, so the work is rules
// times objects and not customers times backend servers.
func reaches(s *State) map[reachKey]int {
	m := map[reachKey]int{}
	customers := s.List(KindCustomer, nil)
	for svc, list := range s.usableBackends() {
		rules := s.rules(svc)
		counts := map[ruleSet]int{}
		for _, b := range list {
			counts[matching(rules, func(r rule) bool { return r.backends.Matches(b.Labels) })]++
		}
		for _, c := range customers {
			mine := matching(rules, func(r rule) bool { return r.customers.Matches(c.Labels) })
			if n := mine.count(counts); n > 0 {
				m[reachKey{c.Name, svc}] = n
			}
		}
	}
	return m
}

// maxRules bounds the access rules of one service.
const maxRules = 256

// ruleSet is a set of a service's rules, by position.
type ruleSet [maxRules / 64]uint64

func matching(rules []rule, ok func(rule) bool) ruleSet {
	var set ruleSet
	for i, r := range rules {
		if ok(r) {
			set[i/64] |= 1 << (i % 64)
		}
	}
	return set
}

// count adds up the counts of the sets that share a rule with this one.
func (a ruleSet) count(counts map[ruleSet]int) int {
	n := 0
	for b, k := range counts {
		for i := range a {
			if a[i]&b[i] != 0 {
				n += k
				break
			}
		}
	}
	return n
}

func (s *State) usable(service string) int { return len(s.usableBackends()[service]) }

func (s *State) usableBackends() map[string][]*Object {
	m := map[string][]*Object{}
	zones := map[string]bool{}
	for _, z := range s.List(KindZone, nil) {
		zones[z.Name] = s.ZoneInService(z.Name)
	}
	for _, b := range s.objects[KindBackend] {
		if zones[b.Zone] && !b.Leaving() {
			m[b.Service] = append(m[b.Service], b)
		}
	}
	return m
}
