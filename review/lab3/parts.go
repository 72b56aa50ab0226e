package main

// This file defines the cases in which a part of prompts crashes the workers that begin to write an answer on it.

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

const (
	partsPlayTime  = 24 * time.Second
	deadlyAt       = 3 * time.Second
	soundPause     = 100 * time.Millisecond // between two requests of a sound caller
	contactTime    = 3 * time.Second        // contact_ms
	deadlyPart     = "deadbeef"
	countedCrashes = 5
	deadlyAllowed  = 3
)

// partsCase is what differs between the cases.
type partsCase struct {
	parts        int // of a prompt, all but the last of which others may share
	sharedTokens int // of each of those
	deadlyAt     int // place of the deadly part, from 1
	outTokens    int
	ownTokens    int // of the last part
	events       int
	migrates     bool
	resumable    bool // the router may go on with a stream at another worker
	callers      int  // that send sound requests, one at a time each
	workers      int
	pause        time.Duration // between two requests with the deadly part
	crashAfter   time.Duration // from the first event on
	moveTime     time.Duration // for the copy of a run's memory
}

// playCrashBesideMove plays the case in which workers crash while they are told to move the run. MOVES=0 lets no run move.
func playCrashBesideMove(r *record, trouble bool) (broken bool, err error) {
	p := partsCase{workers: 9, callers: 12, pause: time.Second, parts: 4, deadlyAt: 3, sharedTokens: 1794, ownTokens: 6610, outTokens: 380, events: 40, migrates: os.Getenv("MOVES") != "0"}
	p.crashAfter = 5 * time.Millisecond
	p.moveTime = 11 * time.Millisecond // 12,000 tokens of 131,072 bytes over 1,100,000 Mbit/s
	return p.play(r, trouble)
}

// playCrashAfterResume plays the case in which the stream goes on at a second worker, which crashes as well. RESUMABLE=0 lets no
// stream go on.
func playCrashAfterResume(r *record, trouble bool) (broken bool, err error) {
	p := partsCase{workers: 9, callers: 6, pause: 2500 * time.Millisecond, parts: 4, deadlyAt: 3, sharedTokens: 66, ownTokens: 628, outTokens: 290, events: 29, crashAfter: 5 * time.Millisecond}
	p.resumable = os.Getenv("RESUMABLE") != "0"
	return p.play(r, trouble)
}

// playPart17 plays the case in which the part is the 17th of 20. PLACE=3 makes it the third.
func playPart17(r *record, trouble bool) (broken bool, err error) {
	p := partsCase{workers: 9, callers: 6, pause: 400 * time.Millisecond, parts: 20, deadlyAt: 17, sharedTokens: 30, ownTokens: 1800, outTokens: 20, events: 2, crashAfter: 5 * time.Millisecond}
	if os.Getenv("PLACE") == "3" {
		p.deadlyAt = 3
	}
	return p.play(r, trouble)
}

func (p partsCase) play(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	attempts := 1
	if p.resumable {
		attempts = 2
	}
	engine := map[string]any{"slots": 16, "kv_capacity": 444000, "kv_bytes": 131072, "link_mbps": 1100000, "moves": p.migrates}
	d.store.Put("op", "config", platformtest.Config(1, []string{"key"}, platformtest.Service("models", "stream", attempts, map[string]any{"timeout_ms": 8000, "resumable": p.resumable, "engine": engine})))
	var workers []*worker
	for n := range p.workers {
		w, err := startWorker(workerOptions{
			id: fmt.Sprintf("i-model-%d", n), service: "models", version: "v1", slots: 16, work: 60 * time.Millisecond, events: p.events, gap: 10 * time.Millisecond, lineEnd: "\n",
			deadlyPart: deadlyPart, crashAfter: p.crashAfter, away: 2 * time.Second, moveTime: p.moveTime,
			onBack: func(w *worker) { d.store.Put("servers", w.id, w.entry("ready")) },
		})
		if err != nil {
			return false, err
		}
		defer w.close()
		workers = append(workers, w)
		d.store.Put("servers", w.id, w.entry("ready"))
	}
	var routers []*router
	for n := range 2 {
		router, err := d.startRouter(fmt.Sprintf("router-%d", n+1), settings{revokeMS: 5000, store: d.store.Address()})
		if err != nil {
			return false, err
		}
		defer router.kill()
		routers = append(routers, router)
	}
	time.Sleep(time.Second)
	began := time.Now()
	var g sync.WaitGroup
	var served, cut, other atomic.Int64
	var mu sync.Mutex
	var sound []soundRequest
	prompt := func(deadly bool, own string) string {
		var parts []string
		for n := 1; n < p.parts; n++ {
			id := fmt.Sprintf("a%d", n)
			if n == p.deadlyAt && deadly {
				id = deadlyPart
			}
			parts = append(parts, fmt.Sprintf("%s:%d", id, p.sharedTokens))
		}
		return strings.Join(append(parts, fmt.Sprintf("%s:%d", own, p.ownTokens)), ",")
	}
	send := func(c *client, id string, deadly bool) answer {
		return c.send(&request{
			method: http.MethodPost, path: "/models/x", id: id, deadline: 8 * time.Second, body: []byte(id),
			headers: map[string]string{names.TokenCount: fmt.Sprintf("%d,%d", (p.parts-1)*p.sharedTokens+p.ownTokens, p.outTokens), names.Segments: prompt(deadly, id)},
		})
	}
	for k := range p.callers {
		g.Go(func() {
			c := &client{router: routers[k%len(routers)].front, key: "key"}
			defer c.drop()
			for n := 0; time.Since(began) < partsPlayTime; n++ {
				id := fmt.Sprintf("e%d%04d", k, n)
				sentAt := time.Now()
				a := send(c, id, false)
				pieces := strings.Count(a.body, "data: piece ")
				mu.Lock()
				sound = append(sound, soundRequest{sentAt, pieces > 0})
				mu.Unlock()
				r.printf("sound request %s: sent to %s, answered %d by %q, complete %v, %d of %d pieces%s", id, c.router, a.status, a.worker, a.complete, pieces, p.events, refusal(a))
				switch {
				case a.status == http.StatusOK && a.complete && pieces == p.events:
					served.Add(1)
				case a.status == http.StatusOK || a.status == http.StatusBadGateway || a.status == 0:
					cut.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(soundPause)
			}
		})
	}
	if trouble {
		g.Go(func() {
			time.Sleep(time.Until(began.Add(deadlyAt)))
			for n := 0; time.Since(began) < partsPlayTime; n++ {
				c := &client{router: routers[n%len(routers)].front, key: "key"}
				id := fmt.Sprintf("d%04d", n)
				a := send(c, id, true)
				c.drop()
				r.printf("request %s with the deadly part: sent to %s, answered %d by %q, complete %v, %d pieces", id, c.router, a.status, a.worker, a.complete, strings.Count(a.body, "data: piece "))
				time.Sleep(p.pause)
			}
		})
	}
	g.Wait()
	crashes, moves := p.crashes(r, workers)
	r.printf("sound requests: %d served, %d cut off, %d others; %d runs moved; log: %d lines server-broke-off, %d quarantined, %d migration-failed", served.Load(), cut.Load(), other.Load(), moves,
		len(routers[0].logLines("server-broke-off"))+len(routers[1].logLines("server-broke-off")), len(routers[0].logLines(`"quarantined"`))+len(routers[1].logLines(`"quarantined"`)),
		len(routers[0].logLines("migration-failed"))+len(routers[1].logLines("migration-failed")))
	for _, router := range routers {
		for _, line := range router.logLines(`"quarantined"`) {
			r.printf("log of %s: %s", router.name, line)
		}
	}
	if len(crashes) < countedCrashes {
		r.printf("%d crashes", len(crashes))
		return false, nil
	}
	from := crashes[countedCrashes-1].Add(contactTime)
	late := 0
	for _, w := range workers {
		for _, a := range w.arrivals {
			if !a.deadly {
				continue
			}
			r.printf("request %s with the deadly part reached %s at %.3f s", a.id, w.id, a.at.Sub(r.began).Seconds())
			if a.at.After(from) {
				late++
			}
		}
	}
	r.printf("%d crashes, the fifth at %.3f s; %d requests with the deadly part reached workers later than %v after it, %d are allowed", len(crashes), crashes[countedCrashes-1].Sub(r.began).Seconds(), late, contactTime, deadlyAllowed)
	beganBefore, before := begunShare(sound, began, began.Add(deadlyAt))
	beganAfter, after := begunShare(sound, crashes[countedCrashes-1].Add(2*contactTime), began.Add(partsPlayTime))
	r.printf("sound requests that began: %d of %d before the first crash, %d of %d from %v after the fifth on", beganBefore, before, beganAfter, after, 2*contactTime)
	return late > deadlyAllowed, nil
}

// refusal returns what a router says in place of an answer, "" if a worker answered.
func refusal(a answer) string {
	if a.status == http.StatusOK {
		return ""
	}
	return ": " + a.body
}

// soundRequest is a request of a prompt without the deadly part.
type soundRequest struct {
	sentAt time.Time
	began  bool // an event of its answer came
}

// begunShare returns how many of the sound requests that were sent in a time began, and of how many.
func begunShare(sound []soundRequest, from, to time.Time) (began, all int) {
	for _, s := range sound {
		if s.sentAt.Before(from) || s.sentAt.After(to) {
			continue
		}
		all++
		if s.began {
			began++
		}
	}
	return began, all
}

// crashes returns the times of all crashes in order, and how many runs were moved.
func (p partsCase) crashes(r *record, workers []*worker) (times []time.Time, moves int) {
	for _, w := range workers {
		w.mu.Lock()
		times = append(times, w.crashes...)
		moves += w.moves
		w.mu.Unlock()
	}
	sortTimes(times)
	for _, t := range times {
		r.printf("a worker crashed at %.3f s", t.Sub(r.began).Seconds())
	}
	return times, moves
}
