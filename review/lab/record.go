package main

// This file defines record, the file that tells what was sent, answered and run.

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes lines that begin with the time since its start. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// printf writes one line.
func (r *record) printf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
