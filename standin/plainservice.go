package standin

// This file defines PlainService, the stand-in for a plain service. It counts the
// executions of each call, so that tests can find repeated calls.

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// CallIDHeader is the request header with the call ID that the client chose.
// Executions are counted by it.
const CallIDHeader = "X-Call"

// PlainService is a stand-in for a plain service. Its responses repeat the call ID and the
// body of the request.
type PlainService struct {
	httpServer
	callTime time.Duration // time to run a call

	mu         sync.Mutex
	boot       int            // number of starts, including restarts by Crash
	callCounts map[string]int // executions by call ID
	running    int            // calls being run
	failNext   string         // see FailNextCall; empty: no failure
	leaving    bool           // reported in load reports
	down       bool           // see SetDown
}

// NewPlainService starts a plain service on an address. Each call takes callTime. It fails if
// it cannot listen.
func NewPlainService(address string, callTime time.Duration) (*PlainService, error) {
	p := &PlainService{callTime: callTime, boot: 1, callCounts: map[string]int{}}
	if err := p.start(address, p.handle); err != nil {
		return nil, err
	}
	return p, nil
}

// CallCounts returns the number of executions of each call, by the call ID in CallIDHeader.
func (p *PlainService) CallCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.callCounts)
}

// FailNextCall makes the service close the connection of the next call without a response,
// "before" or "after" running the call.
func (p *PlainService) FailNextCall(when string) { p.withLock(func() { p.failNext = when }) }

// SetDown(true) makes the service close the connection of every request, other than to
// /faults, without a response. SetDown(false) returns to normal.
func (p *PlainService) SetDown(on bool) { p.withLock(func() { p.down = on }) }

// Crash closes all connections and increments the boot number, as a crash and restart
// would. Calls that are already running continue to their end.
func (p *PlainService) Crash() {
	p.withLock(func() { p.boot++ })
	p.dropConns()
}

func (p *PlainService) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// withLock calls f with p.mu held.
func (p *PlainService) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// handle serves load reports and fault settings; a request to any other path is a call.
func (p *PlainService) handle(c *fasthttp.RequestCtx) {
	p.mu.Lock()
	down := p.down
	c.Response.Header.SetBytesV(attemptIDHeader, c.Request.Header.Peek(attemptIDHeader))
	if string(c.Path()) == "/load" && !down {
		p.mu.Unlock()
		p.reachStep(StepLoadReport)
		p.mu.Lock()
		report := loadReport{Boot: fmt.Sprint(p.boot), Running: p.running, Leaving: p.leaving}
		p.mu.Unlock()
		writeJSON(c, 200, report)
		return
	}
	if string(c.Path()) == "/faults" {
		p.mu.Unlock()
		p.setFaults(c)
		return
	}
	failWhen := p.failNext
	p.failNext = ""
	p.mu.Unlock()
	if string(c.Path()) != "/load" {
		p.reachStep(StepReceived)
	}
	if p.isDown() || failWhen == "before" {
		c.Conn().Close()
		return
	}
	p.runCall(c, string(c.Request.Header.Peek(CallIDHeader)))
	if failWhen == "after" {
		c.Conn().Close()
	}
}

// runCall runs a call, counts it under its ID and sets the response.
func (p *PlainService) runCall(c *fasthttp.RequestCtx, callID string) {
	p.withLock(func() { p.callCounts[callID]++; p.running++ })
	p.reachStep(StepRunning)
	time.Sleep(p.callTime)
	p.reachStep(StepEnding)
	p.withLock(func() { p.running-- })
	c.SetContentType("text/plain")
	c.SetBodyString("done " + callID + " ")
	c.Response.AppendBody(c.PostBody())
}

// PlainServiceFaults is the body of POST /faults. Faults that are left out stay as they
// are, except that dieNext is then cleared.
type PlainServiceFaults struct {
	FailNext string `json:"dieNext"` // see PlainService.FailNextCall
	Leaving  *bool  `json:"leaving"`
	Down     *bool  `json:"down"`
	Frozen   *bool  `json:"frozen"`
}

// setFaults applies the faults in the body of a request, or responds with status 400.
func (p *PlainService) setFaults(c *fasthttp.RequestCtx) {
	var f PlainServiceFaults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	p.withLock(func() {
		p.failNext = f.FailNext
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
