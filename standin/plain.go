package standin

// This file defines Plain, a plain service that records each call it ran.

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// CallHeader carries a caller's own number of a call, which a Plain counts by.
const CallHeader = "X-Call"

// Plain is a stand-in plain service; an answer repeats the call's body.
type Plain struct {
	server
	work time.Duration

	mu      sync.Mutex
	boot    int
	ran     map[string]int
	running int
	dieNext string // "before" or "after" running the next call
	leaving bool
	down    bool
}

// NewPlain starts a plain service on an address; each call takes a time.
func NewPlain(address string, work time.Duration) (*Plain, error) {
	p := &Plain{work: work, boot: 1, ran: map[string]int{}}
	if err := p.start(address, p.handle); err != nil {
		return nil, err
	}
	return p, nil
}

// Ran returns how often each call ran, by the number in its CallHeader.
func (p *Plain) Ran() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.ran)
}

// DieNext makes the service drop the next call's connection, "before" or "after" running it.
func (p *Plain) DieNext(when string) { p.set(func() { p.dieNext = when }) }

// SetDown makes the service close every connection without answering.
func (p *Plain) SetDown(on bool) { p.set(func() { p.down = on }) }

// Crash drops all connections and starts the service again, with no work running.
func (p *Plain) Crash() {
	p.set(func() { p.boot++ })
	p.dropConns()
}

func (p *Plain) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *Plain) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *Plain) handle(c *fasthttp.RequestCtx) {
	p.mu.Lock()
	down := p.down
	c.Response.Header.SetBytesV(attemptHeader, c.Request.Header.Peek(attemptHeader))
	if string(c.Path()) == "/load" && !down {
		p.mu.Unlock()
		p.step(StepReport)
		p.mu.Lock()
		l := engineLoad{Boot: fmt.Sprint(p.boot), Running: p.running, Leaving: p.leaving}
		p.mu.Unlock()
		writeJSON(c, 200, l)
		return
	}
	if string(c.Path()) == "/faults" {
		p.mu.Unlock()
		p.setFaults(c)
		return
	}
	die := p.dieNext
	p.dieNext = ""
	p.mu.Unlock()
	if string(c.Path()) != "/load" {
		p.step(StepSend)
	}
	if p.isDown() || die == "before" {
		c.Conn().Close()
		return
	}
	p.run(c, string(c.Request.Header.Peek(CallHeader)))
	if die == "after" {
		c.Conn().Close()
	}
}

func (p *Plain) run(c *fasthttp.RequestCtx, call string) {
	p.set(func() { p.ran[call]++; p.running++ })
	p.step(StepFirst)
	time.Sleep(p.work)
	p.step(StepEnd)
	p.set(func() { p.running-- })
	c.SetContentType("text/plain")
	c.SetBodyString("done " + call + " ")
	c.Response.AppendBody(c.PostBody())
}

// PlainFaults are the knobs that /faults sets.
type PlainFaults struct {
	DieNext string `json:"dieNext"`
	Leaving *bool  `json:"leaving"`
	Down    *bool  `json:"down"`
	Frozen  *bool  `json:"frozen"`
}

func (p *Plain) setFaults(c *fasthttp.RequestCtx) {
	var f PlainFaults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	p.set(func() {
		p.dieNext = f.DieNext
		if f.Leaving != nil {
			p.leaving = *f.Leaving
		}
		if f.Down != nil {
			p.down = *f.Down
		}
	})
	if f.Frozen != nil {
		p.SetFrozen(*f.Frozen)
	}
	c.SetStatusCode(204)
}
