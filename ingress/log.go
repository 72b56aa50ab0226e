package ingress

// This file defines what is logged and counted of each call.

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushtally/placement"
)

// counters count calls by how they ended.
type counters struct {
	scope    tally.Scope
	attempts tally.Counter
	shed     tally.Counter // requests that were not read
	first    tally.Histogram
}

func newCounters(s tally.Scope) counters {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	return counters{scope: s, attempts: s.Counter("attempts"), shed: s.Counter("requests_shed"), first: s.Histogram("answer_seconds", buckets)}
}

func (c *counters) refused(status int) {
	c.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "cause": "head"}).Counter("requests").Inc(1)
}

// log writes the line of a call that has ended.
func (x *call) log(status int, v *verdict) {
	cause := v.cause
	took := time.Since(x.arrived)
	f := x.flow
	f.counts.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "cause": cause}).Counter("requests").Inc(1)
	f.counts.first.RecordDuration(took)
	e := f.Logger.Info().Str("request", x.meta.id).Int("status", status).Str("cause", cause).Dur("took_ms", took)
	if x.table != nil {
		e = e.Uint64("version", x.table.Version()).Dur("proof_age_ms", x.proofAge)
	}
	if x.route != nil {
		e = e.Str("route", x.route.Name)
	}
	if x.ask != nil {
		e = e.Str("customer", x.ask.Customer).Strs("servers", x.ask.Tried).Dur("queued_ms", x.queued).
			Int("shared", x.ask.Shared()).Int("prompt", x.ask.Prompt).Int("output", x.ask.Output)
	}
	if x.stream != nil {
		e = e.Int("events", x.stream.events).Dur("first_ms", x.firstAfter).Dur("expected_ms", x.expected).
			Int("unread", x.unread).Dur("gap_ms", x.stream.gap)
	}
	if s := v.seen; s != (placement.Seen{}) {
		e = e.Int("unusable", s.Unusable).Int("claimed", s.Claimed).Int("full", s.Full).Int("busy", s.Busy).Dur("best_first_ms", s.First)
	}
	if s := v.share; cause == string(placement.OverShare) {
		e = e.Int("share", int(s.Level)).Int("served", int(s.Served)).Int("served_least", int(s.Least)).Float64("idle", s.Idle)
	}
	if v.after > 0 {
		e = e.Dur("come_back_ms", v.after)
	}
	if x.fetched != "" {
		e = e.Str("fetched_from", x.fetched)
	}
	e.Msg("request")
}
