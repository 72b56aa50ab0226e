package standin

// This file defines ModelServer, the stand-in for a model server with continuous batching.
// modelserver_http.go defines its HTTP interface.

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// ModelServerOptions sets the capacity and speed of a ModelServer.
type ModelServerOptions struct {
	Slots             int           // concurrent requests that a warm server can sustain
	TokenInterval     time.Duration // time per token at a batch size of 1
	BatchOverhead     time.Duration // added to the time per token for each further request in the batch
	PrefillPerKB      time.Duration // prefill time per 1000 bytes of uncached prompt
	WarmUpTime        time.Duration // time from a start until all slots can be used
	ReportLag         time.Duration // age of the running count in load reports
	MaxCachedPrefixes int           // maximum number of prompt prefixes in the cache
}

// DefaultModelServerOptions describes a small, fast model server for demonstrations and tests.
var DefaultModelServerOptions = ModelServerOptions{
	Slots: 8, TokenInterval: 4 * time.Millisecond, BatchOverhead: 500 * time.Microsecond,
	PrefillPerKB: 2 * time.Millisecond, WarmUpTime: 15 * time.Second, ReportLag: 500 * time.Millisecond, MaxCachedPrefixes: 64,
}

// coldCapacity is how many concurrent requests a model server can sustain right after its start.
const coldCapacity = 2

// idleStepTime is the time between two steps of a model server with an empty batch.
const idleStepTime = 5 * time.Millisecond

// streamRetention is how long a stream can be resumed after its last token was generated.
const streamRetention = 10 * time.Second

// ModelServer is a stand-in for a model server. The time between its tokens grows with its
// batch size. It crashes when the batch exceeds its capacity, which grows from
// coldCapacity to all slots while the server warms up.
type ModelServer struct {
	httpServer
	options ModelServerOptions

	requestsWithoutID atomic.Int64 // received so far

	mu            sync.Mutex
	boot          int // number of starts, including restarts after crashes
	bootedAt      time.Time
	served        bool                   // unused: cleared at each start, never set
	batch         map[string]*generation // requests being processed, by attempt ID
	streams       map[string]*generation // requests whose stream can be resumed, by attempt ID
	prefixes      map[uint64]int64       // cached prefixes: hash to prefixUses at the last use
	prefixUses    int64                  // number of prefix look-ups
	loadSamples   []loadSample           // oldest first; the first is reported
	stats         ModelServerStats
	promptCounts  map[string]int           // requests by prompt
	crashOn       string                   // see CrashOn; empty: no prompt
	wrongIDFor    func(prompt string) bool // see SetWrongAttemptID; may be nil
	slowdown      float64                  // factor on prefill and token times
	leaving       bool                     // reported in load reports
	cancelDelay   time.Duration            // see SetCancelDelay
	down          bool                     // see SetDown
	slotTime      time.Duration            // see ModelServerStats.SlotTime
	slotTimeUntil time.Time                // slotTime is counted up to here
}

// ModelServerStats counts what a model server has done since it was created. Crashes do
// not reset it.
type ModelServerStats struct {
	Requests        int           `json:"requests"`
	Tokens          int           `json:"tokens"`    // generated tokens
	OverloadCrashes int           `json:"fellOver"`  // crashes because the batch exceeded the capacity
	Crashes         int           `json:"crashes"`   // crashes for any reason
	Cancelled       int           `json:"cancelled"` // requests cancelled while in the batch
	Resumed         int           `json:"resumed"`   // streams resumed
	MaxBatchSize    int           `json:"mostBatch"`
	CacheHits       int           `json:"cacheHits"` // prompts with a cached prefix
	SlotTime        time.Duration `json:"busy"`      // integral of occupied slots over time, for utilisation; nanoseconds in JSON
}

// loadSample is the load at a time.
type loadSample struct {
	at   time.Time
	load loadReport
}

// loadReport is the response to /load.
type loadReport struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving"`
}

// generation is the processing of one request: prefill, then one token per decode step.
// The mu of its ModelServer guards it.
type generation struct {
	prompt      string
	totalTokens int        // tokens of the answer
	doneTokens  int        // tokens generated so far
	prefillEnd  time.Time  // no token is generated before
	boot        int        // unused: boot number at admission
	aborted     bool       // by a crash or a cancellation
	endedAt     time.Time  // time of the last token; zero while in progress
	changed     *sync.Cond // signals changes of doneTokens and aborted
}

// NewModelServer starts a model server on an address. It fails if it cannot listen.
func NewModelServer(address string, opts ModelServerOptions) (*ModelServer, error) {
	m := &ModelServer{
		options: opts, batch: map[string]*generation{}, streams: map[string]*generation{},
		promptCounts: map[string]int{}, prefixes: map[uint64]int64{}, slowdown: 1,
	}
	m.reboot(time.Now())
	if err := m.start(address, m.handle); err != nil {
		return nil, err
	}
	go m.decodeLoop()
	return m, nil
}

// reboot makes the server cold, with a new boot number and an empty prefix cache. The
// caller holds m.mu unless the server is not yet in use.
func (m *ModelServer) reboot(now time.Time) {
	m.boot++
	m.bootedAt = now
	m.served = false
	m.slotTimeUntil = now
	clear(m.prefixes)
}

// Stats returns the statistics so far.
func (m *ModelServer) Stats() ModelServerStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateSlotTime(time.Now())
	s := m.stats
	s.SlotTime = m.slotTime
	return s
}

// RequestsFor returns the number of requests received with a prompt.
func (m *ModelServer) RequestsFor(prompt string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.promptCounts[prompt]
}

// BatchSize returns the current batch size.
func (m *ModelServer) BatchSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.batch)
}

// MarkWarm ends the warm-up: the server can use all its slots immediately.
func (m *ModelServer) MarkWarm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bootedAt = time.Now().Add(-m.options.WarmUpTime)
}

// CrashOn makes every prompt that contains text crash the server. The empty string turns
// this off.
func (m *ModelServer) CrashOn(text string) { m.withLock(func() { m.crashOn = text }) }

// SetSlowdown multiplies the time per token and the prefill time of new requests by factor;
// 1 is normal speed.
func (m *ModelServer) SetSlowdown(factor float64) { m.withLock(func() { m.slowdown = factor }) }

// SetLeaving sets whether load reports say that the server is leaving (draining).
func (m *ModelServer) SetLeaving(on bool) { m.withLock(func() { m.leaving = on }) }

// SetDown(true) crashes the server and makes it close the connection of every request
// without a response, also to /faults. SetDown(false) returns to normal.
func (m *ModelServer) SetDown(on bool) {
	m.withLock(func() { m.down = on })
	if on {
		m.Crash()
	}
}

// SetCancelDelay sets the delay between receiving a cancellation and applying it.
func (m *ModelServer) SetCancelDelay(delay time.Duration) {
	m.withLock(func() { m.cancelDelay = delay })
}

// SetWrongAttemptID makes the server respond with a wrong attempt ID to prompts for which match
// returns true.
func (m *ModelServer) SetWrongAttemptID(match func(prompt string) bool) {
	m.withLock(func() { m.wrongIDFor = match })
}

// withLock calls f with m.mu held.
func (m *ModelServer) withLock(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Crash aborts all requests, closes all connections and restarts the server cold.
func (m *ModelServer) Crash() {
	m.mu.Lock()
	m.crash()
	m.mu.Unlock()
	m.dropConns()
}

// crash aborts all requests and restarts the server cold. The caller holds m.mu and then
// closes the connections.
func (m *ModelServer) crash() {
	now := time.Now()
	m.updateSlotTime(now)
	m.stats.Crashes++
	for id, g := range m.batch {
		g.aborted = true
		g.changed.Broadcast()
		delete(m.batch, id)
	}
	clear(m.streams)
	m.reboot(now)
}

// capacity returns how many concurrent requests the server can sustain at a time: a share
// of its slots that grows linearly during options.WarmUpTime, and at least coldCapacity. The caller
// holds m.mu.
func (m *ModelServer) capacity(now time.Time) int {
	warmFraction := min(1, float64(now.Sub(m.bootedAt))/float64(m.options.WarmUpTime))
	return max(coldCapacity, int(math.Ceil(warmFraction*float64(m.options.Slots))))
}

// updateSlotTime adds the slot time used since the last update. It is called before the
// batch changes. The caller holds m.mu.
func (m *ModelServer) updateSlotTime(now time.Time) {
	m.slotTime += now.Sub(m.slotTimeUntil) * time.Duration(min(len(m.batch), m.options.Slots))
	m.slotTimeUntil = now
}

// decodeLoop runs decode steps until the server is closed. The time between steps depends
// on the batch size. No step is run while the server is frozen. When the server is closed,
// all requests are aborted.
func (m *ModelServer) decodeLoop() {
	for {
		m.mu.Lock()
		batchSize := len(m.batch)
		stepTime := m.options.TokenInterval + time.Duration(max(0, batchSize-1))*m.options.BatchOverhead
		stepTime = time.Duration(float64(stepTime) * m.slowdown)
		if batchSize == 0 {
			stepTime = idleStepTime
		}
		m.mu.Unlock()
		select {
		case <-m.done:
			m.Crash()
			return
		case <-time.After(stepTime):
		}
		if m.frozen.Load() {
			continue
		}
		m.decodeStep(time.Now())
	}
}

// decodeStep generates one token for every request whose prefill has ended, records the
// load and removes the streams that can no longer be resumed.
func (m *ModelServer) decodeStep(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateSlotTime(now)
	for id, g := range m.batch {
		if now.Before(g.prefillEnd) {
			continue
		}
		g.doneTokens++
		m.stats.Tokens++
		if g.doneTokens >= g.totalTokens {
			g.endedAt = now
			delete(m.batch, id)
		}
		g.changed.Broadcast()
	}
	m.recordLoad(now)
	for id, g := range m.streams {
		if !g.endedAt.IsZero() && now.Sub(g.endedAt) > streamRetention {
			delete(m.streams, id)
		}
	}
}

// recordLoad records the current load and drops older samples, so that the first one is
// the newest that is at least ReportLag old, or the oldest there is. The caller holds m.mu.
func (m *ModelServer) recordLoad(now time.Time) {
	report := loadReport{Boot: fmt.Sprint(m.boot), Running: len(m.batch), Leaving: m.leaving}
	m.loadSamples = append(m.loadSamples, loadSample{now, report})
	for len(m.loadSamples) > 1 && now.Sub(m.loadSamples[1].at) >= m.options.ReportLag {
		m.loadSamples = m.loadSamples[1:]
	}
}

// admit adds a request with an attempt ID to the batch and returns its generation. The server crashes if the
// batch then exceeds its capacity or if the prompt contains the text set by CrashOn; the
// returned generation is then aborted.
func (m *ModelServer) admit(id, prompt string, totalTokens int) *generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.updateSlotTime(now)
	g := &generation{prompt: prompt, totalTokens: totalTokens, boot: m.boot, changed: sync.NewCond(&m.mu)}
	g.prefillEnd = now.Add(time.Duration(float64(m.prefillTime(prompt)) * m.slowdown))
	m.batch[id] = g
	m.streams[id] = g
	m.promptCounts[prompt]++
	m.stats.Requests++
	m.stats.MaxBatchSize = max(m.stats.MaxBatchSize, len(m.batch))
	crashes := m.crashOn != "" && contains(prompt, m.crashOn)
	if len(m.batch) > m.capacity(now) {
		m.stats.OverloadCrashes++
		crashes = true
	}
	if crashes {
		m.crash()
		go m.dropConns()
	}
	return g
}

// prefixBytes is how many leading bytes of a prompt are its key in the prefix cache.
const prefixBytes = 64

// prefillTime returns the prefill time of a prompt at normal speed and records its prefix
// in the prefix cache. A cache hit saves three quarters of the time. The caller holds m.mu.
func (m *ModelServer) prefillTime(prompt string) time.Duration {
	uncached := time.Duration(len(prompt)) * m.options.PrefillPerKB / 1000
	key := xxhash.Sum64String(prompt[:min(prefixBytes, len(prompt))])
	_, hit := m.prefixes[key]
	m.prefixUses++
	m.prefixes[key] = m.prefixUses
	if len(m.prefixes) > m.options.MaxCachedPrefixes {
		m.evictPrefix()
	}
	if hit {
		m.stats.CacheHits++
		return uncached / 4
	}
	return uncached
}

// evictPrefix removes the least recently used prefix from the cache. The caller holds m.mu.
func (m *ModelServer) evictPrefix() {
	var oldest uint64
	oldestUse := int64(math.MaxInt64)
	for key, lastUse := range m.prefixes {
		if lastUse < oldestUse {
			oldest, oldestUse = key, lastUse
		}
	}
	delete(m.prefixes, oldest)
}

// waitToken waits until token i of a generation, counted from 0, is generated, and returns
// it. more is false if there is no token i; aborted is true if the generation was aborted.
func (m *ModelServer) waitToken(g *generation, i int) (token string, more, aborted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for g.doneTokens <= i && !g.aborted && g.doneTokens < g.totalTokens {
		g.changed.Wait()
	}
	if g.aborted {
		return "", false, true
	}
	if i >= g.totalTokens {
		return "", false, false
	}
	return AnswerToken(g.prompt, i), true, false
}

// cancel aborts the request with an attempt ID and reports whether it was in the batch.
func (m *ModelServer) cancel(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.batch[id]
	if g == nil {
		return false
	}
	m.updateSlotTime(time.Now())
	delete(m.batch, id)
	delete(m.streams, id)
	g.aborted = true
	g.changed.Broadcast()
	m.stats.Cancelled++
	return true
}

var _ fasthttp.RequestHandler = (*ModelServer)(nil).handle
