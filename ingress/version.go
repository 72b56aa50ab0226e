package ingress

// This file defines how a stream keeps to the software version of the backend server that began it, in one response and
// when its caller takes it up, and how requests and their results are told to the roll-out of their service.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bulrushtally/placement"
	"bulrushtally/streamversion"
)

// Streams knows at which versions streams have begun, also those of other routers.
type Streams interface {
	// Begin records that a stream is about to begin at a version, or has, and that its caller may take it up until a time.
	Begin(s streamversion.Stream, version string, until time.Time)
	// Withdraw records that a stream has not begun after all, and reports whether it may begin at another version.
	Withdraw(s streamversion.Stream) bool
	// Ended records that a stream was sent to its end, or has not begun.
	Ended(s streamversion.Stream)
	// Find returns the version at which a stream of a service has begun, and how it is known.
	Find(ctx context.Context, service string, s streamversion.Stream) streamversion.Finding
}

// prepareStream sets the stream state of the call, and what its placement depends on.
func (x *call) prepareStream() {
	x.stream = newStream(x.route.Resumable, x.meta.lastEventID)
	x.placementRequest.KeepsVersion = x.route.Resumable || x.takesUp()
	attempt := x.meta.id
	if x.takesUp() {
		attempt = x.meta.resumes
	}
	x.stream.id = streamversion.StreamOf(x.service.Name, x.caller(), attempt)
}

// takesUp reports whether the caller takes up a stream of which it has had an event.
func (x *call) takesUp() bool { return x.stream != nil && x.meta.lastEventID != "" }

// share returns where in the weights of the route's services the request falls, from 0 to 1. A stream that is taken up falls
// where it fell first.
func (x *call) share() float64 {
	attempt := x.meta.id
	if x.meta.lastEventID != "" {
		attempt = x.meta.resumes
	}
	if attempt == "" {
		return rand.Float64()
	}
	const floatBits = 53
	return float64(streamversion.StreamOf("", "", attempt)>>(64-floatBits)) / (1 << floatBits)
}

// findVersion sets the version at which the stream that the caller takes up has begun. It returns how the call ends if that
// is not known.
func (x *call) findVersion(ctx context.Context) *result {
	x.watchClose()
	finding := x.flow.Streams.Find(ctx, x.service.Name, x.stream.id)
	x.stream.source = finding.Source
	if finding.Version == "" {
		return &result{status: 503, cause: causeNoStream, retryAfter: defaultRetryAfter}
	}
	req := x.placementRequest
	req.Version, req.TakenUp = finding.Version, finding.Source.Logged()
	// The objective is for the first event, which the caller has had.
	req.Late, req.Objective = false, time.Now().Add(x.route.Objective)
	return nil
}

// keepVersion makes the stream keep to the version of the server that the request is about to be sent to, so that this is
// known elsewhere when the first event comes.
func (x *call) keepVersion(g *placement.Grant) {
	version := g.Version()
	if x.stream == nil || !x.placementRequest.KeepsVersion || version == "" {
		return
	}
	x.placementRequest.Version = version
	x.flow.Streams.Begin(x.stream.id, version, x.deadline)
}

// leaveVersion lets a stream that has not begun begin at another version, unless others may know of the one before.
func (x *call) leaveVersion() {
	if x.stream != nil && !x.stream.begun && !x.takesUp() && x.placementRequest.Version != "" && x.flow.Streams.Withdraw(x.stream.id) {
		x.placementRequest.Version = ""
	}
}

// recordBegun records, before the first event is forwarded, that the stream has begun. A version that is not certain by then
// stays unknown.
func (x *call) recordBegun() {
	x.stream.begun = true
	if x.placementRequest.KeepsVersion && x.placementRequest.Version == "" {
		x.flow.Streams.Begin(x.stream.id, "", x.deadline)
	}
}

// errRestarted is the error of a stream whose next server may have started anew, as another version, since it was chosen.
var errRestarted = errors.New("backend server may run another version than the one that began the stream")

// versionChanged reports whether a server may run another version than the one that the stream keeps to.
func (x *call) versionChanged(g *placement.Grant) bool {
	version := x.placementRequest.Version
	return version != "" && g.Version() != version
}

// versionUnknown reports whether the stream has begun at a version that is not known for certain, so that it cannot go on
// at another server.
func (x *call) versionUnknown() bool { return x.stream.begun && x.placementRequest.Version == "" }

// recordStreamEnd records that the stream was sent to its end, or never began, so that its caller will not take it up.
func (x *call) recordStreamEnd(ended bool) {
	if x.placementRequest.KeepsVersion && (ended || !x.stream.begun && !x.takesUp()) {
		x.flow.Streams.Ended(x.stream.id)
	}
}

// Rollouts decides to which version a request of a service goes during a roll-out, and learns how requests end.
type Rollouts interface {
	// Choose returns the rule for a new request, which it counts.
	Choose(now time.Time, service string) placement.VersionRule
	// Again returns the rule for another attempt of a request.
	Again(now time.Time, service string) placement.VersionRule
	// Release gives back the rule placement.NewVersion of a request that was not sent to the new version.
	Release(now time.Time, service string)
	// Sent records that a request is sent to a server of a version. chosen says whether it holds the choice of the new version.
	Sent(now time.Time, service, version string, chosen bool)
	// Began records that an attempt at a server of a version has begun. A call of Ended follows.
	Began(now time.Time, service, version, route string)
	// Answered records that the first event of a stream has come.
	Answered(service, version, route string, e placement.Ending)
	// Ended records how the attempt ended. answered says that Answered was called for it.
	Ended(service, version, route string, e placement.Ending, answered bool)
}

// chooseVersion sets the rule by which the next attempt is placed during a roll-out.
func (x *call) chooseVersion() {
	r, now := x.flow.Rollouts, time.Now()
	if r == nil {
		return
	}
	if x.versionChosen {
		x.releaseVersion()
		x.placementRequest.Rule = r.Again(now, x.service.Name)
		return
	}
	x.versionChosen = true
	x.placementRequest.Rule = r.Choose(now, x.service.Name)
	x.holdsNewVersion = x.placementRequest.Rule == placement.NewVersion
}

// releaseVersion gives the choice of the new version back, if it was not used.
func (x *call) releaseVersion() {
	if x.holdsNewVersion {
		x.holdsNewVersion = false
		x.flow.Rollouts.Release(time.Now(), x.service.Name)
	}
}

// ruleNames are the names of version rules in the log.
var ruleNames = map[placement.VersionRule]string{placement.AnyVersion: "any", placement.OldVersion: "old", placement.NewVersion: "new"}

// observeAttempt tells the roll-out that an attempt has begun, and has its end told.
func (x *call) observeAttempt(g *placement.Grant) {
	r := x.flow.Rollouts
	if r == nil || g == nil {
		return
	}
	service, version, route := x.service.Name, g.ServerVersion(), x.route.Name
	r.Began(time.Now(), service, version, route)
	g.OnEnd(func(e placement.Ending) { r.Ended(service, version, route, e, x.answeredBy == g) })
}

// recordAnswered tells the roll-out that the first event of a stream has come: a stream may last longer than the roll-out can
// wait for it.
func (x *call) recordAnswered(g *placement.Grant, now time.Time) {
	if r := x.flow.Rollouts; r != nil {
		x.answeredBy = g
		r.Answered(x.service.Name, g.ServerVersion(), x.route.Name, g.Answered(now))
	}
}

// versionStopped reports whether the request must not be sent to the server any more since the roll-out goes on without its
// version. If it may, the roll-out is told that it is sent.
func (x *call) versionStopped(g *placement.Grant) bool {
	r, now := x.flow.Rollouts, time.Now()
	if r == nil {
		return false
	}
	if x.kvSource == "" && !g.MaySend(now) { // a run that was stopped to migrate goes on
		x.versionEnded = true
		return true
	}
	chosen := x.holdsNewVersion && g.IsNewVersion()
	if chosen {
		x.holdsNewVersion = false
	} else {
		x.releaseVersion()
	}
	r.Sent(now, x.service.Name, g.ServerVersion(), chosen)
	return false
}

// retryOtherVersion ends an attempt that was not sent since the roll-out goes on without the server's version, so that the
// request is placed anew. That is no retry, since no server had the request.
func (x *call) retryOtherVersion(g *placement.Grant) (retry bool, v *result) {
	g.EndUnsent(time.Now())
	x.versionEnded = false
	req := x.placementRequest
	req.Tried = req.Tried[:max(0, len(req.Tried)-1)]
	return true, &result{status: 503, cause: causeVersionStopped, retryAfter: defaultRetryAfter}
}
