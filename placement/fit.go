package placement

// This file estimates from observed requests how long model servers take to prefill prompts.

import (
	"math"
	"time"
)

// observePrefill updates the prefill model of the pool and the slowdown of one server
// with the time to a first event. Tokens is the prefill cost that was pending at the
// server, the request's own included.
func (p *pool) observePrefill(now time.Time, s *server, tokens float64, expected, took time.Duration) {
	p.ownFit.add(tokens, milliseconds(took))
	all := p.ownFit
	for _, peer := range p.peerFits {
		all = all.merge(peer)
	}
	if slope, base, ok := all.leastSquares(); ok {
		p.msPerToken = min(maxMsPerToken, max(minMsPerToken, slope))
		p.baseMs = min(maxBaseMs, max(0, base))
	}
	ratio := min(maxSlowdownRatio, max(1/maxSlowdownRatio, milliseconds(took)/max(milliseconds(expected), 1)))
	p.observeSpeed(now, s, tokens, took)
	s.slowdownAt = now
	s.slowdown = min(maxSlowdown, max(minSlowdown, s.slowdown*math.Pow(ratio, slowdownGain)))
}

// prefillFit holds the sums of a least-squares fit of milliseconds (y) over tokens (x).
// Each new observation reduces the weight of the older ones by fitDecay.
type prefillFit struct {
	n, x, y, xx, xy float64
}

// add adds an observation of x tokens and y milliseconds.
func (f *prefillFit) add(x, y float64) {
	f.n = f.n*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
}

// merge returns the fit over the observations of both.
func (f prefillFit) merge(g prefillFit) prefillFit {
	return prefillFit{n: f.n + g.n, x: f.x + g.x, y: f.y + g.y, xx: f.xx + g.xx, xy: f.xy + g.xy}
}

// leastSquares returns the fitted line in milliseconds per token and milliseconds at 0
// tokens. It returns false if there are too few observations.
func (f *prefillFit) leastSquares() (slope, base float64, ok bool) {
	spread := f.n*f.xx - f.x*f.x
	if f.n < minFitSamples || spread <= 0 {
		return 0, 0, false
	}
	slope = (f.n*f.xy - f.x*f.y) / spread
	return slope, (f.y - slope*f.x) / f.n, true
}
