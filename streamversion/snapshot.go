package streamversion

// This file defines Snapshot, what the rows of the store tell of streams.

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Snapshot is what the store held at a moment after it was asked for. Its zero value knows nothing.
type Snapshot struct {
	era      uint64 // of the store
	versions *Versions
	row      uint64            // version of the row that versions is from
	begun    map[Stream]string // "" for one that began at several versions, or at an unknown one
}

// NewSnapshot returns a Snapshot without rows of a store in an era.
func NewSnapshot(era uint64) *Snapshot { return &Snapshot{era: era, begun: map[Stream]string{}} }

// AddVersions adds the row that lists the versions, with the version that the store gave the row. It returns an error if the value
// is malformed.
func (n *Snapshot) AddVersions(value []byte, row uint64) error {
	v, err := DecodeVersions(value)
	if err == nil {
		n.versions, n.row = v, row
	}
	return err
}

// AddLog adds a router's row and returns when it was written. It returns an error if the value is malformed.
func (n *Snapshot) AddLog(value []byte) (written time.Time, err error) {
	var row logRow
	if err := cbor.Unmarshal(value, &row); err != nil {
		return time.Time{}, fmt.Errorf("row of a router's streams: %w", err)
	}
	for version, ids := range row.Streams {
		for s := range streamsIn(ids) {
			if known, ok := n.begun[s]; ok && known != version {
				n.begun[s] = ""
				continue
			}
			n.begun[s] = version
		}
	}
	return time.UnixMilli(row.UnixMs), nil
}

// only returns the version of all streams of a service, and false if there may be several.
func (n *Snapshot) only(service string) (version string, ok bool) {
	if n.versions == nil || n.versions.Era != n.era {
		return "", false
	}
	a := n.versions.Services[service]
	if a == nil || a.Unsure || len(a.Versions) != 1 {
		return "", false
	}
	for version := range a.Versions {
		return version, version != ""
	}
	return "", false
}

// Era returns the store's era at the read.
func (n *Snapshot) Era() uint64 { return n.era }

// Row returns the version of the row that lists the versions, 0 if there is none.
func (n *Snapshot) Row() uint64 { return n.row }

// SaysOnly reports for how many services the row lists one version, which counts for all their streams, and whether for all. That is
// wrong if the row has changed since the state that was read.
func (n *Snapshot) SaysOnly() (services int, all bool) {
	if n.versions == nil {
		return 0, false
	}
	for service := range n.versions.Services {
		if _, ok := n.only(service); ok {
			services++
		}
	}
	return services, services == len(n.versions.Services)
}

// DoubtVersions makes the Snapshot tell only the streams that it names, since the row of versions may not be the newest.
func (n *Snapshot) DoubtVersions() { n.versions, n.row = nil, 0 }

// Versions is the content of the row that lists the versions of each service at which streams may have begun.
type Versions struct {
	Era      uint64               `json:"era"` // of the store in which the row was written: a copy may lack versions
	Services map[string]*Admitted `json:"services"`
}

// Admitted holds the versions of one service.
type Admitted struct {
	Versions map[string]State `json:"versions"`
	Unsure   bool             `json:"unsure,omitempty"` // streams may have begun at others, too
}

// State is the state of an admitted version.
type State string

// States of a version.
const (
	InUse    State = "in-use"
	Retiring State = "retiring" // no server has it, and no stream may begin there until it is in use again
)

// DecodeVersions decodes the row. It returns an error if the value is malformed.
func DecodeVersions(value []byte) (*Versions, error) {
	v := &Versions{}
	if err := json.Unmarshal(value, v); err != nil {
		return nil, fmt.Errorf("row of stream versions: %w; delete it, and routers write it again", err)
	}
	for name, a := range v.Services {
		if a == nil {
			return nil, fmt.Errorf("row of stream versions: service %q is null; delete the row, and routers write it again", name)
		}
	}
	return v, nil
}

// Encode returns the value of the row.
func (v *Versions) Encode() ([]byte, error) { return json.Marshal(v) }

// clone returns a copy that shares nothing with v, which may be nil.
func (v *Versions) clone() *Versions {
	c := &Versions{Services: map[string]*Admitted{}}
	if v == nil {
		return c
	}
	c.Era = v.Era
	for name, a := range v.Services {
		c.Services[name] = a.clone()
	}
	return c
}

func (a *Admitted) clone() *Admitted {
	c := &Admitted{Versions: map[string]State{}, Unsure: a.Unsure}
	for version, state := range a.Versions {
		c.Versions[version] = state
	}
	return c
}
