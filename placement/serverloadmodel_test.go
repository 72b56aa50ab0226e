package placement_test

// This file tests what callers of a model service get, whose servers differ in speed and state their load, in simulated time.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushtally/placement"
	"bulrushtally/serverload"
)

// modelServer prefills one prompt at a time, and then streams.
type modelServer struct {
	prefill  chan struct{} // not a mutex: simulated time stands still while a goroutine waits for one
	slowness float64
	running  int
}

// lateModelRequests returns the fraction of the requests to a model service that are refused or whose first event is late.
func lateModelRequests(t *testing.T, states, percent bool) (late float64) {
	synctest.Test(t, func(t *testing.T) {
		const routers, count, slots = 12, 18, 16
		random := rand.New(rand.NewPCG(5, 5))
		table := modelServices(false)
		table.Services()["models"].Slots = slots
		var all []*placement.Placement
		servers := map[string]*modelServer{}
		for rank := range routers {
			p := placement.New(placement.Options{Zone: "zone-a", Limits: limits, Routers: routers, Now: time.Now()})
			p.Configure(table)
			p.SetRouters(routers, rank, 72*time.Millisecond)
			for i := range count {
				id := fmt.Sprintf("i-%d", i)
				p.SetServer(time.Now(), placement.ServerEntry{ID: id, Service: "models", Address: "127.0.0.1:1", Zone: "zone-a", Slots: slots, StartedMs: 1})
				if servers[id] == nil {
					servers[id] = &modelServer{prefill: make(chan struct{}, 1), slowness: unevenSpeeds(i)}
				}
			}
			all = append(all, p)
		}
		var mu sync.Mutex
		var running sync.WaitGroup
		requests, missed := 0, 0
		measured := time.Now().Add(6 * time.Second)
		request := func(p *placement.Placement, prompt int) {
			req := newRequest("a", prompt)
			began := time.Now()
			p.RecordArrival(began, req)
			g, _ := p.Admit(context.Background(), req)
			inTime := false
			if g != nil {
				s := servers[g.ID()]
				s.prefill <- struct{}{}
				time.Sleep(time.Duration(float64(prompt) / 100 * s.slowness * float64(time.Millisecond)))
				<-s.prefill
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				s.running++
				load := serverload.Statement{}
				if states {
					load = serverload.Statement{Running: min(s.running, 4*slots), Slots: slots}
				}
				if percent {
					load.Percent = int(100 * s.slowness)
				}
				mu.Unlock()
				now := time.Now()
				g.RecordStatement(now, placement.Statement{Load: load})
				g.RecordFirstEvent(now)
				inTime = now.Sub(began) <= 400*time.Millisecond
				time.Sleep(time.Duration(400 * s.slowness * float64(time.Millisecond)))
				g.End(time.Now(), placement.Done)
				mu.Lock()
				s.running--
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			if began.After(measured) {
				requests++
				if !inTime {
					missed++
				}
			}
		}
		stop := make(chan struct{})
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(72 * time.Millisecond):
					exchangeSummaries(all)
					for _, p := range all {
						p.Tick(time.Now())
					}
				}
			}
		})
		for end := measured.Add(6 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() * 10 * float64(time.Millisecond)))
			p, prompt := all[random.IntN(routers)], 2000+random.IntN(12000)
			running.Go(func() { request(p, prompt) })
		}
		close(stop)
		running.Wait()
		late = float64(missed) / float64(requests)
		t.Logf("states %v, percent %v: %.3f of %d late or refused", states, percent, late, requests)
	})
	return late
}

// Fails if statements make callers of a model service be served worse.
func TestStatedLoadOfModelServers(t *testing.T) {
	without := lateModelRequests(t, false, false)
	for _, percent := range []bool{false, true} {
		if got := lateModelRequests(t, true, percent); got > without+0.02 {
			t.Errorf("percent %v: got %.3f of the requests late or refused, want at most %.3f as without statements and 0.02 more", percent, got, without)
		}
	}
}
