package ingress

// This file defines how the run of a stream migrates from one backend server to another within one response.

import (
	"context"
	"errors"
	"io"
	"time"

	"bulrushtally/placement"
	"bulrushtally/upstream"
)

// Migration describes the KV cache of a request that was stopped for migration.
type Migration struct {
	KVSource       string // location of the KV cache, sent with the request when it continues
	CopiedToTarget bool   // the target has a copy; if false, only the source has the KV cache
}

// MigrationOutcome says what is known of a request after a backend server was told to stop it for its migration.
type MigrationOutcome int

// Outcomes of an order to stop a request.
const (
	NotStopped   MigrationOutcome = iota // the request goes on at the source
	Stopped                              // the source has stopped it, and holds its KV cache
	MayBeStopped                         // the source did not say
)

// Migrator migrates running requests between backend servers.
type Migrator interface {
	// Migrate stops a request at the source and copies its KV cache to the target. The Migration counts only if the outcome
	// is Stopped.
	Migrate(ctx context.Context, source, id, target string) (Migration, MigrationOutcome)
	// ReleaseSource lets the source release the KV cache of a stopped request.
	ReleaseSource(m Migration)
}

// canMigrate reports whether the request may migrate. A request migrates at most once.
func (x *call) canMigrate() bool {
	return x.flow.Migrator != nil && x.service.Migrates && x.migrations == 0 && x.meta.id != ""
}

// migrate tells the server of g to stop the request, so that it goes on at another server. It returns the grant for that
// server, or nil if the request does not migrate or may not have been stopped.
func (x *call) migrate(ctx context.Context, g *placement.Grant) (target *placement.Grant, m Migration) {
	target = g.Migrate(time.Now())
	if target == nil {
		return nil, m
	}
	x.observeAttempt(target)
	m, outcome := x.flow.Migrator.Migrate(ctx, g.Address(), x.meta.id, target.Address())
	if outcome == Stopped {
		return target, m
	}
	x.stream.mayBeStopped = outcome == MayBeStopped
	target.EndUnsent(time.Now())
	return nil, m
}

// continueMigrated forwards the remaining events of the source g, which has stopped, and
// then the stream of the target. If the target cannot continue, the source does.
func (x *call) continueMigrated(ctx context.Context, g *placement.Grant, ex *upstream.Exchange, target *placement.Grant, m Migration) (retry bool, v *result) {
	x.migrations++
	if done, v := x.drainSource(g, ex); done {
		target.EndUnsent(time.Now())
		return false, v
	}
	x.stream.partial = nil
	x.kvSource = m.KVSource
	defer func() { x.kvSource = "" }()
	if m.CopiedToTarget {
		next, err := x.send(ctx, target)
		if errors.Is(err, upstream.ErrAbandoned) {
			return x.abandonMigrated(ctx, g, target, m)
		}
		if err == nil {
			defer next.Close()
			if x.accepted(next) {
				x.endGrant(g, placement.Done)
				go x.flow.Migrator.ReleaseSource(m)
				return x.forwardStream(ctx, target, next)
			}
		}
	}
	target.EndUnsent(time.Now())
	next, err := x.send(ctx, g)
	if errors.Is(err, upstream.ErrAbandoned) {
		return x.abandonMigrated(ctx, g, target, m)
	}
	if err != nil {
		// Even if this connection failed, the request has run before.
		return x.streamError(ctx, g, &upstream.ResponseError{Address: g.Address(), Err: err})
	}
	defer next.Close()
	if !x.accepted(next) {
		return x.streamError(ctx, g, errMigrationFailed)
	}
	return x.forwardStream(ctx, g, next)
}

// abandonMigrated ends a request that was stopped for its migration and whose caller has left, or whose
// deadline has passed.
func (x *call) abandonMigrated(ctx context.Context, g, target *placement.Grant, m Migration) (retry bool, v *result) {
	target.EndUnsent(time.Now())
	x.endGrant(g, placement.Abandoned)
	go x.flow.Migrator.ReleaseSource(m)
	if ctx.Err() != nil {
		return false, x.contextEnded(ctx)
	}
	if x.hold != nil {
		return false, x.holdResult()
	}
	return false, &result{status: 502, cause: causeLeft}
}

// errMayBeStopped is the error of a stream that ended, without a sign that it is complete, after its server was told to stop it.
var errMayBeStopped = errors.New("the stream ended after its server was told to stop it, which it did not answer")

// errMigrationFailed is returned if neither source nor target continues a stopped request.
var errMigrationFailed = errors.New("the request was stopped to move and no engine goes on with it")

// accepted reports whether a backend server continues a migrated request.
func (x *call) accepted(ex *upstream.Exchange) bool {
	return !x.declined(ex) && ex.Status() == 200
}

// endsAsIfStopped reports whether an answer ended with err as it would if its server had stopped the request, which closes the
// connection. Only an answer with a length or with chunks can still say that it is complete.
func endsAsIfStopped(ex *upstream.Exchange, err error) bool {
	return upstream.ClosedByServer(err) && (ex.EndsWithConnection() || !errors.Is(err, io.EOF))
}

// drainSource forwards the events that the source generated before it stopped, and reports whether the call ends with
// them: the answer may have been complete before.
func (x *call) drainSource(g *placement.Grant, ex *upstream.Exchange) (done bool, v *result) {
	s := x.stream
	for {
		_, err := x.relay(g, ex, false)
		if err == nil {
			continue
		}
		if errors.Is(err, errCallerLeft) {
			x.endGrant(g, placement.Abandoned)
			return true, &result{status: 502, cause: causeLeft}
		}
		x.logSourceEnded(g, ex, err)
		if !errors.Is(err, io.EOF) || len(s.partial) > 0 || endsAsIfStopped(ex, err) {
			return false, nil
		}
		_, v := x.finishStream(g, ex, true)
		return true, v
	}
}
