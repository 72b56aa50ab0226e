package ledger

// This file defines Claims. A request with an idempotency key runs only after it has
// claimed the key's row in the table, so it runs at most once across all routers and their
// restarts.

import (
	"encoding/json"
	"time"

	"bulrushtally/request"
)

const claimPrefix = "claim/"

// maxStoredBodyBytes is the size of the largest response body that is stored for repeated
// requests.
const maxStoredBodyBytes = 64 << 10

// Claim is the row of an idempotency key: which request claimed the key and, once that
// request has finished, its response.
type Claim struct {
	Owner         string           `json:"token"`  // identifies the request that claimed the key
	Digest        uint64           `json:"digest"` // of that request's content
	CreatedUnixMs int64            `json:"when"`   // by the clock of the claiming router; used only by DeleteExpired
	Done          bool             `json:"done"`   // the request finished and its response is stored
	Status        int              `json:"status,omitempty"`
	Headers       []request.Header `json:"headers,omitempty"`
	Body          []byte           `json:"body,omitempty"`
	BodyOmitted   bool             `json:"cut,omitempty"` // the response body was too large to store

	key     string // of the row
	version uint64 // of the row when it was read
}

// Claims claims idempotency keys in a table.
type Claims struct{ table Table }

// NewClaims returns Claims that stores its rows in t.
func NewClaims(t Table) *Claims { return &Claims{table: t} }

func claimKey(customer, key string) string { return claimPrefix + customer + "/" + key }

// Claim claims a customer's idempotency key for the request that owner identifies. It
// returns the new claim as own, or the existing claim of another request as earlier. On an
// error, the request must not run. The row may still have been claimed for it then, if the
// response to the write was lost.
func (s *Claims) Claim(customer, key, owner string, digest uint64, now time.Time) (own, earlier *Claim, err error) {
	c := &Claim{Owner: owner, Digest: digest, CreatedUnixMs: now.UnixMilli(), key: claimKey(customer, key)}
	value, err := json.Marshal(c)
	if err != nil {
		return nil, nil, err
	}
	err = s.table.Commit(Txn{Checks: []Check{{c.key, 0}}, Puts: []Put{{c.key, value}}})
	if err != nil && !IsKind(err, Conflict) && !IsKind(err, Ambiguous) {
		return nil, nil, err
	}
	row, err := s.table.Get(c.key)
	if err != nil {
		return nil, nil, err
	}
	var stored Claim
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return nil, nil, err
	}
	stored.key, stored.version = c.key, row.Version
	if stored.Owner == owner {
		return &stored, nil, nil
	}
	return nil, &stored, nil
}

// Finish stores the response of the request that holds claim c, for callers that repeat the
// request. It fails if the row has changed since it was claimed.
func (s *Claims) Finish(c *Claim, status int, headers []request.Header, body []byte) error {
	c.Done, c.Status, c.Headers, c.Body = true, status, headers, body
	if len(body) > maxStoredBodyBytes {
		c.Body, c.BodyOmitted = nil, true
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.table.Commit(Txn{Checks: []Check{{c.key, c.version}}, Puts: []Put{{c.key, value}}})
}

// Release deletes claim c, whose request did not run, so that the key can be claimed again.
// It fails if the row has changed since it was claimed.
func (s *Claims) Release(c *Claim) error {
	return s.table.Commit(Txn{Checks: []Check{{c.key, c.version}}, Deletes: []string{c.key}})
}

// DeleteExpired reads up to limit claims whose row keys come after the given one, and deletes those
// created before a time and those that it cannot decode. It returns the row key after which
// the next call should continue, or "" when it has reached the last claim; on an error it
// returns the given key. Creation times come from the clocks of different VMs, so claims
// should be kept much longer than those clocks differ.
func (s *Claims) DeleteExpired(before time.Time, after string, limit int) (next string, err error) {
	rows, err := s.table.Rows(claimPrefix, after, limit)
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		var c Claim
		if json.Unmarshal(r.Value, &c) == nil && c.CreatedUnixMs >= before.UnixMilli() {
			continue
		}
		if err := s.table.Commit(Txn{Checks: []Check{{r.Key, r.Version}}, Deletes: []string{r.Key}}); err != nil {
			return after, err
		}
	}
	if len(rows) < limit {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}
