package faultmatrix_test

// This file defines fakeTable, an in-memory fake of the platform's table service and object store
// into which the platform's faults are injected.

import (
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"bulrushtally/ledger"
)

// tableFaults are the faults of a fakeTable.
type tableFaults struct {
	down          bool          // every call fails
	delay         time.Duration // of every call
	loseResponses int           // number of commits that take effect but report an ambiguous result
}

// fakeTable implements ledger.Table and ledger.Objects.
type fakeTable struct {
	reached func(step) // is called at each step of a request or change that uses the table

	mu      sync.Mutex
	rows    map[string]ledger.Row
	version uint64
	faults  tableFaults
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]ledger.Row{}} }

// setFaults replaces the faults.
func (b *fakeTable) setFaults(f tableFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// addFaults adds faults to the current ones.
func (b *fakeTable) addFaults(f tableFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults.down = b.faults.down || f.down
	b.faults.delay += f.delay
	b.faults.loseResponses += f.loseResponses
}

var errTableDown = errors.New("down")

// applyFaults delays a call, and returns an error if the table is down.
func (b *fakeTable) applyFaults() error {
	b.mu.Lock()
	f := b.faults
	b.mu.Unlock()
	time.Sleep(f.delay)
	if f.down {
		return &ledger.Error{Kind: ledger.Unavailable, Call: "fake", Err: errTableDown}
	}
	return nil
}

func notFound(key string) error {
	return &ledger.Error{Kind: ledger.NotFound, Call: "get " + key, Err: errors.New("no row")}
}

func (b *fakeTable) Get(key string) (ledger.Row, error) {
	if strings.HasPrefix(key, "config/head") {
		b.reached(stepReadHead)
	}
	if err := b.applyFaults(); err != nil {
		return ledger.Row{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[key]
	if !ok {
		return r, notFound(key)
	}
	return r, nil
}

func (b *fakeTable) Rows(prefix, after string, limit int) ([]ledger.Row, error) {
	if err := b.applyFaults(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []ledger.Row
	for k, r := range b.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found[:min(limit, len(found))], nil
}

func (b *fakeTable) Commit(t ledger.Txn) error {
	isChange := len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Key, "config/")
	if isChange {
		b.reached(stepWrite)
	}
	if err := b.applyFaults(); err != nil {
		return err
	}
	if err := b.apply(t); err != nil {
		return err
	}
	if isChange {
		b.reached(stepWritten)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.loseResponses > 0 {
		b.faults.loseResponses--
		return &ledger.Error{Kind: ledger.Ambiguous, Call: "commit", Err: errors.New("response lost")}
	}
	return nil
}

func (b *fakeTable) apply(t ledger.Txn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range t.Checks {
		if b.rows[c.Key].Version != c.Version {
			return &ledger.Error{Kind: ledger.Conflict, Call: "commit", Err: errors.New("version differs: " + c.Key)}
		}
	}
	b.version++
	for _, p := range t.Puts {
		b.rows[p.Key] = ledger.Row{Key: p.Key, Value: p.Value, Version: b.version}
	}
	for _, k := range t.Deletes {
		delete(b.rows, k)
	}
	return nil
}

func (b *fakeTable) PutObject(string, []byte) error { return nil }

func (b *fakeTable) Object(name string) ([]byte, error) { return nil, notFound(name) }

// claimTable is the table as ledger.Claims uses it; its commits are the step of a claim.
type claimTable struct{ *fakeTable }

func (c claimTable) Commit(t ledger.Txn) error {
	c.reached(stepClaim)
	return c.fakeTable.Commit(t)
}
