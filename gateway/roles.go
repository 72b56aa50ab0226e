package gateway

// This file logs decisions on the roles of model servers.

import "time"

// logRoles writes a line for each decision on roles since the last call, with what decided it.
func (g *Gateway) logRoles() {
	for _, c := range g.placer.RoleDecisions() {
		event := "roles-kept"
		if c.Changed {
			event = "roles-changed"
		}
		a, e := c.Assessment, c.Engine
		g.logger.Info().Str("service", c.Service).Bool("split", c.Split).Int("servers", c.Servers).Int("slots", e.Slots).
			Float64("load_prefill", a.Prefill).Float64("load_decode", a.Decode).Float64("load_together", a.Together).Float64("capacity_split", a.Capacity()).
			Float64("migration_ms", min(a.MigrationMs, float64(time.Hour.Milliseconds()))).Float64("event_gap_ms", a.EventGapMs).
			Float64("prefill_ms_per_token", e.PrefillMsPerToken).Float64("token_ms", e.TokenMs).
			Float64("requests_per_s", c.RequestsPerSecond).Float64("requests_seen", c.Requests).
			Float64("long_prefill_tokens", c.Work.LongPrefill).Float64("streams_at_risk", a.AtRisk).Float64("migrations", c.Work.Migrations).Msg(event)
	}
}
