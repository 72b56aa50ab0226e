package main

// This file plays an entry of a backend server that another writer has written.

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"bulrushtally/platform/platformtest"
)

// Size of the case.
const (
	draftEvents  = 4
	draftGap     = 20 * time.Millisecond
	draftCallers = 12
	draftTime    = 8 * time.Second
	oddEntryAt   = 3 * time.Second
)

// playOddEntry has callers send requests for one service while another writer overwrites the entry of a server of another
// service, with fields missing. The server writes its entry again with its next heartbeat.
func playOddEntry(f *fleet, trouble bool) (broken int, err error) {
	f.store.Put("op", "config", platformtest.Config(1, []string{key},
		platformtest.Service("drafting", "stream", 1, map[string]any{"engine": map[string]any{"slots": 64, "kv_capacity": 444000}}),
		platformtest.Service("desk", "non_idempotent", 1, nil)))
	for _, service := range []string{"drafting", "desk"} {
		for i, zone := range zones {
			s := &server{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zone, events: draftEvents, gap: draftGap}
			if err := f.startServer(s); err != nil {
				return 0, err
			}
		}
	}
	if err := f.startRouters(2); err != nil {
		return 0, err
	}
	desk := f.servers[len(f.servers)-1]
	began := time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	complete := 0
	for i := range draftCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &caller{record: f.record, address: f.routers[i%len(f.routers)].address}
			defer c.leave()
			for n := 1; time.Since(began) < draftTime; n++ {
				o := c.send(fmt.Sprintf("draft-%d-%d", i+1, n), "/drafting/tag", 2500*time.Millisecond, names.TokenCount+": 826,40")
				mu.Lock()
				if o.status == 200 && o.complete {
					complete++
				}
				mu.Unlock()
				time.Sleep(thinkTime)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(oddEntryAt)))
	if trouble {
		entry := map[string]any{"service": "drafting", "addr": desk.address(), "state": "ready"}
		f.record.printf("another writer writes %v under the key %s", entry, desk.id)
		f.store.Put("servers", desk.id, entry)
	}
	wait.Wait()
	if complete < draftCallers {
		return 0, errNoTraffic
	}
	for _, s := range f.servers {
		s.mu.Lock()
		for id, path := range s.begun {
			if !strings.HasPrefix(path, "/"+s.service+"/") {
				broken++
				f.record.printf("BROKEN: server %s of service %s ran %s %s", s.id, s.service, id, path)
			}
		}
		s.mu.Unlock()
	}
	return broken, nil
}
