package standin

// This file defines Engine, a model engine that batches continuously.

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Slots        int           // requests that a warm engine bears at once
	TokenTime    time.Duration // between tokens with a batch of one
	BatchTime    time.Duration // added for each further request in the batch
	PrefillTime  time.Duration // for each 1000 bytes of prompt that are not cached
	WarmTime     time.Duration // from a start to bearing all slots
	ReportLag    time.Duration // age of the load report
	CachedPrompt int           // prompts whose prefix is kept
}

// DefaultEngine is a small fast engine for demonstrations and tests.
var DefaultEngine = EngineOptions{
	Slots: 8, TokenTime: 4 * time.Millisecond, BatchTime: 500 * time.Microsecond,
	PrefillTime: 2 * time.Millisecond, WarmTime: 15 * time.Second, ReportLag: 500 * time.Millisecond, CachedPrompt: 64,
}

// coldBears is how many requests an engine bears at its start.
const coldBears = 2

// idlePause is the time between two steps of an engine without work.
const idlePause = 5 * time.Millisecond

// keepStream is how long a finished or abandoned stream can be resumed.
const keepStream = 10 * time.Second

// Engine is a stand-in model engine. Time between its tokens grows with the
// batch; it falls over when its batch is larger than it bears.
type Engine struct {
	server
	options EngineOptions

	unnumbered atomic.Int64

	mu         sync.Mutex
	boot       int
	booted     time.Time
	served     bool // it has been working since it booted
	batch      map[string]*generation
	kept       map[string]*generation
	prefixes   map[uint64]int64
	clock      int64
	reports    []loadAt
	stats      EngineStats
	ran        map[string]int // by prompt
	crashOn    string         // a prompt with this text crashes the engine
	crossIf    func(prompt string) bool
	slow       float64 // factor on all times
	leaving    bool
	cancelTime time.Duration
	down       bool
	busy       time.Duration // integral of batch size over time, for utilisation
	busyAt     time.Time
}

// EngineStats count what an engine did.
type EngineStats struct {
	Requests  int           `json:"requests"`
	Tokens    int           `json:"tokens"`
	FellOver  int           `json:"fellOver"` // because its batch was too large
	Crashes   int           `json:"crashes"`  // for any reason
	Cancelled int           `json:"cancelled"`
	Resumed   int           `json:"resumed"`
	MostBatch int           `json:"mostBatch"`
	CacheHits int           `json:"cacheHits"`
	Busy      time.Duration `json:"busy"` // slot time in use
}

type loadAt struct {
	at   time.Time
	load engineLoad
}

type engineLoad struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving"`
}

// generation is one request in an engine's batch.
type generation struct {
	prompt  string
	total   int
	done    int
	ready   time.Time // when its prefill ends
	boot    int
	dead    bool
	ended   time.Time
	changed *sync.Cond
}

// NewEngine starts an engine on an address.
func NewEngine(address string, o EngineOptions) (*Engine, error) {
	e := &Engine{
		options: o, batch: map[string]*generation{}, kept: map[string]*generation{},
		ran: map[string]int{}, prefixes: map[uint64]int64{}, slow: 1,
	}
	e.reboot(time.Now())
	if err := e.start(address, e.handle); err != nil {
		return nil, err
	}
	go e.work()
	return e, nil
}

func (e *Engine) reboot(now time.Time) {
	e.boot++
	e.booted = now
	e.served = false
	e.busyAt = now
	clear(e.prefixes)
}

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountBusy(time.Now())
	s := e.stats
	s.Busy = e.busy
	return s
}

// Ran returns how often the engine was sent a prompt.
func (e *Engine) Ran(prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[prompt]
}

// Batch returns the number of requests in the batch.
func (e *Engine) Batch() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}

// Warm makes the engine bear all its slots at once, as one that has run for long.
func (e *Engine) Warm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.booted = time.Now().Add(-e.options.WarmTime)
}

// CrashOn makes any prompt with a text crash the engine.
func (e *Engine) CrashOn(text string) { e.set(func() { e.crashOn = text }) }

// SetSlow multiplies all the engine's times.
func (e *Engine) SetSlow(f float64) { e.set(func() { e.slow = f }) }

// SetLeaving makes the engine report that it drains.
func (e *Engine) SetLeaving(on bool) { e.set(func() { e.leaving = on }) }

// SetDown makes the engine refuse connections by closing them.
func (e *Engine) SetDown(on bool) {
	e.set(func() { e.down = on })
	if on {
		e.Crash()
	}
}

// SetCancelTime sets how long the engine takes to carry out an order to cancel.
func (e *Engine) SetCancelTime(d time.Duration) { e.set(func() { e.cancelTime = d }) }

// CrossIf makes the engine answer a prompt with another attempt's number if the
// function says so.
func (e *Engine) CrossIf(f func(prompt string) bool) { e.set(func() { e.crossIf = f }) }

func (e *Engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Crash drops all work and connections and starts the engine again, cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
	e.dropConns()
}

func (e *Engine) crash() {
	now := time.Now()
	e.accountBusy(now)
	e.stats.Crashes++
	for id, g := range e.batch {
		g.dead = true
		g.changed.Broadcast()
		delete(e.batch, id)
	}
	clear(e.kept)
	e.reboot(now)
}

// bears returns how many requests the engine bears now.
func (e *Engine) bears(now time.Time) int {
	share := min(1, float64(now.Sub(e.booted))/float64(e.options.WarmTime))
	return max(coldBears, int(math.Ceil(share*float64(e.options.Slots))))
}

func (e *Engine) accountBusy(now time.Time) {
	e.busy += now.Sub(e.busyAt) * time.Duration(min(len(e.batch), e.options.Slots))
	e.busyAt = now
}

// work runs the engine's steps: each gives one token to every request whose prefill is over.
func (e *Engine) work() {
	for {
		e.mu.Lock()
		n := len(e.batch)
		pause := e.options.TokenTime + time.Duration(max(0, n-1))*e.options.BatchTime
		pause = time.Duration(float64(pause) * e.slow)
		if n == 0 {
			pause = idlePause
		}
		e.mu.Unlock()
		select {
		case <-e.done:
			e.Crash()
			return
		case <-time.After(pause):
		}
		if e.frozen.Load() {
			continue
		}
		e.advance(time.Now())
	}
}

func (e *Engine) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountBusy(now)
	for id, g := range e.batch {
		if now.Before(g.ready) {
			continue
		}
		g.done++
		e.stats.Tokens++
		if g.done >= g.total {
			g.ended = now
			delete(e.batch, id)
		}
		g.changed.Broadcast()
	}
	e.report(now)
	for id, g := range e.kept {
		if !g.ended.IsZero() && now.Sub(g.ended) > keepStream {
			delete(e.kept, id)
		}
	}
}

// report records the load, so that it can be told with a lag.
func (e *Engine) report(now time.Time) {
	l := engineLoad{Boot: fmt.Sprint(e.boot), Running: len(e.batch), Leaving: e.leaving}
	e.reports = append(e.reports, loadAt{now, l})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.ReportLag {
		e.reports = e.reports[1:]
	}
}

// admit puts a request into the batch, which may be too much for the engine.
func (e *Engine) admit(id, prompt string, total int) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.accountBusy(now)
	g := &generation{prompt: prompt, total: total, boot: e.boot, changed: sync.NewCond(&e.mu)}
	g.ready = now.Add(time.Duration(float64(e.prefill(prompt)) * e.slow))
	e.batch[id] = g
	e.kept[id] = g
	e.ran[prompt]++
	e.stats.Requests++
	e.stats.MostBatch = max(e.stats.MostBatch, len(e.batch))
	crashes := e.crashOn != "" && contains(prompt, e.crashOn)
	if len(e.batch) > e.bears(now) {
		e.stats.FellOver++
		crashes = true
	}
	if crashes {
		e.crash()
		go e.dropConns()
	}
	return g
}

// prefixBytes is the length of prompt that the prefix cache goes by.
const prefixBytes = 64

// prefill returns the time to read a prompt, less what the prefix cache saves.
func (e *Engine) prefill(prompt string) time.Duration {
	whole := time.Duration(len(prompt)) * e.options.PrefillTime / 1000
	key := xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
	_, hit := e.prefixes[key]
	e.clock++
	e.prefixes[key] = e.clock
	if len(e.prefixes) > e.options.CachedPrompt {
		e.evict()
	}
	if hit {
		e.stats.CacheHits++
		return whole / 4
	}
	return whole
}

func (e *Engine) evict() {
	var oldest uint64
	least := int64(math.MaxInt64)
	for k, used := range e.prefixes {
		if used < least {
			oldest, least = k, used
		}
	}
	delete(e.prefixes, oldest)
}

// next waits for token number i of a generation; ok is false at its end or death.
func (e *Engine) next(g *generation, i int) (token string, more, dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for g.done <= i && !g.dead && g.done < g.total {
		g.changed.Wait()
	}
	if g.dead {
		return "", false, true
	}
	if i >= g.total {
		return "", false, false
	}
	return Token(g.prompt, i), true, false
}

func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.batch[id]
	if g == nil {
		return false
	}
	e.accountBusy(time.Now())
	delete(e.batch, id)
	delete(e.kept, id)
	g.dead = true
	g.changed.Broadcast()
	e.stats.Cancelled++
	return true
}

var _ fasthttp.RequestHandler = (*Engine)(nil).handle
