package standin

// This file defines Platform, the stand-in for the platform: a table service, an
// object store and a list of VMs, with faults.

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushtally/ledger"
)

// PlatformFaults are the faults of a Platform and the body of POST /faults, which
// replaces all of them. Fractions are from 0 to 1. One random draw selects the calls for
// Refuse and Throttle, so their sum should be at most 1.
type PlatformFaults struct {
	Down          bool          `json:"down"`       // every call fails with status 503
	Delay         time.Duration `json:"slow"`       // delay of each call; nanoseconds in JSON
	Throttle      float64       `json:"throttle"`   // fraction of calls that fail with status 429
	LostResponses float64       `json:"loseAnswer"` // fraction of writes that take effect without a response
	Refuse        float64       `json:"refuse"`     // fraction of calls that fail with status 503
}

// Platform is a stand-in for the platform's services.
type Platform struct {
	httpServer

	mu      sync.Mutex
	rows    map[string]ledger.Row // by key
	keys    []string              // keys of rows, sorted
	objects map[string][]byte     // by name
	vms     []ledger.VM
	version uint64 // of the last committed transaction
	faults  PlatformFaults
	random  *rand.Rand // selects the calls that fail
	stats   PlatformStats
}

// PlatformStats counts the calls to a Platform, including those that failed.
type PlatformStats struct {
	Reads  int `json:"reads"`  // GET requests
	Writes int `json:"writes"` // all other requests
}

// NewPlatform starts a platform on an address. The seed determines which calls fail.
// NewPlatform itself fails if it cannot listen.
func NewPlatform(address string, seed uint64) (*Platform, error) {
	p := &Platform{
		rows: map[string]ledger.Row{}, objects: map[string][]byte{},
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	if err := p.start(address, p.handle); err != nil {
		return nil, err
	}
	return p, nil
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(list []ledger.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(list)
}

// Stats returns the numbers of calls so far.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// RowKeys returns the keys of all rows that begin with a prefix, sorted.
func (p *Platform) RowKeys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var matches []string
	for _, k := range p.keys {
		if strings.HasPrefix(k, prefix) {
			matches = append(matches, k)
		}
	}
	return matches
}

// handle serves fault settings. Other calls are counted, subjected to the faults and
// passed to route.
func (p *Platform) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/faults" {
		var f PlatformFaults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), 400)
			return
		}
		p.SetFaults(f)
		return
	}
	p.mu.Lock()
	f := p.faults
	failDraw, loseDraw := p.random.Float64(), p.random.Float64()
	write := !c.IsGet()
	if write {
		p.stats.Writes++
	} else {
		p.stats.Reads++
	}
	p.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Down || failDraw < f.Refuse:
		c.Error("down", 503)
		return
	case failDraw < f.Refuse+f.Throttle:
		c.Error("too many", 429)
		return
	}
	p.route(c)
	if write && loseDraw < f.LostResponses {
		c.Conn().Close()
	}
}

// route passes a call to the handler for its path, or responds with status 404.
func (p *Platform) route(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == "/table/txn":
		p.handleTxn(c)
	case path == "/table/row":
		p.handleRow(c)
	case path == "/table/rows":
		p.handleRows(c)
	case path == "/vms":
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(c, 200, p.vms)
	case strings.HasPrefix(path, "/objects/"):
		p.handleObject(c, strings.TrimPrefix(path, "/objects/"))
	default:
		c.Error("no such path", 404)
	}
}

// handleTxn applies a transaction and responds with the new version. If the version of
// a checked row differs, it changes nothing and responds with status 409 and that row.
func (p *Platform) handleTxn(c *fasthttp.RequestCtx) {
	var txn ledger.Txn
	if err := json.Unmarshal(c.PostBody(), &txn); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, check := range txn.Checks {
		if p.rows[check.Key].Version != check.Version {
			writeJSON(c, 409, p.rows[check.Key])
			return
		}
	}
	p.version++
	for _, w := range txn.Puts {
		p.put(w)
	}
	for _, k := range txn.Deletes {
		delete(p.rows, k)
		if i, ok := slices.BinarySearch(p.keys, k); ok {
			p.keys = slices.Delete(p.keys, i, i+1)
		}
	}
	writeJSON(c, 200, map[string]uint64{"version": p.version})
}

// put stores a row at p.version. The caller holds p.mu.
func (p *Platform) put(w ledger.Put) {
	if i, ok := slices.BinarySearch(p.keys, w.Key); !ok {
		p.keys = slices.Insert(p.keys, i, w.Key)
	}
	p.rows[w.Key] = ledger.Row{Key: w.Key, Value: w.Value, Version: p.version}
}

// handleRow responds with the row of a key, or with status 404.
func (p *Platform) handleRow(c *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rows[string(c.QueryArgs().Peek("key"))]
	if !ok {
		c.Error("no such row", 404)
		return
	}
	writeJSON(c, 200, r)
}

// handleRows responds with up to "limit" rows whose keys begin with "prefix" and are
// greater than "after", sorted by key.
func (p *Platform) handleRows(c *fasthttp.RequestCtx) {
	prefix, after := string(c.QueryArgs().Peek("prefix")), string(c.QueryArgs().Peek("after"))
	limit := c.QueryArgs().GetUintOrZero("limit")
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []ledger.Row{}
	start, _ := slices.BinarySearch(p.keys, max(prefix, after))
	for _, k := range p.keys[start:] {
		if !strings.HasPrefix(k, prefix) || len(rows) >= limit {
			break
		}
		if k > after {
			rows = append(rows, p.rows[k])
		}
	}
	writeJSON(c, 200, rows)
}

// handleObject stores an object on PUT. Other methods respond with the object, or with
// status 404.
func (p *Platform) handleObject(c *fasthttp.RequestCtx, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.IsPut() {
		p.objects[name] = append([]byte(nil), c.PostBody()...)
		return
	}
	data, ok := p.objects[name]
	if !ok {
		c.Error("no such object", 404)
		return
	}
	c.SetBody(data)
}
