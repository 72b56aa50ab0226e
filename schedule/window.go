package schedule

// This file defines Window, the number of requests that one backend server may
// hold at once. Only the shard's leader changes it.

import "time"

// Pacing of windows.
const (
	coldWindow     = 1.0
	warmStep       = 5 * time.Second  // between doublings of a healthy window
	cutPause       = 2 * time.Second  // between cuts
	foreignHorizon = 3 * time.Second  // how long an own request may linger in lagging reports
	latencyJump    = 2.5              // recent over usual time between tokens that cuts the window
	refusalPause   = 1 * time.Second  // without new work after a refusal
	staleReport    = 10 * time.Second // age at which a load report counts no more
)

// Report is a backend server's own view of its load, which lags.
type Report struct {
	Boot    string // changes whenever the server starts
	Running int    // requests in its batch
	Waiting int    // requests that it holds outside its batch
	Leaving bool   // it drains
}

// Window bounds the requests in flight to one backend server.
//
// The leader's own count in flight is the truth. A report can only lower what is
// free: by requests that the leader did not send, such as those of a previous leader.
type Window struct {
	limit    float64 // full size
	size     float64
	inflight int
	down     bool
	draining bool // by its own report

	boot       string
	foreign    int // requests of others, by the last report
	reportedAt time.Time

	grownAt   time.Time // start of the current step
	healthy   int       // completions and tokens since then
	cutAt     time.Time
	blockedTo time.Time

	peaks       [2]int // most in flight in this horizon and the last
	peakAt      time.Time
	contradicts int // reports in a row that show less than half of what is in flight

	fast, slow float64 // moving means of the time between tokens, in seconds
}

func newWindow(now time.Time, limit int) Window {
	return Window{limit: float64(limit), size: coldWindow, grownAt: now, peakAt: now}
}

// Size returns the window's present size, in requests.
func (w *Window) Size() int { return int(w.size) }

// Inflight returns the requests that this leader has in flight.
func (w *Window) Inflight() int { return w.inflight }

// Free returns how many more requests the backend server may be sent.
func (w *Window) Free(now time.Time) int {
	free := int(w.size) - w.inflight
	if free <= 0 || w.down || w.draining {
		return 0
	}
	if !w.blockedTo.IsZero() && now.Before(w.blockedTo) {
		return 0
	}
	if w.foreign > 0 && now.Sub(w.reportedAt) <= staleReport {
		free -= w.foreign
	}
	return max(0, free)
}

func (w *Window) resize(limit int) {
	w.limit = float64(limit)
	w.size = min(w.size, w.limit)
}

// ResetCold returns the window to its cold size, as after a restart of the backend server.
func (w *Window) ResetCold(now time.Time) {
	w.size = coldWindow
	w.grownAt = now
	w.healthy = 0
	w.contradicts = 0
	w.fast, w.slow = 0, 0
}

func (w *Window) start(now time.Time) {
	w.inflight++
	w.rollPeaks(now)
	w.peaks[0] = max(w.peaks[0], w.inflight)
}

// rollPeaks moves to a new horizon when the present one has passed.
func (w *Window) rollPeaks(now time.Time) {
	for range w.peaks {
		if now.Sub(w.peakAt) < foreignHorizon {
			return
		}
		w.peaks[1] = w.peaks[0]
		w.peaks[0] = w.inflight
		w.peakAt = w.peakAt.Add(foreignHorizon)
	}
	w.peakAt = now
}

func (w *Window) progress(now time.Time, gap time.Duration) {
	w.healthy++
	w.grow(now)
	s := gap.Seconds()
	if s <= 0 {
		return
	}
	if w.slow == 0 {
		w.fast, w.slow = s, s
	}
	w.fast += (s - w.fast) / 16
	w.slow += (s - w.slow) / 256
	if w.fast > w.slow*latencyJump {
		w.cut(now, 0.7)
		w.slow = w.fast
	}
}

func (w *Window) grow(now time.Time) {
	if w.size >= w.limit || w.healthy == 0 || now.Sub(w.grownAt) < warmStep {
		return
	}
	w.size = min(w.limit, w.size*2)
	w.grownAt = now
	w.healthy = 0
}

func (w *Window) cut(now time.Time, factor float64) {
	if now.Sub(w.cutAt) < cutPause {
		return
	}
	w.cutAt = now
	w.grownAt = now
	w.healthy = 0
	w.size = max(coldWindow, w.size*factor)
}

func (w *Window) finish(now time.Time, e Ending) {
	w.inflight--
	switch e {
	case EndedWell:
		w.healthy++
		w.grow(now)
	case EndedRefused:
		w.cut(now, 0.5)
		w.blockedTo = now.Add(refusalPause)
	case EndedFailed:
		w.cut(now, 0.5)
	case EndedDead:
		w.down = true
		w.ResetCold(now)
	}
}

// report takes in a load report and says whether the server turned out to be cold again.
func (w *Window) report(now time.Time, r Report) bool {
	w.rollPeaks(now)
	cold := w.down || (w.boot != "" && r.Boot != w.boot) || w.contradicted(r)
	w.boot = r.Boot
	w.down = false
	w.draining = r.Leaving
	w.foreign = max(0, r.Running+r.Waiting-max(w.peaks[0], w.peaks[1]))
	w.reportedAt = now
	if cold {
		w.ResetCold(now)
	}
	return cold
}

// contradicted reports whether the server twice in a row showed far less than what is in flight.
func (w *Window) contradicted(r Report) bool {
	if w.inflight < 4 || 2*(r.Running+r.Waiting) >= w.inflight {
		w.contradicts = 0
		return false
	}
	w.contradicts++
	return w.contradicts >= 3
}
