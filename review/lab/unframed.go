package main

// This file plays streams that end with their connection, some of which move from one model server to another.

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"bulrushtally/platform/platformtest"
)

// The streams are like condition-report: 38 events, a long prompt, within 10 s.
const (
	reportEvents   = 38
	reportGap      = 25 * time.Millisecond
	reportDeadline = 10 * time.Second
	reportPath     = "/drafting/report"
	reportTokens   = "11992,380"
	reportShared   = 5382
)

// Size of the case.
const (
	draftingServers  = 9
	garblingServers  = 5  // below the share of 0.6
	garbledEvery     = 20 // answers of such a server, of which one has neither a length nor chunks: x = 0.05
	reportCallers    = 20
	reportsPerCaller = 20
)

// playUnframed has callers send streams to two routers while some servers send some of their streams with neither a length
// nor chunks.
func playUnframed(f *fleet, trouble bool) (broken int, err error) {
	return f.playReports(reportsPerCaller, func(i int, s *server) {
		if trouble && i < garblingServers {
			var answers atomic.Int64
			s.framed = func() bool { return answers.Add(1)%garbledEvery != 0 }
		}
	})
}

// playLineEnds does the same while all servers end the lines of their events by CR LF, as text/event-stream allows. It is no case of the
// review, since the pages name no such server.
func playLineEnds(f *fleet, trouble bool) (broken int, err error) {
	return f.playReports(1, func(_ int, s *server) {
		if trouble {
			s.lineEnd = "\r\n"
		}
	})
}

// playReports has callers send streams to two routers, after prepare has changed each server. It returns how many ended as complete
// before their last event.
func (f *fleet) playReports(perCaller int, prepare func(i int, s *server)) (broken int, err error) {
	f.store.Put("op", "config", platformtest.Config(1, []string{key}, platformtest.Service("drafting", "stream", 1, map[string]any{
		"timeout_ms": reportDeadline.Milliseconds(), "engine": map[string]any{"slots": 64, "kv_capacity": 444000, "moves": true},
	})))
	for i := range draftingServers {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "drafting", zone: zones[i%len(zones)], events: reportEvents, gap: reportGap}
		prepare(i, s)
		if err := f.startServer(s); err != nil {
			return 0, err
		}
	}
	if err := f.startRouters(2); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	complete := 0
	for i := range reportCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{record: f.record, address: f.routers[i%len(f.routers)].address}
			defer c.leave()
			for n := range perCaller {
				id := fmt.Sprintf("report-%d-%d", i+1, n+1)
				o := c.send(id, reportPath, reportDeadline, names.TokenCount+": "+reportTokens, fmt.Sprintf("%s: %08x:%d,%08x:%d", names.Segments, i%4+1, reportShared, 1000*i+n+100, 6610))
				if o.status != 200 || !o.complete {
					continue
				}
				mu.Lock()
				complete++
				if o.events != reportEvents {
					broken++
					f.record.printf("BROKEN: %s ended as complete after %d of %d events", id, o.events, reportEvents)
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if complete < reportCallers*perCaller/2 {
		return 0, errNoTraffic
	}
	return broken, nil
}
