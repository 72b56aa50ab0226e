package placement

// This file defines Grant, a request's place at a backend server, and how it ends.

import "time"

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Done        Outcome = iota // a whole answer
	Failed                     // an answer that tells of a fault of the server
	Broken                     // the connection broke, or the answer was none
	Unreachable                // no connection; it has not run
	Declined                   // the server says that it has not run the request
	GivenUp                    // by the client, or its time was over
	Silent                     // no answer in all the time that there was
)

// Grant is a request's place at a backend server. Exactly one of End and Unsent must be called.
type Grant struct {
	placement *Placement
	server    *server
	ask       *Ask
	customer  *customer
	id        string
	address   string
	fetch     string
	sentAt    time.Time
	unread    int
	effort    float64       // tokens that this is worth
	ahead     float64       // tokens that the server had to read before
	expected  time.Duration // to the first event
	began     bool
	slow      bool
	moved     bool // the request was read elsewhere
	over      bool
}

// ID returns the backend server's name.
func (g *Grant) ID() string { return g.id }

// Address returns the backend server's IP number and port.
func (g *Grant) Address() string { return g.address }

// Fetch returns the address of an engine to fetch shared parts of the prompt from, or "".
func (g *Grant) Fetch() string { return g.fetch }

// Expected returns the time in which the first event was expected.
func (g *Grant) Expected() time.Duration { return g.expected }

// Unread returns the prompt tokens that the server was expected to read.
func (g *Grant) Unread() int { return g.unread }

// First takes in that the first event, or the answer, has come.
func (g *Grant) First(now time.Time) {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.began || g.over {
		return
	}
	g.began = true
	s := g.server
	s.reading--
	s.unread = max(0, s.unread-g.effort)
	s.answered(now)
	if g.ask.Prompt > 0 {
		if !g.ask.Late && now.After(g.ask.Objective) {
			g.late()
		}
		s.pool.observe(now, s, g.ahead+g.effort, g.expected, now.Sub(g.sentAt))
	}
	p.dispatch(now, s.pool)
}

// Slow takes in that the stream is late by a pause or by its first event.
func (g *Grant) Slow() {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	g.late()
}

func (g *Grant) late() {
	if !g.slow {
		g.slow = true
		g.server.pool.strain.add(true)
	}
}

// End takes in how the attempt ended, and reports whether the server was taken out for it.
func (g *Grant) End(now time.Time, o Outcome) (ejected bool) {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.over {
		return false
	}
	g.leave()
	s := g.server
	switch o {
	case Done:
		s.answered(now)
		if g.ask.Prompt > 0 && !g.slow {
			s.pool.strain.add(false)
		}
		s.judge(now, false)
	case Failed, Silent:
		ejected = s.judge(now, true)
	case Broken:
		// One answer that breaks off is no crash: after a crash the next connection fails.
		ejected = s.judge(now, true)
	case Unreachable:
		g.refund(now)
		s.failed(now)
	case Declined:
		g.refund(now)
		s.busyUntil = later(s.busyUntil, now.Add(declinePause))
		ejected = s.judge(now, true)
	}
	p.dispatch(now, s.pool)
	return ejected
}

// declinePause is how long a server that declined a request is taken to be busy.
const declinePause = 100 * time.Millisecond

// Unsent takes in that the request was not sent after all.
func (g *Grant) Unsent(now time.Time) {
	p := g.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.over {
		return
	}
	g.leave()
	g.refund(now)
	p.dispatch(now, g.server.pool)
}

func (g *Grant) leave() {
	g.over = true
	s := g.server
	s.running--
	if !g.began {
		s.reading--
		s.unread = max(0, s.unread-g.effort)
	}
	s.tokens -= g.ask.Prompt + g.ask.Output
}

// refund takes back what was charged for a request that did not run.
func (g *Grant) refund(now time.Time) {
	if g.ask.Prompt == 0 || g.moved {
		return
	}
	g.customer.served.add(g.placement.shares.slot(now), -g.ask.cost())
	s := g.server
	s.busyUntil = s.busyUntil.Add(-s.readTime(g.effort))
}
