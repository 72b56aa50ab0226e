package config

// This file defines Plan, which turns an operator's request into the next Change: it
// validates the request, assigns a shard, and computes which customers gain or lose
// access to backend servers.

import "slices"

// ChangeRequest is an operator's request to create, replace or delete an object.
type ChangeRequest struct {
	Object      *Object `json:"object"`           // desired object; a deletion needs only its kind and name
	Delete      bool    `json:"delete,omitempty"` // delete the object
	BaseVersion uint64  `json:"version"`          // version that the request is based on; 0 for a creation
	AnyVersion  bool    `json:"any,omitempty"`    // accept any current version
	Force       bool    `json:"force,omitempty"`  // allow services or customers to be left without backend servers
}

// Effects lists how a change affects which backend servers customers may use. Servers
// that are draining or whose zone is out of service are not counted.
type Effects struct {
	Gained            []AccessDelta `json:"gained,omitempty"`
	Lost              []AccessDelta `json:"lost,omitempty"`
	StrandedServices  []string      `json:"strandedServices,omitempty"`  // services left without backend servers
	StrandedCustomers []string      `json:"strandedCustomers,omitempty"` // customers that may no longer use any backend server of some service
}

// AccessDelta is the number of backend servers of a service that a customer gains or loses.
type AccessDelta struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Backends int    `json:"backends"`
}

// Plan returns the change that a request makes to a state, and its effects. The change
// does not yet have an author, a request number or a time. The error is an *InvalidError,
// a *ConflictError or a *StrandedError; with the last, the effects are returned too.
func Plan(s *State, r ChangeRequest) (*Change, Effects, error) {
	o := r.Object.Clone()
	current := s.Get(o.Kind, o.Name)
	if err := checkVersion(o, current, r); err != nil {
		return nil, Effects{}, err
	}
	change := &Change{Revision: s.revision + 1, Before: current}
	if !r.Delete {
		if err := s.validateObject(o); err != nil {
			return nil, Effects{}, err
		}
		o.Version = change.Revision
		o.Shard = s.assignShard(o, current)
		change.After = o
	} else if err := s.checkUnreferenced(current); err != nil {
		return nil, Effects{}, err
	}
	next, err := s.Apply(change)
	if err != nil {
		return nil, Effects{}, err
	}
	effects := Effects{}
	if k := o.Kind; k != KindOperator && k != KindCaller {
		effects = accessEffects(s, next)
	}
	if !r.Force && len(effects.StrandedServices)+len(effects.StrandedCustomers) > 0 {
		return nil, effects, &StrandedError{Effects: effects}
	}
	return change, effects, nil
}

// checkVersion returns a *ConflictError if the current object, nil if there is none, is
// not at the version that the request is based on, or if there is no object to delete.
func checkVersion(o, current *Object, r ChangeRequest) error {
	conflict := &ConflictError{Object: o.ID(), ExpectedVersion: r.BaseVersion, Current: current}
	if current == nil {
		if r.Delete || (r.BaseVersion != 0 && !r.AnyVersion) {
			return conflict
		}
		return nil
	}
	if !r.AnyVersion && current.Version != r.BaseVersion {
		return conflict
	}
	return nil
}

// validateObject returns an *InvalidError if a field of the object is invalid or refers
// to an object that does not exist.
func (s *State) validateObject(o *Object) error {
	if err := o.validate(); err != nil {
		return err
	}
	requireExists := func(field string, k Kind, name string) error {
		if s.Get(k, name) == nil {
			return invalid(o, field, name, "create that "+string(k)+" first")
		}
		return nil
	}
	switch o.Kind {
	case KindBackend:
		if err := requireExists("zone", KindZone, o.Zone); err != nil {
			return err
		}
		return requireExists("service", KindService, o.Service)
	case KindAccess:
		if s.Get(KindAccess, o.Name) == nil && len(s.accessRules(o.Service)) >= maxAccessRules {
			return invalid(o, "service", o.Service, "join some of its 256 access rules first")
		}
		return requireExists("service", KindService, o.Service)
	case KindCaller:
		return requireExists("customer", KindCustomer, o.Customer)
	}
	if other := s.objectsByKeyHash[o.KeyHash]; o.KeyHash != "" && other != nil && other.ID() != o.ID() {
		return invalid(o, "keyHash", o.KeyHash, "make a new key, this one is in use")
	}
	return nil
}

// checkUnreferenced returns an *InvalidError if another object refers to the object, which
// then cannot be deleted.
func (s *State) checkUnreferenced(o *Object) error {
	for _, other := range s.referringObjects() {
		referred := o.Kind == KindZone && other.Zone == o.Name ||
			o.Kind == KindService && other.Service == o.Name ||
			o.Kind == KindCustomer && other.Customer == o.Name
		if referred {
			return invalid(o, "delete", o.Name, "delete "+string(other.Kind)+" "+other.Name+" first, which refers to it")
		}
	}
	return nil
}

// referringObjects returns the objects of all kinds whose fields name other objects.
func (s *State) referringObjects() []*Object {
	var list []*Object
	for _, k := range []Kind{KindBackend, KindAccess, KindCaller} {
		list = append(list, s.List(k, nil)...)
	}
	return list
}

// MaxShardSize is the maximum number of backend servers in a shard. View.BackendMask
// returns one bit for each.
const MaxShardSize = 32

// assignShard returns the shard number of a backend server: that of the current object
// if service and zone are unchanged, otherwise the first that is not full.
func (s *State) assignShard(o, current *Object) int {
	if o.Kind != KindBackend {
		return 0
	}
	if current != nil && current.Service == o.Service && current.Zone == o.Zone {
		return current.Shard
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
	for shard, size := range sizes {
		if size < MaxShardSize {
			return shard
		}
	}
	return len(sizes)
}

// accessEffects compares which backend servers customers may use in two states.
func accessEffects(before, after *State) Effects {
	var e Effects
	countBefore, countAfter := countUsableBackends(before), countUsableBackends(after)
	for k, n := range countAfter {
		if delta := n - countBefore[k]; delta > 0 {
			e.Gained = append(e.Gained, AccessDelta{k.customer, k.service, delta})
		}
	}
	for k, n := range countBefore {
		if delta := n - countAfter[k]; delta > 0 {
			e.Lost = append(e.Lost, AccessDelta{k.customer, k.service, delta})
		}
		if n > 0 && countAfter[k] == 0 && after.Get(KindCustomer, k.customer) != nil && after.Get(KindService, k.service) != nil {
			e.StrandedCustomers = append(e.StrandedCustomers, k.customer)
		}
	}
	for _, svc := range after.List(KindService, nil) {
		if before.usableBackendCount(svc.Name) > 0 && after.usableBackendCount(svc.Name) == 0 {
			e.StrandedServices = append(e.StrandedServices, svc.Name)
		}
	}
	e.sort()
	return e
}

// sort puts the lists in order of customer and service and removes duplicate stranded
// customers.
func (e *Effects) sort() {
	byName := func(a, b AccessDelta) int {
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

type accessKey struct{ customer, service string }

// countUsableBackends returns how many backend servers each customer may use, by service.
// Pairs of a customer and a service with none are absent.
//
// Backend servers are grouped by the set of access rules that match them, so that the
// rules are evaluated once for each server and once for each customer, rather than for
// each pair of a customer and a server.
func countUsableBackends(s *State) map[accessKey]int {
	usable := map[accessKey]int{}
	customers := s.List(KindCustomer, nil)
	for service, servers := range s.usableBackendsByService() {
		rules := s.accessRules(service)
		backendsByRules := map[ruleSet]int{}
		for _, b := range servers {
			backendsByRules[matchingRules(rules, func(r accessRule) bool { return r.backends.Matches(b.Labels) })]++
		}
		for _, c := range customers {
			customerRules := matchingRules(rules, func(r accessRule) bool { return r.customers.Matches(c.Labels) })
			if n := customerRules.countSharingRule(backendsByRules); n > 0 {
				usable[accessKey{c.Name, service}] = n
			}
		}
	}
	return usable
}

// maxAccessRules is the maximum number of access rules of one service.
const maxAccessRules = 256

// ruleSet is a bit set of access rules of one service; a bit's position is the index of
// the rule in the result of State.accessRules.
type ruleSet [maxAccessRules / 64]uint64

// matchingRules returns the rules for which match returns true. It panics if there are
// more than maxAccessRules.
func matchingRules(rules []accessRule, match func(accessRule) bool) ruleSet {
	var set ruleSet
	for i, r := range rules {
		if match(r) {
			set[i/64] |= 1 << (i % 64)
		}
	}
	return set
}

// countSharingRule returns the sum of the counts of those sets that have at least one
// rule in common with a.
func (a ruleSet) countSharingRule(counts map[ruleSet]int) int {
	total := 0
	for b, n := range counts {
		for i := range a {
			if a[i]&b[i] != 0 {
				total += n
				break
			}
		}
	}
	return total
}

// usableBackendCount returns the number of usable backend servers of a service.
func (s *State) usableBackendCount(service string) int {
	return len(s.usableBackendsByService()[service])
}

// usableBackendsByService returns the backend servers that are not draining and whose zone
// is in service.
func (s *State) usableBackendsByService() map[string][]*Object {
	usable := map[string][]*Object{}
	inService := map[string]bool{}
	for _, z := range s.List(KindZone, nil) {
		inService[z.Name] = s.ZoneInService(z.Name)
	}
	for _, b := range s.objects[KindBackend] {
		if inService[b.Zone] && !b.Leaving() {
			usable[b.Service] = append(usable[b.Service], b)
		}
	}
	return usable
}
