package main

// This file plays a planned stop while streams run on connections that their callers keep.

import (
	"fmt"
	"sync"
	"time"

	"bulrushtally/platform/platformtest"
)

// The streams are like quote-lines: 29 events with pauses below the 300 ms of the sheet, within 8 s.
const (
	stopEvents    = 29
	stopGap       = 150 * time.Millisecond
	quoteDeadline = 8000 * time.Millisecond
	quotePath     = "/drafting/quote"
	quoteTokens   = "826,290"
)

// Times of the case, from its first request.
const (
	stopAt       = 1200 * time.Millisecond // of SIGTERM
	lastNewAt    = 7 * time.Second         // until when callers send
	callerSpread = 200 * time.Millisecond  // between the first requests of two callers
	thinkTime    = 5 * time.Millisecond    // between an answer and the next request on the same connection
	stopCallers  = 6
)

// excusedAfter is the time after SIGTERM up to which a request is excused if its server is still at work in the last sixth
// of the time of grace.
const excusedAfter = 3 * time.Second

// playStop has callers send streams to one router, each the next one on the same connection, while that router gets SIGTERM.
func playStop(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put("op", "config", platformtest.Config(1, []string{key}, platformtest.Service("drafting", "stream", 2, map[string]any{
		"timeout_ms": quoteDeadline.Milliseconds(), "engine": map[string]any{"slots": 64, "kv_capacity": 444000},
	})))
	for i, zone := range zones {
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "drafting", zone: zone, events: stopEvents, gap: stopGap}
		if err := f.startServer(s); err != nil {
			return 0, err
		}
	}
	if err := f.startRouters(2); err != nil {
		return 0, err
	}
	stopped := f.routers[0]
	began := time.Now()
	var mu sync.Mutex
	var outcomes []*outcome
	var wait sync.WaitGroup
	for i := range stopCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * callerSpread)
			c := &caller{record: f.record, address: stopped.address}
			defer c.leave()
			for n := 1; time.Since(began) < lastNewAt; n++ {
				o := c.send(fmt.Sprintf("quote-%d-%d", i+1, n), quotePath, quoteDeadline, names.TokenCount+": "+quoteTokens)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				if o.status == 0 {
					c.address = f.routers[1].address // where the platform sends new connections
				}
				time.Sleep(thinkTime)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(stopAt)))
	termAt := time.Now()
	if trouble {
		f.record.printf("SIGTERM to %s", stopped.name)
		stopped.stop()
	}
	wait.Wait()
	return f.countLost(outcomes, termAt, trouble)
}

// countLost returns how many requests that were sent more than excusedAfter after SIGTERM ended without a complete answer
// though a server had run them, long before their deadline. Without SIGTERM, all requests count.
func (f *fleet) countLost(outcomes []*outcome, termAt time.Time, trouble bool) (lost int, err error) {
	complete := 0
	for _, o := range outcomes {
		if o.complete {
			complete++
			continue
		}
		after := o.sentAt.Sub(termAt)
		ran := f.ran(o.id)
		f.record.printf("no complete answer to %s: sent %v after SIGTERM, ended %v after it, run by a server: %t", o.id, after.Round(time.Millisecond), o.endedAt.Sub(termAt).Round(time.Millisecond), ran)
		planned := after > excusedAfter && o.endedAt.Before(termAt.Add(grace+time.Second))
		if ran && o.endedAt.Sub(o.sentAt) < quoteDeadline && (planned || !trouble) {
			lost++
		}
	}
	if complete < stopCallers {
		return 0, errNoTraffic
	}
	return lost, nil
}

// ran reports whether a server has begun to run a request.
func (f *fleet) ran(id string) bool {
	for _, s := range f.servers {
		s.mu.Lock()
		_, begun := s.begun[id]
		s.mu.Unlock()
		if begun {
			return true
		}
	}
	return false
}
