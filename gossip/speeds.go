package gossip

// This file defines how routers tell the others of their zone which backend servers are slower or faster than their service.

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// speedsPeriod is the least time between two reports of speeds, which last for minutes.
const speedsPeriod = time.Second

// sendSpeeds tells the zone's other routers the speeds that this router measured, if there are any or if there were in the last report.
func (g *Gossip) sendSpeeds(now time.Time) {
	if now.Sub(g.speedsAt) < speedsPeriod {
		return
	}
	g.speedsAt = now
	r := g.handler.SpeedReport()
	if r == nil || len(r.Speeds) == 0 && !g.speedsSent {
		return
	}
	g.speedsSent = len(r.Speeds) > 0
	g.speedsSequence++
	r.Router, r.Sequence = g.self, g.speedsSequence
	data, err := cbor.Marshal(r)
	if err != nil || len(data) > maxDatagramBytes {
		g.logger.Warn().Err(err).Int("bytes", len(data)).Msg("speeds-not-sent")
		return
	}
	g.send(append(data, kindSpeeds), g.zonePeers(now))
}
