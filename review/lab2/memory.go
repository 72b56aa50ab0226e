package main

// This file limits the memory of the router processes as the platform does: a process that exceeds it is killed.

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const memoryPeriod = 50 * time.Millisecond // between two looks at the memory of a process

// anonymousMB returns the anonymous resident memory of a process in MB, without the pages of its program file, or 0 if it has ended.
func anonymousMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// limitMemory kills each router process that exceeds the limit, until the deployment stops. The returned function returns the most
// memory that each router has had, in MB. Such an end counts as the process's own.
func (d *deployment) limitMemory() (most func() []int) {
	var mu sync.Mutex
	peaks := make([]int, len(d.routers))
	for i, r := range d.routers {
		d.watchers.Go(func() {
			for {
				select {
				case <-d.stopping:
					return
				case <-time.After(memoryPeriod):
				}
				mb := anonymousMB(r.pid())
				mu.Lock()
				peaks[i] = max(peaks[i], int(mb))
				mu.Unlock()
				if int(mb) > d.memoryMB {
					d.record.say("platform: %s has %.0f MB, more than its limit of %d MB, and is killed", r.name, mb, d.memoryMB)
					r.endForMemory()
				}
			}
		})
	}
	return func() []int {
		mu.Lock()
		defer mu.Unlock()
		return append([]int(nil), peaks...)
	}
}

// endForMemory kills the process, which counts as an end of its own.
func (r *router) endForMemory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.process.Process.Kill()
}
