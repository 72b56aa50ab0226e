package faultmatrix_test

// This file defines table, an in-memory fake of the table service and the object
// store with the platform's faults.

import (
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"bulrushtally/ledger"
)

// tableFaults are the fake's faults.
type tableFaults struct {
	down bool
	slow time.Duration
	lose int // answers of writes still to be lost
}

type table struct {
	at func(step)

	mu      sync.Mutex
	rows    map[string]ledger.Row
	version uint64
	faults  tableFaults
}

func newTable() *table { return &table{rows: map[string]ledger.Row{}} }

func (b *table) set(f tableFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// merge adds faults to those that are there.
func (b *table) merge(f tableFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults.down = b.faults.down || f.down
	b.faults.slow += f.slow
	b.faults.lose += f.lose
}

var errDown = errors.New("down")

// enter waits and fails as the faults have it.
func (b *table) enter() error {
	b.mu.Lock()
	f := b.faults
	b.mu.Unlock()
	time.Sleep(f.slow)
	if f.down {
		return &ledger.Error{Kind: ledger.Unavailable, Call: "fake", Err: errDown}
	}
	return nil
}

func notFound(key string) error {
	return &ledger.Error{Kind: ledger.NotFound, Call: "get " + key, Err: errors.New("no row")}
}

func (b *table) Get(key string) (ledger.Row, error) {
	if strings.HasPrefix(key, "config/head") {
		b.at(atRead)
	}
	if err := b.enter(); err != nil {
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

func (b *table) Rows(prefix, after string, limit int) ([]ledger.Row, error) {
	if err := b.enter(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ledger.Row
	for k, r := range b.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(limit, len(list))], nil
}

func (b *table) Commit(t ledger.Txn) error {
	change := len(t.Puts) > 0 && strings.HasPrefix(t.Puts[0].Key, "config/")
	if change {
		b.at(atWrite)
	}
	if err := b.enter(); err != nil {
		return err
	}
	if err := b.apply(t); err != nil {
		return err
	}
	if change {
		b.at(atAnswer)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.lose > 0 {
		b.faults.lose--
		return &ledger.Error{Kind: ledger.Ambiguous, Call: "commit", Err: errors.New("answer lost")}
	}
	return nil
}

func (b *table) apply(t ledger.Txn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range t.Checks {
		if b.rows[c.Key].Version != c.Version {
			return &ledger.Error{Kind: ledger.Conflict, Call: "commit", Err: errors.New("version of " + c.Key)}
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

func (b *table) PutObject(string, []byte) error { return nil }

func (b *table) Object(name string) ([]byte, error) { return nil, notFound(name) }

// claimTable is the table as claims see it.
type claimTable struct{ *table }

func (c claimTable) Commit(t ledger.Txn) error {
	c.at(atClaim)
	return c.table.Commit(t)
}
