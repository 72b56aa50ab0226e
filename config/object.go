package config

// This file defines Object, the unit that operators create, label and delete, and the
// validation of an object that does not depend on other objects.

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net"
	"regexp"
	"strconv"
)

// Kind is the type of an object.
type Kind string

// Kinds of objects.
const (
	KindCustomer Kind = "customer"
	KindService  Kind = "service"
	KindZone     Kind = "zone"     // availability zone
	KindBackend  Kind = "backend"  // backend server
	KindAccess   Kind = "access"   // allows some customers to use some backend servers of a service
	KindOutage   Kind = "outage"   // takes some zones out of service
	KindOperator Kind = "operator" // key of a user of the operator API
	KindCaller   Kind = "caller"   // key with which a customer sends requests
)

// Kinds lists every kind; a kind comes after the kinds that its objects refer to.
var Kinds = []Kind{KindZone, KindService, KindCustomer, KindBackend, KindAccess, KindOutage, KindOperator, KindCaller}

// Labels with a defined meaning. Routers do not read LabelFencing.
const (
	LabelServiceKind = "kind"       // on a service: model (the default) or plain
	LabelRepeatable  = "repeatable" // on a service: true or false, whether its requests may run more than once
	LabelWeight      = "weight"     // on a customer: its weight in fair scheduling, 1 by default
	LabelSlots       = "slots"      // on a backend server: its maximum window, in requests
	LabelLeaving     = "leaving"    // on a backend server: true to drain it
	LabelFencing     = "fencing"    // on a backend server: true if it checks fencing tokens
	LabelZoneService = "service"    // on a zone: out takes the zone out of service
	LabelRights      = "rights"     // on an operator: read or change
)

// ID identifies an object.
type ID struct {
	Kind Kind   `json:"kind" cbor:"1,keyasint"`
	Name string `json:"name" cbor:"2,keyasint"`
}

// Object is one entry of the configuration, such as a zone or a backend server. Kind
// determines which fields are used, apart from the labels, which every kind may have.
//
// Version is the revision of the change that last wrote the object. Shard is assigned
// to a backend server when its creation is accepted and stays the same while service
// and zone do, so that adding servers moves no other server to another leader.
type Object struct {
	Kind     Kind              `json:"kind" cbor:"1,keyasint"`
	Name     string            `json:"name" cbor:"2,keyasint"`
	Version  uint64            `json:"version,omitempty" cbor:"3,keyasint,omitempty"`
	Labels   map[string]string `json:"labels,omitempty" cbor:"4,keyasint,omitempty"`
	Service  string            `json:"service,omitempty" cbor:"5,keyasint,omitempty"`
	Zone     string            `json:"zone,omitempty" cbor:"6,keyasint,omitempty"`
	Address  string            `json:"address,omitempty" cbor:"7,keyasint,omitempty"` // host:port
	Shard    int               `json:"shard,omitempty" cbor:"8,keyasint,omitempty"`
	Customer string            `json:"customer,omitempty" cbor:"9,keyasint,omitempty"`
	Office   string            `json:"office,omitempty" cbor:"10,keyasint,omitempty"`  // of an operator: see Change.Office
	KeyHash  string            `json:"keyHash,omitempty" cbor:"11,keyasint,omitempty"` // result of HashKey

	// CustomerSelector and BackendSelector are used by KindAccess, ZoneSelector by KindOutage.
	CustomerSelector string `json:"customers,omitempty" cbor:"12,keyasint,omitempty"`
	BackendSelector  string `json:"backends,omitempty" cbor:"13,keyasint,omitempty"`
	ZoneSelector     string `json:"zones,omitempty" cbor:"14,keyasint,omitempty"`
}

// ID returns the kind and name of the object.
func (o *Object) ID() ID { return ID{o.Kind, o.Name} }

// Clone returns a deep copy of the object.
func (o *Object) Clone() *Object {
	c := *o
	c.Labels = maps.Clone(o.Labels)
	return &c
}

// Weight returns the weight of a customer in fair scheduling, or 1 if its label is absent or invalid.
func (o *Object) Weight() float64 {
	weight, err := strconv.ParseFloat(o.Labels[LabelWeight], 64)
	if err != nil || weight <= 0 {
		return 1
	}
	return weight
}

// defaultSlots is the maximum window of a backend server without a slots label, in requests.
const defaultSlots = 8

// Slots returns the maximum window of a backend server: how many requests may be in
// flight to it when it is healthy and warm.
func (o *Object) Slots() int {
	n, err := strconv.Atoi(o.Labels[LabelSlots])
	if err != nil || n < 1 {
		return defaultSlots
	}
	return n
}

// Leaving reports whether the backend server is being drained by its leaving label.
func (o *Object) Leaving() bool { return o.Labels[LabelLeaving] == "true" }

// ServesModels reports whether a service is served by LLM backend servers rather than plain HTTP ones.
func (o *Object) ServesModels() bool { return o.Labels[LabelServiceKind] != "plain" }

// MayChange reports whether an operator may change objects.
func (o *Object) MayChange() bool { return o.Labels[LabelRights] == "change" }

// HashKey returns the SHA-256 of a bearer key in hexadecimal, the form in which keys
// are stored and compared.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	labelValuePattern = regexp.MustCompile(`^[A-Za-z0-9]?([A-Za-z0-9._/-]{0,62}[A-Za-z0-9])?$`)
)

// validate returns an *InvalidError if a field is invalid regardless of other objects.
func (o *Object) validate() error {
	if !knownKind(o.Kind) {
		return invalid(o, "kind", string(o.Kind), "use one of zone, service, customer, backend, access, outage, operator, caller")
	}
	if !namePattern.MatchString(o.Name) {
		return invalid(o, "name", o.Name, "use 1 to 63 of a-z, 0-9, '.', '_', '-', starting and ending with a letter or digit")
	}
	for key, value := range o.Labels {
		if !namePattern.MatchString(key) {
			return invalid(o, "labels", key, "use 1 to 63 of a-z, 0-9, '.', '_', '-' for a label's key")
		}
		if !labelValuePattern.MatchString(value) {
			return invalid(o, "labels."+key, value, "use at most 63 of A-Z, a-z, 0-9, '.', '_', '/', '-' for a label's value")
		}
	}
	if err := o.validateLabels(); err != nil {
		return err
	}
	return o.validateFields()
}

func (o *Object) validateLabels() error {
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

func (o *Object) validateFields() error {
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
	for _, field := range []struct{ name, selector string }{
		{"customers", o.CustomerSelector}, {"backends", o.BackendSelector}, {"zones", o.ZoneSelector},
	} {
		if _, err := ParseSelector(field.selector); err != nil {
			return invalid(o, field.name, field.selector, err.Error())
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
