package main

// This file defines record, what a case writes down of what was sent, answered and run.

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record writes lines with the time since the case began.
type record struct {
	began time.Time

	mu  sync.Mutex
	out *os.File
}

// newRecord begins a record in a file, which it replaces.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: f}, nil
}

// printf writes a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the record.
func (r *record) close() { r.out.Close() }

// sortTimes sorts times in their order.
func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
