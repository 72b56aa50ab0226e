package gateway

// This file defines serverTable, which applies the entries of backend servers in the platform's store.

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/follow"
	"bulrushtally/placement"
	"bulrushtally/platform"
)

// relistTimeout is how long a backend server is kept after its entry was found to be missing
// because of a store failure. A live backend server is listed again within that time.
const relistTimeout = 1800 * time.Millisecond

// serverTable applies the entries of backend servers.
type serverTable struct {
	placer      *placement.Placement
	storeFailed func() bool // reports whether a recent store failure may be why entries are missing
	logger      zerolog.Logger

	mu       sync.Mutex
	loaded   bool             // the table was read once
	started  map[string]int64 // by ID of a listed backend server: its start in Unix milliseconds, 0 if unknown
	departed map[string]departure
	kept     deadlines             // by ID of a backend server whose entry is missing: when it is removed unless it is listed again
	copied   map[string]follow.Row // by ID: the entry of a copy that the store came back from, if that seems older than what is known
	doubts   deadlines             // when that entry counts, by ID
}

// departure is a backend server that was removed from the list.
type departure struct {
	startedMs int64
	at        time.Time
}

// departureMemory is how long it is known that a backend server was removed. A copy of the store is some seconds old.
const departureMemory = time.Minute

var _ follow.Table = (*serverTable)(nil)

func newServerTable(p *placement.Placement, storeFailed func() bool, logger zerolog.Logger) *serverTable {
	return &serverTable{
		placer: p, storeFailed: storeFailed, logger: logger, started: map[string]int64{}, departed: map[string]departure{},
		kept: deadlines{}, copied: map[string]follow.Row{}, doubts: deadlines{},
	}
}

// Reset applies all entries of the table. A backend server without an entry is missing.
func (s *serverTable) Reset(rows []follow.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.doubts)
	listed := keys(rows)
	for id := range s.started {
		if !listed[id] {
			s.handleMissing(id, 0)
		}
	}
	s.apply(rows)
	s.loaded = true
}

// keys returns the keys of rows.
func keys(rows []follow.Row) map[string]bool {
	set := make(map[string]bool, len(rows))
	for _, r := range rows {
		set[r.Key] = true
	}
	return set
}

// Restore keeps the backend servers whose entries were lost for relistTimeout, as after a failure of the store, and leaves out
// those that were removed since the copy was made, or had started anew, until they write their entries again
// or doubtTime has passed.
func (s *serverTable) Restore(rows []follow.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.doubts)
	clear(s.copied)
	now, listed := time.Now(), keys(rows)
	for id := range s.started {
		if !listed[id] {
			s.keep(now, id, 0)
		}
	}
	var credible []follow.Row
	for _, r := range rows {
		if !s.outdated(now, r) {
			credible = append(credible, r)
			continue
		}
		s.copied[r.Key] = r
		s.doubts.begin(r.Key, now.Add(doubtTime))
		s.logger.Info().Str("server", r.Key).Uint64("row_version", r.Version).Msg("server-entry-doubted")
	}
	s.apply(credible)
}

// outdated reports whether a row seems to be of before a backend server was removed or started anew.
func (s *serverTable) outdated(now time.Time, r follow.Row) bool {
	e, err := platform.DecodeServerEntry(r.Key, r.Value)
	if err != nil {
		return false
	}
	if started, ok := s.started[r.Key]; ok {
		return e.StartedMs < started
	}
	d, ok := s.departed[r.Key]
	return ok && e.StartedMs <= d.startedMs && now.Sub(d.at) < departureMemory
}

// Apply applies changed entries.
func (s *serverTable) Apply(rows []follow.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rows)
}

// apply applies changed entries. One that cannot be used names no server. If its key is that of a server that serves,
// something else wrote there, and the server writes its entry again unless it is gone.
func (s *serverTable) apply(rows []follow.Row) {
	for _, r := range rows {
		delete(s.doubts, r.Key)
		if r.Deleted {
			s.handleMissing(r.Key, r.Version)
			continue
		}
		e, err := platform.DecodeServerEntry(r.Key, r.Value)
		if err != nil {
			s.logger.Warn().Err(err).Uint64("row_version", r.Version).Msg("server-entry-refused")
			if _, ok := s.started[r.Key]; ok {
				s.keep(time.Now(), r.Key, r.Version)
			}
			continue
		}
		delete(s.kept, r.Key)
		delete(s.departed, r.Key)
		s.started[e.ID] = e.StartedMs
		s.placer.SetServer(time.Now(), e)
		s.logger.Info().Str("server", e.ID).Str("address", e.Address).Str("zone", e.Zone).Bool("draining", e.Draining).Str("version", e.Version).
			Dur("cold_remaining_ms", e.ColdFor).Int64("started_unix_ms", e.StartedMs).Uint64("row_version", r.Version).Msg("server-listed")
	}
}

// Confirm does nothing: the age of the entries is not checked.
func (s *serverTable) Confirm(follow.Confirmation) {}

// handleMissing removes a backend server whose entry is missing. If a recent store failure
// may be the reason, it keeps the backend server for relistTimeout.
func (s *serverTable) handleMissing(id string, rowVersion uint64) {
	now := time.Now()
	if s.storeFailed() {
		s.keep(now, id, rowVersion)
		return
	}
	s.remove(now, id, rowVersion)
}

// keep keeps a backend server whose entry is missing for relistTimeout.
func (s *serverTable) keep(now time.Time, id string, rowVersion uint64) {
	s.kept.begin(id, now.Add(relistTimeout))
	s.logger.Info().Str("server", id).Uint64("row_version", rowVersion).Msg("server-entry-lapsed")
}

// remove removes a backend server.
func (s *serverTable) remove(now time.Time, id string, rowVersion uint64) {
	if started, ok := s.started[id]; ok {
		s.departed[id] = departure{started, now}
		delete(s.started, id)
	}
	delete(s.kept, id)
	s.placer.RemoveServer(id)
	s.logger.Info().Str("server", id).Uint64("row_version", rowVersion).Msg("server-unlisted")
}

// expire removes the backend servers that were not listed again within relistTimeout, and applies entries that were in
// doubt for doubtTime.
func (s *serverTable) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.kept.due(now) {
		s.remove(now, id, 0)
	}
	for _, id := range s.doubts.due(now) {
		s.apply([]follow.Row{s.copied[id]})
		delete(s.copied, id)
	}
	for id, d := range s.departed {
		if now.Sub(d.at) > departureMemory {
			delete(s.departed, id)
		}
	}
}

// ready reports whether the entries were read since the start.
func (s *serverTable) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}
