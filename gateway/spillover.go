package gateway

// This file reports how requests leave the zone for want of room.

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/placement"
)

// spilloverReportPeriod is the time between two reports, so a service has at most one line in it.
const spilloverReportPeriod = time.Second

// reportSpillover measures what spills over to other zones, and logs each change of its state, until the context ends.
func (g *Gateway) reportSpillover(ctx context.Context) error {
	t := time.NewTicker(spilloverReportPeriod)
	defer t.Stop()
	reported := map[string]placement.SpilloverStatus{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			for _, s := range g.placer.SpilloverStatus() {
				g.measureSpillover(s, reported[s.Service])
				reported[s.Service] = s
				if s.Changed {
					logSpillover(g.logger, s)
				}
			}
		}
	}
}

// measureSpillover updates the metrics of a service by what has happened since an earlier report.
func (g *Gateway) measureSpillover(s, before placement.SpilloverStatus) {
	tagged := g.metrics.Tagged(map[string]string{"service": s.Service})
	tagged.Gauge("zone_leaving_price_ms").Update(s.PriceMs)
	tagged.Counter("requests_sent_to_other_zones").Inc(int64(s.Left - before.Left))
	tagged.Counter("requests_sent_within_zone").Inc(int64(s.Stayed - before.Stayed))
	tagged.Counter("spillover_searches_held").Inc(int64(s.Held - before.Held))
}

// logSpillover logs a state with the loads that it follows from.
func logSpillover(l zerolog.Logger, s placement.SpilloverStatus) {
	zones := zerolog.Arr()
	for _, z := range s.Zones {
		e := zerolog.Dict().Str("zone", z.Name).Int("servers", z.Servers).Float64("free", z.Free).Float64("utilization", z.Utilization).Bool("out_of_service", z.OutOfService)
		if z.Heard {
			e.Dur("report_age_ms", z.ReportAge)
		}
		zones.Dict(e)
	}
	l.Info().Str("service", s.Service).Str("state", string(s.State)).Float64("price_ms", s.PriceMs).Float64("home_utilization", s.Utilization).Array("zones", zones).Msg("spillover-changed")
}
