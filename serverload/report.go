package serverload

// This file defines Report, what a router tells the others of its zone of the speeds of servers, and Peers, what those told.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Speed is the lasting slowness of one start of a server as one router measured it.
type Speed struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64   // of the server and its start; see Key
	Percent uint16   // time that work takes against the median of the service
	Weight  uint8    // of the measurement, in statements
}

// Report holds the speeds that a router measured itself, all that differ from 1 enough. A report replaces the one before it.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Router      string   // that measured
	Incarnation uint64   // start of the router; a later start has a higher number
	Sequence    uint64   // number of the report since that start
	Speeds      []Speed
}

// Key returns the key of a start of a server.
func Key(id string, startedMs int64) uint64 {
	return xxhash.Sum64String(id) ^ uint64(startedMs)*0x9e3779b97f4a7c15 // an odd constant, so that starts give different keys
}

// Bounds of reports.
const (
	leastDifference = 0.1 // of a slowness from 1 that is reported
	leastWeight     = 2   // of a measurement that is reported
	maxSpeeds       = 400 // in one report; some 6 kB
	reportMaxAge    = 10 * time.Second
	maxPeers        = 64 // routers whose reports are kept
)

// Speed returns what this router measured of a server, and false if that does not differ enough from the median of the
// service, or is not known well enough, to tell others.
func (s *Server) Speed(now time.Time, service *Service, key uint64) (Speed, bool) {
	logarithm, weight := s.measured(service.Moment(now), service)
	likely := math.Exp(logarithm * weight / (weight + priorLasting))
	if weight < leastWeight || math.Abs(likely-1) <= leastDifference {
		return Speed{}, false
	}
	slowness := max(minLasting, min(maxLasting, math.Exp(logarithm)))
	return Speed{Key: key, Percent: uint16(math.Round(100 * slowness)), Weight: uint8(weight)}, true
}

// Limit removes the speeds of the least weight from a report that is too long for one datagram.
func (r *Report) Limit() {
	if len(r.Speeds) > maxSpeeds {
		slices.SortFunc(r.Speeds, func(a, b Speed) int { return cmp.Compare(b.Weight, a.Weight) })
		r.Speeds = r.Speeds[:maxSpeeds]
	}
}

// peer is the last report of another router.
type peer struct {
	incarnation, sequence uint64
	at                    time.Time // when it came
	speeds                map[uint64]Speed
}

// Peers keeps the last reports of other routers. Its zero value has none. It is not safe for concurrent use.
type Peers struct{ routers map[string]*peer }

// Merge replaces what a router told by its report, unless that is older than the last one, and reports whether it did.
func (p *Peers) Merge(now time.Time, r Report) bool {
	p.expire(now)
	last := p.routers[r.Router]
	if last != nil && (r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Sequence <= last.sequence) {
		return false
	}
	if last == nil && len(p.routers) >= maxPeers || len(r.Speeds) > maxSpeeds {
		return false
	}
	if p.routers == nil {
		p.routers = map[string]*peer{}
	}
	speeds := make(map[uint64]Speed, len(r.Speeds))
	for _, s := range r.Speeds {
		if float64(s.Percent) >= 100*minLasting && float64(s.Percent) <= 100*maxLasting {
			speeds[s.Key] = s
		}
	}
	p.routers[r.Router] = &peer{incarnation: r.Incarnation, sequence: r.Sequence, at: now, speeds: speeds}
	return true
}

// expire drops the speeds of reports that are too old. The numbers of a router are kept as long as there is room, since a
// delayed report may still come.
func (p *Peers) expire(now time.Time) {
	for name, r := range p.routers {
		if now.Sub(r.at) < reportMaxAge {
			continue
		}
		r.speeds = nil
		if len(p.routers) >= maxPeers {
			delete(p.routers, name)
		}
	}
}

// measured returns the sum of the logarithms of a server's slowness as other routers measured it, each times its weight, and
// the sum of the weights.
func (p *Peers) measured(now time.Time, key uint64) (sum, weight float64) {
	for _, r := range p.routers {
		if s, ok := r.speeds[key]; ok && now.Sub(r.at) < reportMaxAge {
			w := min(float64(s.Weight), maxWeight)
			sum += w * math.Log(float64(s.Percent)/100)
			weight += w
		}
	}
	return sum, weight
}
