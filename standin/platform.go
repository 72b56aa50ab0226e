package standin

// This file defines Platform: the table service, the object store and the list
// of VMs, with their faults.

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

// PlatformFaults are the platform's faults; /faults sets them all at once.
type PlatformFaults struct {
	Down       bool          `json:"down"`       // answers 503 to everything
	Slow       time.Duration `json:"slow"`       // added to each call
	Throttle   float64       `json:"throttle"`   // share of calls answered 429
	LoseAnswer float64       `json:"loseAnswer"` // share of writes that take effect unanswered
	Refuse     float64       `json:"refuse"`     // share of calls answered 503
}

// Platform is a stand-in of the platform's services.
type Platform struct {
	server

	mu      sync.Mutex
	rows    map[string]ledger.Row
	keys    []string // of rows, in order
	objects map[string][]byte
	vms     []ledger.VM
	version uint64
	faults  PlatformFaults
	random  *rand.Rand
	stats   PlatformStats
}

// PlatformStats count calls.
type PlatformStats struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// NewPlatform starts a platform on an address; the seed decides which calls fail.
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

// SetFaults sets the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVMs sets the list of VMs.
func (p *Platform) SetVMs(list []ledger.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(list)
}

// Stats returns how many calls there were.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Keys returns the keys of all rows with a prefix, in order.
func (p *Platform) Keys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for _, k := range p.keys {
		if strings.HasPrefix(k, prefix) {
			list = append(list, k)
		}
	}
	return list
}

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
	roll, lose := p.random.Float64(), p.random.Float64()
	write := !c.IsGet()
	if write {
		p.stats.Writes++
	} else {
		p.stats.Reads++
	}
	p.mu.Unlock()
	time.Sleep(f.Slow)
	switch {
	case f.Down || roll < f.Refuse:
		c.Error("down", 503)
		return
	case roll < f.Refuse+f.Throttle:
		c.Error("too many", 429)
		return
	}
	p.serve(c)
	if write && lose < f.LoseAnswer {
		c.Conn().Close()
	}
}

func (p *Platform) serve(c *fasthttp.RequestCtx) {
	path := string(c.Path())
	switch {
	case path == "/table/txn":
		p.commit(c)
	case path == "/table/row":
		p.row(c)
	case path == "/table/rows":
		p.list(c)
	case path == "/vms":
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(c, 200, p.vms)
	case strings.HasPrefix(path, "/objects/"):
		p.object(c, strings.TrimPrefix(path, "/objects/"))
	default:
		c.Error("no such path", 404)
	}
}

func (p *Platform) commit(c *fasthttp.RequestCtx) {
	var t ledger.Txn
	if err := json.Unmarshal(c.PostBody(), &t); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, check := range t.Checks {
		if p.rows[check.Key].Version != check.Version {
			writeJSON(c, 409, p.rows[check.Key])
			return
		}
	}
	p.version++
	for _, w := range t.Puts {
		p.put(w)
	}
	for _, k := range t.Deletes {
		delete(p.rows, k)
		if i, ok := slices.BinarySearch(p.keys, k); ok {
			p.keys = slices.Delete(p.keys, i, i+1)
		}
	}
	writeJSON(c, 200, map[string]uint64{"version": p.version})
}

func (p *Platform) put(w ledger.Put) {
	if i, ok := slices.BinarySearch(p.keys, w.Key); !ok {
		p.keys = slices.Insert(p.keys, i, w.Key)
	}
	p.rows[w.Key] = ledger.Row{Key: w.Key, Value: w.Value, Version: p.version}
}

func (p *Platform) row(c *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rows[string(c.QueryArgs().Peek("key"))]
	if !ok {
		c.Error("no such row", 404)
		return
	}
	writeJSON(c, 200, r)
}

func (p *Platform) list(c *fasthttp.RequestCtx) {
	prefix, after := string(c.QueryArgs().Peek("prefix")), string(c.QueryArgs().Peek("after"))
	limit := c.QueryArgs().GetUintOrZero("limit")
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []ledger.Row{}
	from, _ := slices.BinarySearch(p.keys, max(prefix, after))
	for _, k := range p.keys[from:] {
		if !strings.HasPrefix(k, prefix) || len(rows) >= limit {
			break
		}
		if k > after {
			rows = append(rows, p.rows[k])
		}
	}
	writeJSON(c, 200, rows)
}

func (p *Platform) object(c *fasthttp.RequestCtx, name string) {
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
