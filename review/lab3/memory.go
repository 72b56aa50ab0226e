package main

// This file defines the case in which callers send requests as long as the configuration allows, and the memory of routers runs out
// in a burst.

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushtally/platform/platformtest"
)

// A small deployment and its callers.
const (
	memoryLimitMB  = 134     // of a router's process
	longestBody    = 4 << 20 // bytes, that the configuration allows
	callerBytes    = 4 << 20 // a second that a caller sends
	draftsPerS     = 21.7    // of all callers
	burstFactor    = 1.7
	burstAt        = 7 * time.Second
	burstLength    = 3 * time.Second
	playTime       = 16 * time.Second
	draftWork      = 800 * time.Millisecond // before the first piece, which is due after 1,000 ms
	draftEvents    = 64
	draftGap       = 40 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	memoryLookTime = 10 * time.Millisecond
)

// shares are the parts of the callers that the load balancer's hash sends to each router.
var shares = []float64{0.22, 0.20, 0.17, 0.15, 0.14, 0.12}

// residentMB returns the memory of a process in MB, or 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" {
			continue
		}
		kb, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return 0
		}
		return kb / 1024
	}
	return 0
}

// memoryWatch is the platform's part: it ends a process that exceeds its memory, and starts it again.
type memoryWatch struct {
	router *router
	kills  int
	peakMB float64
	stop   chan struct{}
	done   chan struct{}
}

func watchMemory(r *record, router *router) *memoryWatch {
	m := &memoryWatch{router: router, stop: make(chan struct{}), done: make(chan struct{})}
	go m.run(r)
	return m
}

func (m *memoryWatch) run(r *record) {
	defer close(m.done)
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(memoryLookTime):
		}
		mb := residentMB(m.router.pid())
		m.peakMB = max(m.peakMB, mb)
		if mb <= memoryLimitMB {
			continue
		}
		r.printf("platform: %s has %.0f MB, the limit is %d MB: the process is killed", m.router.name, mb, memoryLimitMB)
		m.kills++
		m.router.kill()
		time.Sleep(restartDelay)
		if err := m.router.start(); err != nil {
			r.printf("platform: %v", err)
			return
		}
	}
}

// memoryTotals counts what became of the drafts that came on kept connections.
type memoryTotals struct {
	sent, served, refused, brokenOff, lost, other atomic.Int64
}

// playMemory plays the case: LOST is broken if a router passes more than three requests that came on kept connections on to a worker
// and closes the connections without an answer, though nothing was done to the router.
func playMemory(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	drafts := platformtest.Service("drafts", "stream", 1, map[string]any{"timeout_ms": 15000})
	desk := platformtest.Service("desk", "read_only", 1, map[string]any{"timeout_ms": 3000})
	config := platformtest.Config(1, []string{"key"}, drafts, desk)
	limits := config["limits"].(map[string]any)
	limits["max_body_bytes"], limits["header_timeout_ms"], limits["idle_timeout_ms"] = longestBody, 3000, 15000
	d.store.Put("op", "config", config)
	var workers []*worker
	for _, o := range []workerOptions{
		{id: "i-draft-0", service: "drafts", slots: 64, work: draftWork, events: draftEvents, gap: draftGap, lineEnd: "\n"},
		{id: "i-draft-1", service: "drafts", slots: 64, work: draftWork, events: draftEvents, gap: draftGap, lineEnd: "\n"},
		{id: "i-draft-2", service: "drafts", slots: 64, work: draftWork, events: draftEvents, gap: draftGap, lineEnd: "\n"},
		{id: "i-desk-0", service: "desk", slots: 6},
	} {
		w, err := startWorker(o)
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
		d.store.Put("servers", w.id, w.entry("ready"))
	}
	var watches []*memoryWatch
	for i := range shares {
		router, err := d.startRouter(fmt.Sprintf("router-%d", i+1), settings{memoryMB: memoryLimitMB, store: d.store.Address()})
		if err != nil {
			return false, err
		}
		defer router.kill()
		watches = append(watches, watchMemory(r, router))
	}
	var g sync.WaitGroup
	totals := make([]memoryTotals, len(shares))
	began := time.Now()
	for i, share := range shares {
		g.Go(func() {
			p := &draftCallers{record: r, router: watches[i].router, workers: workers, totals: &totals[i]}
			p.send(began, share, trouble, &g)
		})
	}
	g.Wait()
	for i, m := range watches {
		close(m.stop)
		<-m.done
		t := &totals[i]
		r.printf("%s: %d drafts sent, %d served whole, %d refused, %d run without an answer, %d broken off midway, %d others; peak memory %.0f MB, killed %d times", m.router.name,
			t.sent.Load(), t.served.Load(), t.refused.Load(), t.lost.Load(), t.brokenOff.Load(), t.other.Load(), m.peakMB, m.kills)
		broken = broken || t.lost.Load() > 3
	}
	return broken, nil
}

// draftCallers are the callers of one router. Each keeps its connection for its next request.
type draftCallers struct {
	record  *record
	router  *router
	workers []*worker
	totals  *memoryTotals

	mu   sync.Mutex
	idle []*client
	sent int
}

// take returns a caller with a connection that has carried a request.
func (p *draftCallers) take() (*client, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	id := fmt.Sprintf("%s-draft-%d", p.router.name, p.sent)
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, id
	}
	c := &client{router: p.router.front, key: "key", pace: callerBytes}
	c.send(&request{method: http.MethodGet, path: "/desk/x", id: id + "-first", deadline: time.Second})
	return c, id
}

// send sends drafts at the share's part of the rate, in a burst more of them.
func (p *draftCallers) send(began time.Time, share float64, trouble bool, g *sync.WaitGroup) {
	body := bytes.Repeat([]byte{'d'}, longestBody)
	for {
		now := time.Since(began)
		if now > playTime {
			return
		}
		rate := draftsPerS * share
		if trouble && now >= burstAt && now < burstAt+burstLength {
			rate *= burstFactor
		}
		g.Go(func() { p.sendOne(body) })
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

func (p *draftCallers) sendOne(body []byte) {
	c, id := p.take()
	t := p.totals
	t.sent.Add(1)
	a := c.send(&request{method: http.MethodPost, path: "/drafts/x", id: id, deadline: 15 * time.Second, body: body})
	pieces := strings.Count(a.body, "data: ")
	ran := false
	for _, w := range p.workers {
		ran = ran || w.ran(id)
	}
	switch {
	case a.status == http.StatusOK && a.complete && pieces == draftEvents:
		t.served.Add(1)
	case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
		t.refused.Add(1)
	case a.status == 0 && a.kept && ran:
		t.lost.Add(1)
	case a.status == http.StatusOK:
		t.brokenOff.Add(1)
	default:
		t.other.Add(1)
	}
	if a.status == http.StatusOK && a.complete {
		p.record.printf("%s: run by a worker %v, served with %d of %d pieces", id, ran, pieces, draftEvents)
	} else {
		p.record.printf("%s: on a kept connection %v, run by a worker %v, status %d, %d of %d pieces: %v", id, a.kept, ran, a.status, pieces, draftEvents, a.err)
	}
	if c.conn != nil {
		p.mu.Lock()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
	}
}
