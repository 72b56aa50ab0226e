package schedule

// This file defines Window, which limits the requests in flight to one backend
// server. Only the shard's leader changes it.

import "time"

// Parameters of window growth and reduction.
const (
	coldWindow      = 1.0
	growInterval    = 5 * time.Second  // minimum time between doublings of a window
	minCutInterval  = 2 * time.Second  // minimum time between reductions of a window
	reportLag       = 3 * time.Second  // time for which reports may still count a request of this leader that ended
	latencyCutRatio = 2.5              // ratio of recent to long-term event gap above which the window is reduced
	declinePause    = 1 * time.Second  // time without new requests after the backend server declined one
	maxReportAge    = 10 * time.Second // age above which a load report is ignored
)

// LoadReport is the load that a backend server reports. It lags behind the actual load.
type LoadReport struct {
	Boot    string // boot identifier, which changes at each start of the backend server
	Running int    // requests in its batch
	Waiting int    // requests queued outside its batch
	Leaving bool   // it is draining and gets no new requests
}

// Window limits the requests in flight to one backend server.
//
// The leader's own in-flight count is authoritative. A load report can only reduce the
// number of free slots, by the requests that this leader did not send, such as those
// of a previous leader.
type Window struct {
	limit    float64 // greatest size, in requests
	size     float64 // current size, in requests
	inflight int     // requests of this leader in flight
	down     bool    // unreachable since the last report
	draining bool    // by the last report

	boot            string
	foreignInflight int // requests that this leader did not send, by the last report
	reportedAt      time.Time

	growthStart   time.Time // time of the last change of size, from which growInterval counts
	healthyEvents int       // successful completions and progress events since growthStart
	cutAt         time.Time // time of the last reduction
	blockedUntil  time.Time // no new requests before this time

	peaks          [2]int // greatest inflight in the current and the previous period of length reportLag
	peakStart      time.Time
	contradictions int // consecutive reports that show less than half of inflight

	fastMean, slowMean float64 // moving means of the event gap, over about 16 and 256 events, in seconds
}

// newWindow returns a cold window that can grow to limit.
func newWindow(now time.Time, limit int) Window {
	return Window{limit: float64(limit), size: coldWindow, growthStart: now, peakStart: now}
}

// Size returns the window's current size, in requests.
func (w *Window) Size() int { return int(w.size) }

// InFlight returns the number of requests that this leader has in flight.
func (w *Window) InFlight() int { return w.inflight }

// Free returns how many more requests may be sent to the backend server now.
func (w *Window) Free(now time.Time) int {
	free := int(w.size) - w.inflight
	if free <= 0 || w.down || w.draining {
		return 0
	}
	if !w.blockedUntil.IsZero() && now.Before(w.blockedUntil) {
		return 0
	}
	if w.foreignInflight > 0 && now.Sub(w.reportedAt) <= maxReportAge {
		free -= w.foreignInflight
	}
	return max(0, free)
}

// resize sets the greatest size and reduces the window to it if needed.
func (w *Window) resize(limit int) {
	w.limit = float64(limit)
	w.size = min(w.size, w.limit)
}

// ResetCold resets the window to its cold size, for example after a restart of the
// backend server.
func (w *Window) ResetCold(now time.Time) {
	w.size = coldWindow
	w.growthStart = now
	w.healthyEvents = 0
	w.contradictions = 0
	w.fastMean, w.slowMean = 0, 0
}

// recordStart counts a request that is sent to the backend server.
func (w *Window) recordStart(now time.Time) {
	w.inflight++
	w.rollPeaks(now)
	w.peaks[0] = max(w.peaks[0], w.inflight)
}

// rollPeaks starts a new period of peaks if the current one is over.
func (w *Window) rollPeaks(now time.Time) {
	for range w.peaks {
		if now.Sub(w.peakStart) < reportLag {
			return
		}
		w.peaks[1] = w.peaks[0]
		w.peaks[0] = w.inflight
		w.peakStart = w.peakStart.Add(reportLag)
	}
	w.peakStart = now
}

// recordProgress records progress of a request in flight, gap after the previous one (0
// if there was none). It grows the window, or reduces it if event gaps have become
// longer.
func (w *Window) recordProgress(now time.Time, gap time.Duration) {
	w.healthyEvents++
	w.grow(now)
	s := gap.Seconds()
	if s <= 0 {
		return
	}
	if w.slowMean == 0 {
		w.fastMean, w.slowMean = s, s
	}
	w.fastMean += (s - w.fastMean) / 16
	w.slowMean += (s - w.slowMean) / 256
	if w.fastMean > w.slowMean*latencyCutRatio {
		w.cut(now, 0.7)
		w.slowMean = w.fastMean
	}
}

// grow doubles the window, up to limit, if growInterval has passed with healthy events.
func (w *Window) grow(now time.Time) {
	if w.size >= w.limit || w.healthyEvents == 0 || now.Sub(w.growthStart) < growInterval {
		return
	}
	w.size = min(w.limit, w.size*2)
	w.growthStart = now
	w.healthyEvents = 0
}

// cut multiplies the size by factor, unless the last cut was less than minCutInterval
// ago.
func (w *Window) cut(now time.Time, factor float64) {
	if now.Sub(w.cutAt) < minCutInterval {
		return
	}
	w.cutAt = now
	w.growthStart = now
	w.healthyEvents = 0
	w.size = max(coldWindow, w.size*factor)
}

// recordFinish counts a request as ended. It grows or reduces the window depending on the
// result.
func (w *Window) recordFinish(now time.Time, result AttemptResult) {
	w.inflight--
	switch result {
	case AttemptSucceeded:
		w.healthyEvents++
		w.grow(now)
	case AttemptDeclined:
		w.cut(now, 0.5)
		w.blockedUntil = now.Add(declinePause)
	case AttemptFailed:
		w.cut(now, 0.5)
	case AttemptUnreachable:
		w.down = true
		w.ResetCold(now)
	}
}

// applyReport applies a load report. It resets the window and returns true if the
// backend server is cold again: it was unreachable, it has a new boot identifier, or
// its reports contradict the in-flight count.
func (w *Window) applyReport(now time.Time, r LoadReport) bool {
	w.rollPeaks(now)
	cold := w.down || (w.boot != "" && r.Boot != w.boot) || w.contradicted(r)
	w.boot = r.Boot
	w.down = false
	w.draining = r.Leaving
	w.foreignInflight = max(0, r.Running+r.Waiting-max(w.peaks[0], w.peaks[1]))
	w.reportedAt = now
	if cold {
		w.ResetCold(now)
	}
	return cold
}

// contradicted reports whether this is at least the third report in a row that shows
// less than half of the requests in flight. With fewer than 4 in flight it returns
// false.
func (w *Window) contradicted(r LoadReport) bool {
	if w.inflight < 4 || 2*(r.Running+r.Waiting) >= w.inflight {
		w.contradictions = 0
		return false
	}
	w.contradictions++
	return w.contradictions >= 3
}
