package config

// This file defines State, the configuration at one revision, and Change, the difference
// between one revision and the next.

import (
	"maps"
	"slices"
	"strings"
)

// Change is one accepted change of one object, together with its audit record.
type Change struct {
	Revision       uint64  `json:"revision" cbor:"1,keyasint"`
	RequestNumber  string  `json:"request" cbor:"2,keyasint"` // number that the operator's client gave to the request
	Operator       string  `json:"operator" cbor:"3,keyasint"`
	Office         string  `json:"office" cbor:"4,keyasint"`                     // organization that the operator works for; only recorded and displayed
	AcceptedUnixMs int64   `json:"when" cbor:"5,keyasint"`                       // clock of the accepting router, in Unix milliseconds; only displayed
	Before         *Object `json:"before,omitempty" cbor:"6,keyasint,omitempty"` // nil for a creation
	After          *Object `json:"after,omitempty" cbor:"7,keyasint,omitempty"`  // nil for a deletion
}

// Object returns the kind and name of the changed object.
func (c *Change) Object() ID {
	if c.After != nil {
		return c.After.ID()
	}
	return c.Before.ID()
}

// State is the configuration at one revision. It is immutable; the zero value is the
// empty configuration of revision 0.
type State struct {
	revision         uint64
	objects          map[Kind]map[string]*Object
	objectsByKeyHash map[string]*Object // operators and callers
}

// Revision returns the number of changes since the empty configuration.
func (s *State) Revision() uint64 { return s.revision }

// Get returns the object with a kind and name, or nil. The caller must not modify it.
func (s *State) Get(k Kind, name string) *Object { return s.objects[k][name] }

// List returns the objects of a kind whose labels match a selector, sorted by name. A nil
// selector matches all. The caller must not modify the objects.
func (s *State) List(k Kind, sel *Selector) []*Object {
	var list []*Object
	for _, o := range s.objects[k] {
		if sel == nil || sel.Matches(o.Labels) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// ByKey returns the object of a kind, operator or caller, that a bearer key belongs to, or nil.
func (s *State) ByKey(k Kind, key string) *Object {
	o := s.objectsByKeyHash[HashKey(key)]
	if o == nil || o.Kind != k {
		return nil
	}
	return o
}

// Apply returns the state after a change. It returns a *SequenceError if the change does
// not have the revision that follows the state's.
func (s *State) Apply(c *Change) (*State, error) {
	if c.Revision != s.revision+1 {
		return nil, &SequenceError{StateRevision: s.revision, ChangeRevision: c.Revision}
	}
	kind := c.Object().Kind
	next := &State{revision: c.Revision, objects: maps.Clone(s.objects), objectsByKeyHash: s.objectsByKeyHash}
	next.initMaps()
	next.objects[kind] = maps.Clone(next.objects[kind]) // maps of other kinds are shared with s
	if kind == KindOperator || kind == KindCaller {
		next.objectsByKeyHash = maps.Clone(next.objectsByKeyHash)
	}
	if c.Before != nil {
		next.remove(c.Before.ID())
	}
	if c.After != nil {
		next.insert(c.After)
	}
	return next, nil
}

// initMaps creates the maps that are nil.
func (s *State) initMaps() {
	if s.objects == nil {
		s.objects = map[Kind]map[string]*Object{}
	}
	if s.objectsByKeyHash == nil {
		s.objectsByKeyHash = map[string]*Object{}
	}
}

// insert adds or replaces an object.
func (s *State) insert(o *Object) {
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]*Object{}
	}
	s.objects[o.Kind][o.Name] = o
	if o.KeyHash != "" {
		s.objectsByKeyHash[o.KeyHash] = o
	}
}

// remove deletes an object if it exists.
func (s *State) remove(id ID) {
	o := s.Get(id.Kind, id.Name)
	if o == nil {
		return
	}
	delete(s.objects[id.Kind], id.Name)
	if o.KeyHash != "" {
		delete(s.objectsByKeyHash, o.KeyHash)
	}
}

// Snapshot is the encoded form of a State, for storage and transfer.
type Snapshot struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	Objects  []*Object `json:"objects" cbor:"2,keyasint"`
}

// Snapshot returns the revision and all objects, sorted by kind and name.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Revision: s.revision}
	for _, k := range Kinds {
		snap.Objects = append(snap.Objects, s.List(k, nil)...)
	}
	return snap
}

// Restore returns the state that the snapshot was made from.
func (snap Snapshot) Restore() *State {
	s := &State{revision: snap.Revision}
	s.initMaps()
	for _, o := range snap.Objects {
		s.insert(o)
	}
	return s
}

// ZoneInService reports whether a zone takes new requests: it exists, is not labeled out
// of service, and no outage object matches its labels. An outage whose selector is invalid
// is ignored.
func (s *State) ZoneInService(name string) bool {
	z := s.Get(KindZone, name)
	if z == nil || z.Labels[LabelZoneService] == "out" {
		return false
	}
	for _, o := range s.List(KindOutage, nil) {
		sel, err := ParseSelector(o.ZoneSelector)
		if err == nil && sel.Matches(z.Labels) {
			return false
		}
	}
	return true
}
