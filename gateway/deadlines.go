package gateway

// This file defines deadlines, for what is done about a row unless the store tells more of it before.

import "time"

// deadlines holds a time for each of some keys of a table.
type deadlines map[string]time.Time

// begin sets the time of a key, unless it has one.
func (d deadlines) begin(key string, at time.Time) {
	if _, ok := d[key]; !ok {
		d[key] = at
	}
}

// due removes and returns the keys whose time has come.
func (d deadlines) due(now time.Time) (keys []string) {
	for key, at := range d {
		if now.After(at) {
			keys = append(keys, key)
			delete(d, key)
		}
	}
	return keys
}

// doubtTime is how long a row that differs from what was known before the store came back from a copy is taken to be old
// or lost. Who wrote it writes it again within that time.
const doubtTime = 3 * time.Second
