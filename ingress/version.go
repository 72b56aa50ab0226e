package ingress

// This file defines how a stream keeps to the software version of the backend server that began it: in one response, and
// when its caller takes it up.

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
