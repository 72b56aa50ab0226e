package main

// This file defines the case in which workers are replaced by ones that end the lines of their streams with CR LF.

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushtally/platform/platformtest"
)

// A service whose workers are replaced one after the other.
const (
	linesWorkers  = 4
	linesReplaced = 2 // a share of 0.5
	releaseAt     = 3 * time.Second
	releaseGap    = time.Second
	drainTime     = 2 * time.Second
	linesPlayTime = 10 * time.Second
	linesEvents   = 20
	linesCallers  = 4
)

// linesWorker starts a worker of a version.
func linesWorker(n int, version, lineEnd string) (*worker, error) {
	return startWorker(workerOptions{
		id: fmt.Sprintf("i-lines-%s-%d", version, n), service: "lines", version: version, slots: 16, work: 20 * time.Millisecond, events: linesEvents, gap: 10 * time.Millisecond, lineEnd: lineEnd,
	})
}

// playLineEnds plays the case: ORDER is broken if a stream ends as complete, and lacks pieces.
func playLineEnds(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.Put("op", "config", platformtest.Config(1, []string{"key"}, platformtest.Service("lines", "stream", 2, map[string]any{"timeout_ms": 8000, "resumable": true})))
	var old []*worker
	for n := range linesWorkers {
		w, err := linesWorker(n, "v1", "\n")
		if err != nil {
			return false, err
		}
		defer w.close()
		old = append(old, w)
		d.store.Put("servers", w.id, w.entry("ready"))
	}
	var routers []*router
	for n := range 2 {
		router, err := d.startRouter(fmt.Sprintf("router-%d", n+1), settings{memoryMB: 284, store: d.store.Address()})
		if err != nil {
			return false, err
		}
		defer router.kill()
		routers = append(routers, router)
	}
	lineEnd := "\r\n"
	if os.Getenv("LINES") == "lf" { // the same release without the other line ends
		lineEnd = "\n"
	}
	var g sync.WaitGroup
	began := time.Now()
	if trouble {
		g.Go(func() { release(r, d, old, began, lineEnd) })
	}
	var whole, short, failed atomic.Int64
	for k := range linesCallers {
		g.Go(func() {
			c := &client{router: routers[k%len(routers)].front, key: "key"}
			defer c.drop()
			for n := 0; time.Since(began) < linesPlayTime; n++ {
				id := fmt.Sprintf("lines-%d-%d", k, n)
				a := c.send(&request{method: http.MethodPost, path: "/lines/x", id: id, deadline: 8 * time.Second, body: []byte("prompt")})
				pieces := strings.Count(a.body, "data: piece ")
				r.printf("%s: sent to %s, answered %d by %s, complete %v, %d of %d pieces", id, c.router, a.status, a.worker, a.complete, pieces, linesEvents)
				switch {
				case a.status == http.StatusOK && a.complete && pieces == linesEvents:
					whole.Add(1)
				case a.status == http.StatusOK && a.complete:
					short.Add(1)
				default:
					failed.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	g.Wait()
	r.printf("%d streams whole, %d complete without all pieces, %d others", whole.Load(), short.Load(), failed.Load())
	return short.Load() > 0, nil
}

// release replaces workers, one at a time: the new one starts first, the old one drains and leaves.
func release(r *record, d *deployment, old []*worker, began time.Time, lineEnd string) {
	for n := range linesReplaced {
		time.Sleep(time.Until(began.Add(releaseAt + time.Duration(n)*releaseGap)))
		w, err := linesWorker(n, "v2", lineEnd)
		if err != nil {
			r.printf("release: %v", err)
			return
		}
		d.store.Put("servers", w.id, w.entry("ready"))
		d.store.Put("servers", old[n].id, old[n].entry("draining"))
		r.printf("release: %s is ready, its lines end with %q; %s drains", w.id, lineEnd, old[n].id)
		leaving := old[n]
		time.AfterFunc(drainTime+time.Second, func() {
			d.store.Delete("servers", leaving.id)
			leaving.close()
			r.printf("release: %s has left", leaving.id)
		})
	}
}
