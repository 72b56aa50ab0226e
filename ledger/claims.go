package ledger

// This file defines Claims: a request with an idempotency key runs only after
// its row in the table was claimed, so at most once over all routers and restarts.

import (
	"encoding/json"
	"time"

	"bulrushtally/request"
)

const claimPrefix = "claim/"

// maxKeptAnswer bounds an answer that is kept for repetition, in bytes.
const maxKeptAnswer = 64 << 10

// Claim is the row of one idempotency key.
type Claim struct {
	Token   string           `json:"token"`  // of the claiming request
	Digest  uint64           `json:"digest"` // of the request's content
	When    int64            `json:"when"`   // Unix milliseconds, for trimming only
	Done    bool             `json:"done"`
	Status  int              `json:"status,omitempty"`
	Headers []request.Header `json:"headers,omitempty"`
	Body    []byte           `json:"body,omitempty"`
	Cut     bool             `json:"cut,omitempty"` // the answer was too large to keep

	key     string
	version uint64
}

// Claims claims idempotency keys.
type Claims struct{ table Table }

// NewClaims returns Claims on a table.
func NewClaims(t Table) *Claims { return &Claims{table: t} }

func claimKey(customer, key string) string { return claimPrefix + customer + "/" + key }

// Claim claims a key for a request, or returns the claim of an earlier one as second value.
// An error means that the key was not claimed for this request, so it must not run.
func (s *Claims) Claim(customer, key, token string, digest uint64, now time.Time) (mine, earlier *Claim, err error) {
	c := &Claim{Token: token, Digest: digest, When: now.UnixMilli(), key: claimKey(customer, key)}
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
	var have Claim
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return nil, nil, err
	}
	have.key, have.version = c.key, row.Version
	if have.Token == token {
		return &have, nil, nil
	}
	return nil, &have, nil
}

// Finish keeps a claimed request's answer for callers that repeat it.
func (s *Claims) Finish(c *Claim, status int, headers []request.Header, body []byte) error {
	c.Done, c.Status, c.Headers, c.Body = true, status, headers, body
	if len(body) > maxKeptAnswer {
		c.Body, c.Cut = nil, true
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return s.table.Commit(Txn{Checks: []Check{{c.key, c.version}}, Puts: []Put{{c.key, value}}})
}

// Release gives up a claim whose request did not run, so that it may be sent again.
func (s *Claims) Release(c *Claim) error {
	return s.table.Commit(Txn{Checks: []Check{{c.key, c.version}}, Deletes: []string{c.key}})
}

// Trim looks at some claims after a row key and deletes those made before a time. It
// returns the key to go on after, empty at the end. The times are of different
// VMs' clocks, so the age should be far above their difference.
func (s *Claims) Trim(before time.Time, after string, limit int) (next string, err error) {
	rows, err := s.table.Rows(claimPrefix, after, limit)
	if err != nil {
		return after, err
	}
	for _, r := range rows {
		var c Claim
		if json.Unmarshal(r.Value, &c) == nil && c.When >= before.UnixMilli() {
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
