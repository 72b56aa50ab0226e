package config

// This file defines State, the configuration at one revision, and Change, the
// step from one revision to the next.

import (
	"maps"
	"slices"
	"strings"
)

// Change is one accepted step of the configuration and its audit record.
type Change struct {
	Revision uint64  `json:"revision" cbor:"1,keyasint"`
	Request  string  `json:"request" cbor:"2,keyasint"` // the operator's request number
	Operator string  `json:"operator" cbor:"3,keyasint"`
	Office   string  `json:"office" cbor:"4,keyasint"`
	When     int64   `json:"when" cbor:"5,keyasint"` // Unix milliseconds at the accepting router, for people only
	Before   *Object `json:"before,omitempty" cbor:"6,keyasint,omitempty"`
	After    *Object `json:"after,omitempty" cbor:"7,keyasint,omitempty"` // nil for a deletion
}

// Object returns the identity of the object that the change is about.
func (c *Change) Object() ID {
	if c.After != nil {
		return c.After.ID()
	}
	return c.Before.ID()
}

// State is the configuration at one revision; it is immutable, and its zero value is empty.
type State struct {
	revision uint64
	objects  map[Kind]map[string]*Object
	keys     map[string]*Object // operators and callers by key hash
}

// Revision returns the number of changes that led to the state.
func (s *State) Revision() uint64 { return s.revision }

// Get returns an object, or nil; the caller must not change it.
func (s *State) Get(k Kind, name string) *Object { return s.objects[k][name] }

// List returns the objects of a kind that a selector matches, by name.
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

// ByKey returns the operator or caller that a bearer key belongs to, or nil.
func (s *State) ByKey(k Kind, key string) *Object {
	o := s.keys[HashKey(key)]
	if o == nil || o.Kind != k {
		return nil
	}
	return o
}

// Apply returns the state after a change, or a *SequenceError when the change is not the next one.
func (s *State) Apply(c *Change) (*State, error) {
	if c.Revision != s.revision+1 {
		return nil, &SequenceError{Have: s.revision, Got: c.Revision}
	}
	kind := c.Object().Kind
	next := &State{revision: c.Revision, objects: maps.Clone(s.objects), keys: s.keys}
	next.init()
	next.objects[kind] = maps.Clone(next.objects[kind]) // other kinds are shared with the state before
	if kind == KindOperator || kind == KindCaller {
		next.keys = maps.Clone(next.keys)
	}
	if c.Before != nil {
		next.remove(c.Before.ID())
	}
	if c.After != nil {
		next.insert(c.After)
	}
	return next, nil
}

func (s *State) init() {
	if s.objects == nil {
		s.objects = map[Kind]map[string]*Object{}
	}
	if s.keys == nil {
		s.keys = map[string]*Object{}
	}
}

func (s *State) insert(o *Object) {
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]*Object{}
	}
	s.objects[o.Kind][o.Name] = o
	if o.KeyHash != "" {
		s.keys[o.KeyHash] = o
	}
}

func (s *State) remove(id ID) {
	old := s.Get(id.Kind, id.Name)
	if old == nil {
		return
	}
	delete(s.objects[id.Kind], id.Name)
	if old.KeyHash != "" {
		delete(s.keys, old.KeyHash)
	}
}

// Snapshot is a state in the form in which it is stored and sent.
type Snapshot struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	Objects  []*Object `json:"objects" cbor:"2,keyasint"`
}

// Snapshot returns the state's objects by kind and name.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Revision: s.revision}
	for _, k := range Kinds {
		snap.Objects = append(snap.Objects, s.List(k, nil)...)
	}
	return snap
}

// Restore returns the state that a snapshot describes.
func (snap Snapshot) Restore() *State {
	s := &State{revision: snap.Revision}
	s.init()
	for _, o := range snap.Objects {
		s.insert(o)
	}
	return s
}

// ZoneInService reports whether a zone takes new work.
func (s *State) ZoneInService(name string) bool {
	z := s.Get(KindZone, name)
	if z == nil || z.Labels[LabelState] == "out" {
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
