package main

// This file plays bursts of callers whose request bodies are as long as the limits of the configuration allow, while the platform
// ends processes that exceed their memory.

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushtally/platform/platformtest"
)

// Size of the case.
const (
	usualCallers  = 40  // of each router
	burstFactor   = 1.7 // the largest dose of the disruption burst in the site file
	burstTime     = 3 * time.Second
	restTime      = 4 * time.Second // between two bursts
	bursts        = 6
	maxBodyBytes  = 4 << 20 // max_body_bytes of the deployment
	memoryLimit   = 284 << 20
	memoryPeriod  = 20 * time.Millisecond // between two looks of the platform at the memory of a process
	restartDelay  = 500 * time.Millisecond
	orderDeadline = 3 * time.Second
	orderTime     = 60 * time.Millisecond // of a server for one order
	endsForFault  = 3                     // ends of processes of a machine by which it counts
	faultMachines = 2
)

// overseer is the platform's part that ends processes which exceed their memory, and starts them again.
type overseer struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup
	ends  []atomic.Int64 // by router
	peak  []atomic.Int64 // resident bytes, by router
}

// watch looks at one router until the overseer stops.
func (o *overseer) watch(i int) {
	defer o.done.Done()
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(memoryPeriod):
		}
		r := o.fleet.routers[i]
		resident := residentBytes(r.command.Process.Pid)
		if resident > o.peak[i].Load() {
			o.peak[i].Store(resident)
		}
		if resident <= memoryLimit {
			continue
		}
		o.ends[i].Add(1)
		o.fleet.record.printf("router %s holds %d MiB, more than %d: its process is killed", r.name, resident>>20, memoryLimit>>20)
		r.kill()
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			o.fleet.record.printf("router %s did not start again: %v", r.name, err)
			return
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := bytes.Fields(data)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(syscall.Getpagesize())
}

// playMemory has callers send long orders to two routers, more of them in bursts.
func playMemory(f *fleet, trouble bool) (broken int, err error) {
	config := platformtest.Config(1, []string{key}, platformtest.Service("desk", "non_idempotent", 1, nil))
	config["limits"].(map[string]any)["max_body_bytes"] = maxBodyBytes
	f.store.Put("op", "config", config)
	for i, zone := range zones {
		s := &server{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: zone, events: 1, gap: orderTime, quiet: true}
		if err := f.startServer(s); err != nil {
			return 0, err
		}
	}
	if err := f.startRouters(faultMachines); err != nil {
		return 0, err
	}
	o := &overseer{fleet: f, stop: make(chan struct{}), ends: make([]atomic.Int64, len(f.routers)), peak: make([]atomic.Int64, len(f.routers))}
	for i := range f.routers {
		o.done.Add(1)
		go o.watch(i)
	}
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	var stop atomic.Bool
	var complete, cut atomic.Int64
	var callers sync.WaitGroup
	send := func(address, name string, until func() bool) {
		defer callers.Done()
		c := &caller{record: f.record, address: address, quiet: true}
		defer c.leave()
		for n := 1; !until(); n++ {
			outcome := c.sendBody(fmt.Sprintf("%s-%d", name, n), "/desk/order", orderDeadline, body)
			switch {
			case outcome.complete:
				complete.Add(1)
			case f.ran(outcome.id):
				cut.Add(1)
				f.record.printf("%s ran at a server; its caller got %v", outcome.id, outcome)
			}
			time.Sleep(max(thinkTime, outcome.retryAfter))
		}
	}
	start := func(kind string, n int, until func() bool) {
		for i, r := range f.routers {
			for j := range n {
				callers.Add(1)
				go send(r.address, fmt.Sprintf("%s-%d-%d", kind, i+1, j+1), until)
			}
		}
	}
	start("usual", usualCallers, stop.Load)
	for i := range bursts {
		time.Sleep(restTime)
		end := time.Now().Add(burstTime)
		if trouble {
			f.record.printf("burst %d: %d more callers of each router", i+1, extraCallers())
			start(fmt.Sprintf("burst-%d", i+1), extraCallers(), func() bool { return time.Now().After(end) })
		}
		time.Sleep(time.Until(end))
	}
	stop.Store(true)
	callers.Wait()
	close(o.stop)
	o.done.Wait()
	for i, r := range f.routers {
		ends := o.ends[i].Load()
		f.record.printf("router %s: at most %d MiB, %d ends for its memory", r.name, o.peak[i].Load()>>20, ends)
		if ends >= endsForFault {
			broken++
		}
	}
	f.record.printf("%d answers came whole, %d orders that a server ran got none", complete.Load(), cut.Load())
	if complete.Load() == 0 {
		return 0, errNoTraffic
	}
	if broken < faultMachines {
		broken = 0
	}
	return broken, nil
}

// extraCallers returns how many callers a burst adds at each router.
func extraCallers() int { return int((burstFactor - 1) * usualCallers) }
