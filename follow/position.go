package follow

// This file defines Position, the order of the store's states.

import "cmp"

// Position is a state of the store. When the store comes back from a copy, versions go back and are given out again, and
// a new era begins. So versions count within an era only, and positions order by era, then version. Where the store
// names no era, all positions are of era 0.
type Position struct {
	_       struct{} `cbor:",toarray"`
	Era     uint64
	Version uint64
}

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version)) < 0
}
