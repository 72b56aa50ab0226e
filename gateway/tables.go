package gateway

// This file defines what the router takes in from the tables of the platform's store.

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/follow"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/route"
)

// operatorTable takes in the configuration and the zones that are out of service.
type operatorTable struct {
	view   *route.View
	place  *placement.Placement
	logger zerolog.Logger
	out    map[string]bool // zones

	mu    sync.Mutex
	proof proof
}

// proof says that a version of the configuration was the newest at a reading of the store's clock.
type proof struct {
	version uint64
	store   time.Duration
}

var _ follow.Table = (*operatorTable)(nil)

// Reset takes in all rows; a zone that is not among them is in service.
func (o *operatorTable) Reset(rows []follow.Row) {
	there := map[string]bool{}
	for _, r := range rows {
		if zone, ok := platform.Evacuation(r.Key); ok {
			there[zone] = true
		}
	}
	for zone := range o.out {
		if !there[zone] {
			o.evacuate(zone, false, 0)
		}
	}
	o.Change(rows)
}

// Change takes in rows that changed.
func (o *operatorTable) Change(rows []follow.Row) {
	for _, r := range rows {
		if zone, ok := platform.Evacuation(r.Key); ok {
			o.evacuate(zone, !r.Gone, r.Version)
			continue
		}
		if r.Key == platform.ConfigKey && !r.Gone {
			o.adopt(r)
		}
	}
}

func (o *operatorTable) adopt(r follow.Row) {
	t, err := platform.Table(r.Value)
	if err != nil {
		o.logger.Error().Err(err).Uint64("row_version", r.Version).Msg("configuration-refused")
		return
	}
	if !o.view.Adopt(t) {
		return
	}
	o.place.Configure(t)
	o.logger.Info().Uint64("version", t.Version()).Uint64("row_version", r.Version).
		Float64("tokens_per_second", t.Limits().TokensPerSec).Msg("configuration-adopted")
}

func (o *operatorTable) evacuate(zone string, out bool, version uint64) {
	if o.out[zone] == out {
		return
	}
	if out {
		o.out[zone] = true
	} else {
		delete(o.out, zone)
	}
	o.place.Evacuate(time.Now(), zone, out)
	o.logger.Info().Str("zone", zone).Bool("out_of_service", out).Uint64("row_version", version).Msg("zone-changed")
}

// Proven takes in that the configuration was the newest at a reading of the clock.
func (o *operatorTable) Proven(at, store time.Duration) {
	t := o.view.Table()
	if t == nil {
		return
	}
	o.view.Prove(t.Version(), at)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proof = proof{t.Version(), store}
}

// lastProof returns the last proof that the store itself gave.
func (o *operatorTable) lastProof() proof {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.proof
}

// relistTime is how long a backend server whose entry lapsed with the store is
// kept after the store's return: by then it is listed again if it is alive.
const relistTime = 1800 * time.Millisecond

// serverTable takes in the entries of backend servers.
type serverTable struct {
	place   *placement.Placement
	trouble func() bool // the store was in trouble lately
	logger  zerolog.Logger

	mu      sync.Mutex
	known   bool
	missing map[string]time.Time // by id: when an entry that lapsed is taken as gone
}

var _ follow.Table = (*serverTable)(nil)

// Reset takes in all entries; those that are not among them have left.
func (s *serverTable) Reset(rows []follow.Row) {
	there := map[string]bool{}
	for _, r := range rows {
		there[r.Key] = true
	}
	for _, id := range s.place.Listed() {
		if !there[id] {
			s.remove(id, 0)
		}
	}
	s.Change(rows)
	s.mu.Lock()
	s.known = true
	s.mu.Unlock()
}

// Change takes in entries that changed.
func (s *serverTable) Change(rows []follow.Row) {
	for _, r := range rows {
		if r.Gone {
			s.remove(r.Key, r.Version)
			continue
		}
		e, err := platform.Entry(r.Key, r.Value)
		if err != nil {
			s.logger.Warn().Err(err).Uint64("row_version", r.Version).Msg("server-entry-refused")
			s.remove(r.Key, r.Version)
			continue
		}
		s.mu.Lock()
		delete(s.missing, r.Key)
		s.mu.Unlock()
		s.place.List(time.Now(), e)
		s.logger.Info().Str("server", e.ID).Str("address", e.Address).Str("zone", e.Zone).Bool("draining", e.Draining).
			Dur("cold_ms", e.Cold).Int64("born_ms", e.Born).Uint64("row_version", r.Version).Msg("server-listed")
	}
}

// Proven takes in that the entries were as known; nothing follows from it.
func (s *serverTable) Proven(_, _ time.Duration) {}

func (s *serverTable) remove(id string, version uint64) {
	if s.trouble() {
		s.mu.Lock()
		if _, ok := s.missing[id]; !ok {
			s.missing[id] = time.Now().Add(relistTime)
		}
		s.mu.Unlock()
		s.logger.Info().Str("server", id).Uint64("row_version", version).Msg("server-lapsed")
		return
	}
	s.place.Unlist(id)
	s.logger.Info().Str("server", id).Uint64("row_version", version).Msg("server-gone")
}

// expire drops backend servers whose entries lapsed and did not come back.
func (s *serverTable) expire(now time.Time) {
	s.mu.Lock()
	var gone []string
	for id, at := range s.missing {
		if now.After(at) {
			gone = append(gone, id)
			delete(s.missing, id)
		}
	}
	s.mu.Unlock()
	for _, id := range gone {
		s.place.Unlist(id)
		s.logger.Info().Str("server", id).Msg("server-gone")
	}
}

func (s *serverTable) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}
