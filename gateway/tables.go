package gateway

// This file defines operatorTable and serverTable, which apply the rows of the platform's
// store: the configuration, zones out of service, and the entries of backend servers.

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/follow"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/route"
)

// operatorTable applies the rows that operators write: the configuration, and the
// availability zones that are out of service.
type operatorTable struct {
	currentConfig *route.CurrentTable
	placer        *placement.Placement
	logger        zerolog.Logger
	outOfService  map[string]bool // by zone

	mu           sync.Mutex
	confirmation confirmation
}

// confirmation states that a configuration version was current at a reading of the store's
// clock.
type confirmation struct {
	version    uint64
	storeClock time.Duration // 0 if unknown
}

var _ follow.Table = (*operatorTable)(nil)

// Reset applies all rows of the table. A zone without a row is in service.
func (o *operatorTable) Reset(rows []follow.Row) {
	listed := map[string]bool{}
	for _, r := range rows {
		if zone, ok := platform.OutOfServiceZone(r.Key); ok {
			listed[zone] = true
		}
	}
	for zone := range o.outOfService {
		if !listed[zone] {
			o.setOutOfService(zone, false, 0)
		}
	}
	o.Apply(rows)
}

// Apply applies changed rows.
func (o *operatorTable) Apply(rows []follow.Row) {
	for _, r := range rows {
		if zone, ok := platform.OutOfServiceZone(r.Key); ok {
			o.setOutOfService(zone, !r.Deleted, r.Version)
			continue
		}
		if r.Key == platform.ConfigKey && !r.Deleted {
			o.adopt(r)
		}
	}
}

// adopt puts the configuration of a row in force, unless it is invalid or older than the
// one in force.
func (o *operatorTable) adopt(r follow.Row) {
	t, err := platform.DecodeConfig(r.Value)
	if err != nil {
		o.logger.Error().Err(err).Uint64("row_version", r.Version).Msg("configuration-refused")
		return
	}
	if !o.currentConfig.Adopt(t) {
		return
	}
	o.placer.Configure(t)
	o.logger.Info().Uint64("version", t.Version()).Uint64("row_version", r.Version).
		Float64("tokens_per_second", t.Limits().CostPerSecond).Msg("configuration-adopted")
}

// setOutOfService takes a zone out of service or puts it back in service. The row
// version is that of the zone's row, or 0 if there is no row.
func (o *operatorTable) setOutOfService(zone string, out bool, rowVersion uint64) {
	if o.outOfService[zone] == out {
		return
	}
	if out {
		o.outOfService[zone] = true
	} else {
		delete(o.outOfService, zone)
	}
	o.placer.SetZoneOutOfService(time.Now(), zone, out)
	o.logger.Info().Str("zone", zone).Bool("out_of_service", out).Uint64("row_version", rowVersion).Msg("zone-service-changed")
}

// Confirm records that the configuration in force was current at a reading of this
// router's clock and of the store's clock, which is 0 if unknown.
func (o *operatorTable) Confirm(at, storeClock time.Duration) {
	t := o.currentConfig.Table()
	if t == nil {
		return
	}
	o.currentConfig.ConfirmVersion(t.Version(), at)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmation = confirmation{t.Version(), storeClock}
}

// lastConfirmation returns the last confirmation that this router received from the store.
func (o *operatorTable) lastConfirmation() confirmation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmation
}

// relistTimeout is how long a backend server is kept after its entry was found to be missing
// because of a store failure. A live backend server is listed again within that time.
const relistTimeout = 1800 * time.Millisecond

// serverTable applies the entries of backend servers.
type serverTable struct {
	placer      *placement.Placement
	storeFailed func() bool // reports whether a recent store failure may be why entries are missing
	logger      zerolog.Logger

	mu        sync.Mutex
	loaded    bool                 // the table was read once
	keptUntil map[string]time.Time // by ID of a backend server whose entry is missing: when it is removed unless it is listed again
}

var _ follow.Table = (*serverTable)(nil)

// Reset applies all entries of the table. A backend server without an entry is missing.
func (s *serverTable) Reset(rows []follow.Row) {
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
	}
	for _, id := range s.placer.ServerIDs() {
		if !listed[id] {
			s.handleMissing(id, 0)
		}
	}
	s.Apply(rows)
	s.mu.Lock()
	s.loaded = true
	s.mu.Unlock()
}

// Apply applies changed entries. An entry that cannot be used counts as missing.
func (s *serverTable) Apply(rows []follow.Row) {
	for _, r := range rows {
		if r.Deleted {
			s.handleMissing(r.Key, r.Version)
			continue
		}
		e, err := platform.DecodeServerEntry(r.Key, r.Value)
		if err != nil {
			s.logger.Warn().Err(err).Uint64("row_version", r.Version).Msg("server-entry-refused")
			s.handleMissing(r.Key, r.Version)
			continue
		}
		s.mu.Lock()
		delete(s.keptUntil, r.Key)
		s.mu.Unlock()
		s.placer.SetServer(time.Now(), e)
		s.logger.Info().Str("server", e.ID).Str("address", e.Address).Str("zone", e.Zone).Bool("draining", e.Draining).
			Dur("cold_remaining_ms", e.ColdFor).Int64("started_unix_ms", e.StartedMs).Uint64("row_version", r.Version).Msg("server-listed")
	}
}

// Confirm does nothing: the age of the entries is not checked.
func (s *serverTable) Confirm(_, _ time.Duration) {}

// handleMissing removes a backend server whose entry is missing. If a recent store failure
// may be the reason, it keeps the backend server for relistTimeout.
func (s *serverTable) handleMissing(id string, rowVersion uint64) {
	if s.storeFailed() {
		s.mu.Lock()
		if _, ok := s.keptUntil[id]; !ok {
			s.keptUntil[id] = time.Now().Add(relistTimeout)
		}
		s.mu.Unlock()
		s.logger.Info().Str("server", id).Uint64("row_version", rowVersion).Msg("server-entry-lapsed")
		return
	}
	s.placer.RemoveServer(id)
	s.logger.Info().Str("server", id).Uint64("row_version", rowVersion).Msg("server-unlisted")
}

// expire removes the backend servers that were not listed again within relistTimeout.
func (s *serverTable) expire(now time.Time) {
	s.mu.Lock()
	var expired []string
	for id, deadline := range s.keptUntil {
		if now.After(deadline) {
			expired = append(expired, id)
			delete(s.keptUntil, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.placer.RemoveServer(id)
		s.logger.Info().Str("server", id).Msg("server-unlisted")
	}
}

// ready reports whether the entries were read since the start.
func (s *serverTable) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}
