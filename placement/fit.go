package placement

// This file defines how a router learns how long engines take to read prompts.

import (
	"math"
	"time"
)

// observe learns from a first event: how long reading takes, on the whole and at this server.
func (p *pool) observe(now time.Time, s *server, tokens float64, expected, took time.Duration) {
	p.fit.add(tokens, milliseconds(took))
	all := p.fit
	for _, f := range p.fits {
		all = all.plus(f)
	}
	if slope, base, ok := all.line(); ok {
		p.perToken = min(maxPerToken, max(minPerToken, slope))
		p.base = min(maxBase, max(0, base))
	}
	ratio := min(maxRatio, max(1/maxRatio, milliseconds(took)/max(milliseconds(expected), 1)))
	s.paced = now
	s.pace = min(maxPace, max(minPace, s.pace*math.Pow(ratio, paceGain)))
}

// fit is a line through observations, of which old ones count less; its zero value has none.
type fit struct {
	n, x, y, xx, xy float64
}

func (f *fit) add(x, y float64) {
	f.n = f.n*fitMemory + 1
	f.x = f.x*fitMemory + x
	f.y = f.y*fitMemory + y
	f.xx = f.xx*fitMemory + x*x
	f.xy = f.xy*fitMemory + x*y
}

// plus returns the observations of both.
func (f fit) plus(g fit) fit {
	return fit{n: f.n + g.n, x: f.x + g.x, y: f.y + g.y, xx: f.xx + g.xx, xy: f.xy + g.xy}
}

// line returns the line of least squares, or false if there are too few observations.
func (f *fit) line() (slope, base float64, ok bool) {
	spread := f.n*f.xx - f.x*f.x
	if f.n < fitSamples || spread <= 0 {
		return 0, 0, false
	}
	slope = (f.n*f.xy - f.x*f.y) / spread
	return slope, (f.y - slope*f.x) / f.n, true
}
