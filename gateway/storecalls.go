package gateway

// This file reports how often this router calls the store, and what for.

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/platform"
)

// storeCallsPeriod is the time between two reports of the calls of the store.
const storeCallsPeriod = 5 * time.Second

// reportStoreCalls counts and logs the calls of the store by purpose until the context ends.
func (g *Gateway) reportStoreCalls(ctx context.Context) error {
	t := time.NewTicker(storeCallsPeriod)
	defer t.Stop()
	var reported map[string]platform.CallCounts
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		reported = g.reportCallsSince(reported)
	}
	return nil
}

// reportCallsSince reports the calls since an earlier report, and returns those of now.
func (g *Gateway) reportCallsSince(reported map[string]platform.CallCounts) map[string]platform.CallCounts {
	now := g.store.Calls()
	e, calls := zerolog.Dict(), 0
	for purpose, c := range now {
		before := reported[purpose]
		if c.Calls == before.Calls {
			continue
		}
		calls += c.Calls - before.Calls
		e.Int(purpose, c.Calls-before.Calls)
		tagged := g.metrics.Tagged(map[string]string{"purpose": strings.ReplaceAll(purpose, " ", "_")})
		tagged.Counter("store_calls").Inc(int64(c.Calls - before.Calls))
		tagged.Counter("store_calls_failed").Inc(int64(c.Failed - before.Failed))
	}
	if calls > 0 {
		g.logger.Info().Int("calls", calls).Dict("by_purpose", e).Msg("store-calls")
	}
	return now
}
