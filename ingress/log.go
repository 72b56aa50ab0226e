package ingress

// This file defines the log lines and metrics of calls.

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/placement"
	"bulrushtally/quarantine"
	"bulrushtally/upstream"
)

// flowMetrics are the metrics of a Flow: calls by status and cause, attempts,
// requests shed, the time to read each request, and the time from then to the end of the call.
type flowMetrics struct {
	scope     tally.Scope
	attempts  tally.Counter // sends to a backend server
	lateDials tally.Counter // connections that were not made in time while this router was late itself
	pauses    tally.Counter // times at which the router began to ask for no new connections
	revoked   tally.Counter // assignments to backend servers that were to get no more requests before the request was sent
	shed      tally.Counter // requests rejected or dropped before they were served

	rejectedLoads tally.Counter // statements of load by backend servers that were malformed or implausible
	readTime      tally.Histogram
	duration      tally.Histogram
}

func newFlowMetrics(s tally.Scope) flowMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	return flowMetrics{
		scope: s, attempts: s.Counter("attempts"), lateDials: s.Counter("dials_late"), revoked: s.Counter("assignments_revoked"), shed: s.Counter("requests_shed"), pauses: s.Counter("connection_pauses"),
		rejectedLoads: s.Counter("server_loads_rejected"), readTime: s.Histogram("read_seconds", buckets), duration: s.Histogram("answer_seconds", buckets),
	}
}

// requestRejected counts a request whose head or body was rejected.
func (m *flowMetrics) requestRejected(status int) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "cause": "head"}).Counter("requests").Inc(1)
}

// logResult logs and counts a call that has ended.
func (x *call) logResult(status int, v *result) {
	cause := v.cause
	elapsed := time.Since(x.arrived)
	f := x.flow
	f.metrics.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "cause": cause}).Counter("requests").Inc(1)
	f.metrics.duration.RecordDuration(elapsed)
	e := f.Logger.Info().Str("request", x.meta.id).Int("status", status).Str("cause", cause).Dur("read_ms", x.readTime).Dur("duration_ms", elapsed)
	if at := x.conn.server.stopBegan(); !at.IsZero() {
		e = e.Dur("read_after_stop_ms", x.arrived.Sub(at)) // negative if it was read before
	}
	if x.table != nil {
		e = e.Uint64("version", x.table.Version()).Dur("since_config_confirmed_ms", x.configAge)
	}
	if x.route != nil {
		e = e.Str("route", x.route.Name)
	}
	if x.placementRequest != nil {
		e = e.Str("customer", x.placementRequest.Customer).Strs("servers", x.placementRequest.Tried).Dur("sent_after_ms", x.sentAfter).
			Int("shared_prompt_tokens", x.placementRequest.SharedTokens()).Int("prompt_tokens", x.placementRequest.PromptTokens).Int("expected_output_tokens", x.placementRequest.OutputTokens)
	}
	if x.stream != nil {
		e = e.Int("chunks", x.stream.chunks).Dur("first_event_ms", x.firstEventAfter).Dur("expected_first_event_ms", x.expectedFirst).
			Int("expected_prefill_tokens", x.expectedPrefill).Dur("max_event_gap_ms", x.stream.maxGap)
	}
	if x.takesUp() {
		e = e.Str("resumes", x.meta.resumes).Str("last_event", x.meta.lastEventID).Str("version_known_from", string(x.stream.source))
	}
	if x.stream != nil && x.placementRequest.Version != "" {
		e = e.Str("stream_version", x.placementRequest.Version)
	}
	if x.versionChosen && x.placementRequest.Rule != placement.AnyVersion {
		e = e.Str("service", x.service.Name).Str("rollout_version", ruleNames[x.placementRequest.Rule])
	}
	if s := v.servers; s != (placement.Rejections{}) {
		e = e.Int("unusable", s.Unusable).Int("limited", s.Limited).Int("reserved", s.Reserved).Int("full", s.Full).Int("busy", s.Busy).Int("spillover", s.Spillover).Dur("best_expected_first_event_ms", s.ShortestFirstEvent)
	}
	if s := v.share; cause == string(placement.OverShare) {
		e = e.Int("share_tokens", int(s.FairShare)).Int("within_share_tokens", int(s.WithinShare)).Int("served_tokens", int(s.Served)).Int("least_served_tokens", int(s.LeastServed)).Float64("idle_spare_fraction", s.IdleSpareFraction).Int("zones_reporting", s.Zones).Dur("oldest_zone_report_ms", s.OldestZoneReport)
	}
	if h := x.hold; h != nil {
		e = e.Stringer("held", h.Suspect).Dur("held_for_ms", time.Since(h.Since)).Int("crashes", h.Crashes)
	}
	if v.retryAfter > 0 {
		e = e.Dur("retry_after_ms", v.retryAfter)
	}
	if x.kvFetchedFrom != "" {
		e = e.Str("kv_fetched_from", x.kvFetchedFrom)
	}
	e.Msg("request")
}

// logStatement logs what is new in what an answer to a request says of the backend server.
func (f *Flow) logStatement(request string, g *placement.Grant, st placement.Statement, c placement.StatementChange) {
	if c.Limit != nil {
		LogLimit(f.Logger, c.Limit)
	}
	if c.Leaves {
		f.Logger.Info().Str("server", g.ID()).Int64("started_unix_ms", g.ServerStartedMs()).Str("request", request).Msg("server-leaving")
	}
	if c.Pause > 0 {
		f.Logger.Warn().Str("server", g.ID()).Int64("started_unix_ms", g.ServerStartedMs()).Str("request", request).Dur("pause_ms", c.Pause).Msg("server-paused")
	}
	if st.RejectedLoad != "" {
		f.metrics.rejectedLoads.Inc(1)
	}
	if c.RejectedLoads > 0 {
		f.Logger.Warn().Str("server", g.ID()).Int64("started_unix_ms", g.ServerStartedMs()).Str("request", request).
			Str("statement", st.RejectedLoad[:min(len(st.RejectedLoad), maxLoggedStatementBytes)]).Int("rejected", c.RejectedLoads).Msg("server-load-rejected")
	}
}

// maxLoggedStatementBytes is how much of a rejected statement of load is logged.
const maxLoggedStatementBytes = 64

// LogSlowness logs that a backend server is believed to be slower or faster than before.
func LogSlowness(logger zerolog.Logger, c placement.SlownessChange) {
	logger.Info().Str("server", c.Server).Int64("started_unix_ms", c.StartedMs).Float64("slowness", c.To).Float64("slowness_before", c.From).
		Int("statements", c.Evidence.Statements).Dur("statement_age_ms", c.Evidence.Age).Float64("mean_percent", c.Evidence.Mean).
		Float64("median_percent", c.Evidence.Median).Int("tasks", c.Evidence.Tasks).Float64("observed_slowness", c.Evidence.Observed).Float64("reported_weight", c.Evidence.Reported).Msg("server-slowness-changed")
}

// LogLimit logs that the limit of a backend server changed.
func LogLimit(logger zerolog.Logger, c *placement.LimitChange) {
	logger.Warn().Str("server", c.Server).Float64("limit_per_s", c.PerSecond).Bool("reported", c.Reported).Dur("limited_for_ms", c.Limited).
		Dur("answer_age_ms", c.AnswerAge).Msg("server-limit-changed")
}

// logSourceEnded logs how the answer of a backend server ended that was told to stop the request for its migration, and what
// the answer's framing says of that end.
func (x *call) logSourceEnded(g *placement.Grant, ex *upstream.Exchange, err error) {
	s := x.stream
	x.flow.Logger.Info().Str("request", x.meta.id).Str("server", g.ID()).Int("events", s.events).Int("partial_bytes", len(s.partial)).Str("last_event", s.lastID).
		Bool("chunked", ex.Chunked()).Bool("ends_with_connection", ex.EndsWithConnection()).Err(err).Msg("migration-source-ended")
}

// logRevoked logs that a request was not sent, since its backend server was to get no more requests by then.
func (x *call) logRevoked(g *placement.Grant) {
	x.flow.metrics.revoked.Inc(1)
	x.flow.Logger.Info().Str("request", x.meta.id).Str("server", g.ID()).Dur("since_assigned_ms", time.Since(g.SentAt())).Msg("server-revoked")
}

// maxLoggedURIBytes is how much of a request's URI is logged.
const maxLoggedURIBytes = 160

// logBroken logs that a backend server broke off, what had come of the response by then, and what of the
// request may be why: the whole of it, or a part of its prompt.
func (x *call) logBroken(g *placement.Grant, err error) {
	uri := x.http.RequestURI
	e := x.flow.Logger.Warn().Str("request", x.meta.id).Str("server", g.ID()).Int64("started_unix_ms", g.ServerStartedMs()).
		Stringer("suspect", quarantine.Suspect{Request: x.identity.Digest}).Str("method", x.http.Method).Str("uri", uri[:min(len(uri), maxLoggedURIBytes)]).
		Dur("since_sent_ms", time.Since(g.SentAt())).Dur("since_first_bytes_ms", g.SinceFirstEvent(time.Now())).Strs("parts", x.meta.parts)
	if s := x.stream; s != nil {
		e = e.Int("chunks", s.chunks).Int("partial_bytes", len(s.partial)).Str("last_event", s.lastID).Bool("whole_events", s.wholeEvents)
	}
	e.Err(err).Msg("server-broke-off")
}
