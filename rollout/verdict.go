package rollout

// This file defines the steps and verdicts that the evidence calls for.

import "time"

// Figures of verdicts.
const (
	drainedTime = 300 * time.Millisecond // for which the old servers must have got nothing before Complete
	silentTime  = 10 * time.Second       // beyond the usual duration, after which a router that is no member counts as gone
	gracePart   = 5                      // RollbackDelay over the time that 50 bad answers leave for the evidence
	latePart    = 0.4                    // of the time until the shift has to begin, in which ever less evidence for the version will do
	silentGrace = 30 * time.Second       // after the deadline, when a router that hears few others ends an order without evidence
)

// worst returns the evidence against the version.
func (t *trial) worst() float64 { return max(t.failing, t.slowing) }

// hearsMost reports whether this router hears at least half of the routers that may exist.
func (t *trial) hearsMost() bool { return 2*(t.heard+1) >= t.options.Routers }

// judge stops the trial if the evidence is against the version.
func (t *trial) judge(now time.Time) {
	switch many := float64(t.total.bad) >= t.badLimit(); {
	case !many:
		t.manyBadAt = time.Time{}
	case t.manyBadAt.IsZero():
		t.manyBadAt = now
	}
	t.held = !t.manyBadAt.IsZero() && !t.hearsMost() && t.suspicion >= holdEvidence
	switch {
	case t.failing >= t.requiredEvidence(now):
		t.stop(now, MoreFailures)
	case t.slowing >= t.requiredEvidence(now):
		t.stop(now, SlowerAnswers)
	case float64(t.total.bad) >= usableFraction*badAnswers && t.worst() >= lateRollbackEvidence && now.Sub(t.manyBadAt) >= t.options.RollbackDelay/gracePart:
		t.stop(now, TooManyBad)
	}
}

// lastWrite returns when a verdict has to be written to be in the store by the deadline.
func (t *trial) lastWrite() time.Time { return t.deadline().Add(-writeTime) }

// requiredEvidence returns the evidence that stops the trial. A bad version has to be rolled back by the deadline, so pauseEvidence suffice then
// for one that has not all requests yet.
func (t *trial) requiredEvidence(now time.Time) float64 {
	switch {
	case now.Before(t.lastWrite()):
		return rollbackEvidence
	case t.stage < stageAll:
		return pauseEvidence
	}
	return lateRollbackEvidence
}

// doubted reports whether the evidence is too strong for a step towards the version. After the deadline it either stops the trial
// or does not count, so that an order ends also without further requests.
func (t *trial) doubted(now time.Time) bool {
	favoursFault := t.favoursFault && t.stage >= stageShift && t.stage < stageAll
	return now.Before(t.deadline()) && (favoursFault || max(t.worst(), t.slowNow) >= pauseEvidence)
}

// advance takes the next stage if its time has come and the evidence holds.
func (t *trial) advance(now time.Time) {
	if t.stopped != NoOrder || t.doubtful || t.held {
		return
	}
	switch {
	case t.stage < stageShift && t.shiftDue(now):
		t.stage, t.stageAt = stageShift, now
	case t.stage < stageTrial && t.trialStepDue(now), t.stage >= stageShift && t.stage < stageAll && now.Sub(t.stageAt) >= shiftStep:
		t.stage, t.stageAt = t.stage+1, now
	}
}

// trialStepDue reports whether the next stage of the trial is due: after enough answers or, where there are few requests, by time,
// since the exposure bound holds in each stage.
func (t *trial) trialStepDue(now time.Time) bool {
	answered := uint32(0)
	for _, c := range t.total.routes {
		answered += c.New.Answered
	}
	if answered >= stageEvidence[t.stage] {
		return true
	}
	wait := t.lastShift().Sub(t.order.Began) * time.Duration(t.stage+1) / 4
	return !t.favoursFault && t.suspicion < holdEvidence && (t.heard > 0 || t.options.Routers == 1) && now.Sub(t.order.Began) >= wait && now.Sub(t.knownAt) >= wait/2
}

// lastShift returns when the shift has to begin for the order to be complete by its deadline.
func (t *trial) lastShift() time.Time {
	need := 2*shiftStep + drainedTime + t.service.longDuration()*3/2 + writeTime
	return t.deadline().Add(-min(need, t.order.Duration*3/4))
}

// shiftDue reports whether the evidence is complete and it is time to shift.
func (t *trial) shiftDue(now time.Time) bool {
	last := t.lastShift()
	if now.Before(last) && now.Before(t.order.Began.Add(t.order.Duration/2)) || now.After(t.deadline()) && !t.peerShifts(now) {
		return false
	}
	late := t.lateness(now)
	return !t.favoursFault && t.suspicion < holdEvidence && t.favour >= shiftEvidence-(shiftEvidence-lateShiftEvidence)*late && t.since(nil, nil).routesSound(late)
}

// lateness returns how near the last moment for the shift is: 0 until the last part of the time before it, and 1 from then on.
func (t *trial) lateness(now time.Time) float64 {
	last := t.lastShift()
	part := latePart * float64(last.Sub(t.order.Began))
	return min(1, max(0, 1-float64(last.Sub(now))/part))
}

// Verdict returns what this router would write to the store now, why, and whether it is due. A verdict that the store has is
// not due.
func (r *Rollout) Verdict(now time.Time, service string) (v State, reason Reason, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.trial == nil {
		return Serving, NoOrder, false
	}
	t := s.trial
	t.update(now)
	switch {
	case t.state != Serving:
		return t.state, Stored, !t.stored
	case t.stopped != NoOrder:
		return RolledBack, t.stopped, true
	case (t.stage < stageShift || t.stage < stageAll && t.favoursFault) && t.evidenceMissing(now):
		return RolledBack, NoEvidence, true
	case t.stage < stageShift:
		return Serving, OnTrial, false
	case t.stage < stageAll || now.Sub(t.stageAt) < drainedTime || t.doubted(now):
		return Serving, Shifting, false
	case !t.drained(now):
		return Serving, OldInFlight, false
	}
	return Complete, Drained, true
}

// evidenceMissing reports whether the order ends without the evidence for a shift. A router that hears few others waits for those
// that know more.
func (t *trial) evidenceMissing(now time.Time) bool {
	end := t.lastWrite()
	if !t.hearsMost() || t.peerShifts(now) {
		end = end.Add(silentGrace)
	}
	return !now.Before(end)
}

// peerShifts reports whether another router has begun the shift and goes on with it: it had the evidence that this one lacks.
func (t *trial) peerShifts(now time.Time) bool {
	for _, p := range t.peers {
		if !p.retired && !p.Stopped && p.Stage >= stageShift && now.Sub(p.heardAt) <= t.options.RollbackDelay/hearingPart {
			return true
		}
	}
	return false
}

// drained reports whether no router sends anything to the old servers or waits for anything from them.
func (t *trial) drained(now time.Time) bool {
	if t.oldInFlight() > 0 {
		return false
	}
	reported := map[string]bool{t.options.Router: true}
	for key, p := range t.peers {
		reported[key.router] = true
		if !p.retired && !p.drained() && !t.gone(now, key.router, p) {
			return false
		}
	}
	for name := range t.members {
		if !reported[name] && now.Before(t.deadline().Add(silentGrace)) {
			return false
		}
	}
	return true
}

// gone reports whether a router has been silent for so long that nothing of it runs any more.
func (t *trial) gone(now time.Time, router string, p *peer) bool {
	silent := now.Sub(p.heardAt)
	if t.members[router] {
		return silent >= silentGrace+t.service.longDuration() && now.After(t.deadline().Add(silentGrace))
	}
	return silent >= silentTime+t.service.longDuration()
}

// Trial returns the version of a service's order, "" without one, and how many servers of it the trial uses; 0 means all. With as
// few servers as the share of requests calls for, each has the load that it will have, and a fault under load shows.
func (r *Rollout) Trial(service string) (to string, servers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.trial == nil {
		return "", 0
	}
	t := s.trial
	if t.stage >= stageShift || t.state != Serving || s.servers == 0 {
		return t.order.To, 0
	}
	share := stageShares[t.stage] * usableFraction * t.options.ExposeShare
	return t.order.To, max(1, int(share*float64(s.servers)+0.5))
}
