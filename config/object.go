package config

// This file defines Object, the unit that operators create, label and delete,
// and the checks that an object must pass on its own.

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net"
	"regexp"
	"strconv"
)

// Kind names a class of objects.
type Kind string

// The kinds of objects.
const (
	KindCustomer Kind = "customer"
	KindService  Kind = "service"
	KindZone     Kind = "zone"
	KindBackend  Kind = "backend"
	KindAccess   Kind = "access"
	KindOutage   Kind = "outage"
	KindOperator Kind = "operator"
	KindCaller   Kind = "caller"
)

// Kinds lists every kind in the order in which objects refer to each other.
var Kinds = []Kind{KindZone, KindService, KindCustomer, KindBackend, KindAccess, KindOutage, KindOperator, KindCaller}

// Labels with a meaning to the routers.
const (
	LabelServiceKind = "kind"       // on a service: model or plain
	LabelRepeatable  = "repeatable" // on a service: true or false
	LabelWeight      = "weight"     // on a customer: its share, 1 when absent
	LabelSlots       = "slots"      // on a backend server: its full window, in requests
	LabelLeaving     = "leaving"    // on a backend server: true while it drains
	LabelFencing     = "fencing"    // on a backend server: true when it checks fencing numbers
	LabelState       = "service"    // on a zone: out takes it out of service
	LabelRights      = "rights"     // on an operator: read or change
)

// ID identifies an object.
type ID struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// Object is one described thing; which fields besides the labels count depends on its kind.
//
// A backend server's Shard is assigned when its creation is accepted and never
// changes, so that adding servers moves no other server to a new leader.
type Object struct {
	Kind     Kind              `json:"kind" cbor:"1,keyasint"`
	Name     string            `json:"name" cbor:"2,keyasint"`
	Version  uint64            `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
	Labels   map[string]string `json:"labels,omitempty" cbor:"4,keyasint,omitempty"`
	Service  string            `json:"service,omitempty" cbor:"5,keyasint,omitempty"`
	Zone     string            `json:"zone,omitempty" cbor:"6,keyasint,omitempty"`
	Address  string            `json:"address,omitempty" cbor:"7,keyasint,omitempty"`
	Shard    int               `json:"shard,omitempty" cbor:"8,keyasint,omitempty"`
	Customer string            `json:"customer,omitempty" cbor:"9,keyasint,omitempty"`
	Office   string            `json:"office,omitempty" cbor:"10,keyasint,omitempty"`
	KeyHash  string            `json:"keyHash,omitempty" cbor:"11,keyasint,omitempty"`

	// CustomerSelector and BackendSelector belong to access, ZoneSelector to outage.
	CustomerSelector string `json:"customers,omitempty" cbor:"12,keyasint,omitempty"`
	BackendSelector  string `json:"backends,omitempty" cbor:"13,keyasint,omitempty"`
	ZoneSelector     string `json:"zones,omitempty" cbor:"14,keyasint,omitempty"`
}

// ID returns the object's identity.
func (o *Object) ID() ID { return ID{o.Kind, o.Name} }

// Clone returns a deep copy.
func (o *Object) Clone() *Object {
	c := *o
	c.Labels = maps.Clone(o.Labels)
	return &c
}

// Weight returns a customer's share; it is 1 unless the weight label says otherwise.
func (o *Object) Weight() float64 {
	w, err := strconv.ParseFloat(o.Labels[LabelWeight], 64)
	if err != nil || w <= 0 {
		return 1
	}
	return w
}

// defaultSlots is a backend server's full window when no label gives it, in requests.
const defaultSlots = 8

// Slots returns a backend server's full window, in requests.
func (o *Object) Slots() int {
	n, err := strconv.Atoi(o.Labels[LabelSlots])
	if err != nil || n < 1 {
		return defaultSlots
	}
	return n
}

// Leaving reports whether an operator's label drains the backend server.
func (o *Object) Leaving() bool { return o.Labels[LabelLeaving] == "true" }

// ModelService reports whether a service speaks the model engines' protocol.
func (o *Object) ModelService() bool { return o.Labels[LabelServiceKind] != "plain" }

// MayChange reports whether an operator may change objects.
func (o *Object) MayChange() bool { return o.Labels[LabelRights] == "change" }

// HashKey returns the form in which a bearer key is stored and compared, as hexadecimal SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	valuePattern = regexp.MustCompile(`^[A-Za-z0-9]?([A-Za-z0-9._/-]{0,62}[A-Za-z0-9])?$`)
)

// check returns the faults that the object has on its own.
func (o *Object) check() error {
	if !knownKind(o.Kind) {
		return invalid(o, "kind", string(o.Kind), "use one of zone, service, customer, backend, access, outage, operator, caller")
	}
	if !namePattern.MatchString(o.Name) {
		return invalid(o, "name", o.Name, "use 1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit")
	}
	for k, v := range o.Labels {
		if !namePattern.MatchString(k) {
			return invalid(o, "labels", k, "use 1 to 63 of a-z, 0-9, '.', '_', '-' for a label's key")
		}
		if !valuePattern.MatchString(v) {
			return invalid(o, "labels."+k, v, "use at most 63 of A-Z, a-z, 0-9, '.', '_', '/', '-' for a label's value")
		}
	}
	if err := o.checkLabels(); err != nil {
		return err
	}
	return o.checkFields()
}

func (o *Object) checkLabels() error {
	if v, ok := o.Labels[LabelWeight]; ok && o.Kind == KindCustomer {
		w, err := strconv.ParseFloat(v, 64)
		if err != nil || w < 0.01 || w > 1000 {
			return invalid(o, "labels.weight", v, "give a number from 0.01 to 1000")
		}
	}
	if v, ok := o.Labels[LabelSlots]; ok && o.Kind == KindBackend {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > 4096 {
			return invalid(o, "labels.slots", v, "give a whole number from 1 to 4096")
		}
	}
	return nil
}

func (o *Object) checkFields() error {
	switch o.Kind {
	case KindBackend:
		if _, _, err := net.SplitHostPort(o.Address); err != nil {
			return invalid(o, "address", o.Address, "give an IP number and a port, as in 10.0.0.7:8000")
		}
	case KindOperator, KindCaller:
		if len(o.KeyHash) != sha256.Size*2 {
			return invalid(o, "keyHash", o.KeyHash, "give the key's SHA-256 as 64 hexadecimal digits")
		}
	}
	for _, f := range []struct{ name, text string }{
		{"customers", o.CustomerSelector}, {"backends", o.BackendSelector}, {"zones", o.ZoneSelector},
	} {
		if _, err := ParseSelector(f.text); err != nil {
			return invalid(o, f.name, f.text, err.Error())
		}
	}
	return nil
}

func knownKind(k Kind) bool {
	for _, known := range Kinds {
		if k == known {
			return true
		}
	}
	return false
}
