package gateway

// This file defines suspects, which shares one quarantine among the parts of a router, logs what it decides
// and keeps the store's table of it.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/follow"
	"bulrushtally/ingress"
	"bulrushtally/quarantine"
)

// QuarantineTable is the store's table of the suspects that are held. Operators release one by deleting its row.
const QuarantineTable = "quarantine"

// Timing and bounds of the store's table.
const (
	quarantinePeriod      = 100 * time.Millisecond  // between two looks for rows to write
	quarantinePatience    = 1200 * time.Millisecond // for which a router that saw none of the crashes leaves the row to others, at least
	patienceSpread        = 2 * time.Second         // up to which routers add to that, so that they do not write all at once
	quarantineRetry       = 2 * time.Second         // until a row that was written, but not listed since, is written again
	quarantineLongPoll    = 5 * time.Second
	quarantineCallTimeout = 700 * time.Millisecond
	maxTriedRows          = 1024 // rows whose last write is remembered, all forgotten when there are more
)

// rowWriter writes rows of the store.
type rowWriter interface {
	Put(table, key string, value []byte, timeout time.Duration) error
	Remove(table, key string, timeout time.Duration) error
}

// suspects is a quarantine that is safe for concurrent use, and the store's table of it.
type suspects struct {
	logger  zerolog.Logger
	vm      string
	store   rowWriter
	held    tally.Gauge   // suspects that are held
	crashes tally.Counter // requests that broke off before an answer to them had begun
	done    chan struct{}

	mu         sync.Mutex
	quarantine *quarantine.Quarantine

	patience time.Duration                    // quarantinePatience and a random part of patienceSpread
	triedAt  map[quarantine.Suspect]time.Time // last write of a row; used by run alone
}

var (
	_ ingress.Quarantine = (*suspects)(nil)
	_ follow.Table       = (*suspects)(nil)
)

func newSuspects(vm string, store rowWriter, metrics tally.Scope, logger zerolog.Logger) *suspects {
	return &suspects{
		logger: logger, vm: vm, store: store, held: metrics.Gauge("quarantined"), crashes: metrics.Counter("crashes_seen"), done: make(chan struct{}),
		quarantine: quarantine.New(), patience: quarantinePatience + rand.N(patienceSpread), triedAt: map[quarantine.Suspect]time.Time{},
	}
}

// Done returns a channel that is closed when run has returned.
func (s *suspects) Done() <-chan struct{} { return s.done }

// update calls change with the quarantine and logs the changes that it returns, with what has led to them.
func (s *suspects) update(from string, change func(*quarantine.Quarantine) []quarantine.Change) {
	s.mu.Lock()
	changes := change(s.quarantine)
	count := s.quarantine.Count()
	s.mu.Unlock()
	for _, c := range changes {
		message := "quarantine-ended"
		if c.Held {
			message = "quarantined"
		}
		s.logger.Warn().Stringer("suspect", c.Suspect).Str("from", from).Int("crashes", c.Crashes).Bool("in_store", c.Listed).Bool("suspended", c.Suspended).
			Dur("held_for_ms", time.Since(c.Since)).Msg(message)
	}
	if len(changes) > 0 {
		s.held.Update(float64(count))
	}
}

// Held returns why a request must not run, or nil if it may.
func (s *suspects) Held(r quarantine.Identity) *quarantine.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.quarantine.Held(r)
	if h == nil {
		return nil
	}
	held := *h
	return &held
}

// Accused reports whether the request may be the cause of another crash than c.
func (s *suspects) Accused(r quarantine.Identity, c quarantine.Crash) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Accused(r, c)
}

// RecordCrash records that a backend server broke off that had a request for a time, before an answer to it had
// begun without harm.
func (s *suspects) RecordCrash(now time.Time, c quarantine.Crash, had time.Duration, r quarantine.Identity) {
	s.crashes.Inc(1)
	s.update("own", func(q *quarantine.Quarantine) []quarantine.Change { return q.RecordCrash(now, c, had, r) })
}

// RecordBegun records that an answer to a request began, and the server was up afterwards.
func (s *suspects) RecordBegun(now time.Time, r quarantine.Identity) {
	if len(r.Parts) > 0 {
		s.update("own", func(q *quarantine.Quarantine) []quarantine.Change { return q.RecordBegun(now, r) })
	}
}

// RecordCompleted records that a request ran to its end.
func (s *suspects) RecordCompleted(now time.Time, r quarantine.Identity) {
	s.update("own", func(q *quarantine.Quarantine) []quarantine.Change { return q.RecordCompleted(now, r) })
}

// reports returns what this router tells the others, or what its zone tells other zones.
func (s *suspects) reports(now time.Time, zone bool) []quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if zone {
		return s.quarantine.ZoneReports(now)
	}
	return s.quarantine.OwnReports(now)
}

// merge records what another router or zone reports.
func (s *suspects) merge(now time.Time, reports []quarantine.Report, sameZone bool) {
	s.update("routers", func(q *quarantine.Quarantine) []quarantine.Change { return q.Merge(now, reports, sameZone) })
}

// quarantineRow is the value of a row of QuarantineTable.
type quarantineRow struct {
	VM      string `json:"vm"` // that wrote the row
	Crashes int    `json:"crashes"`
	SinceMs int64  `json:"since_ms"` // Unix milliseconds

	// A router found that the suspect is not the cause. Such a row lists nothing. The router does not delete it
	// instead, since that is how operators release a suspect; see quarantine.Quarantine.Release.
	NotTheCause bool `json:"not_the_cause,omitempty"`
}

// Reset replaces the suspects that the store's table lists.
func (s *suspects) Reset(rows []follow.Row) {
	listed := keys(rows)
	s.update("store", func(q *quarantine.Quarantine) (changes []quarantine.Change) {
		for _, suspect := range q.Listed() {
			if !listed[suspect.String()] {
				changes = append(changes, q.Release(time.Now(), suspect)...)
			}
		}
		return changes
	})
	s.Apply(rows)
}

// Restore takes the rows that the store has after it came back from a copy.
func (s *suspects) Restore(rows []follow.Row) {
	now, listed := time.Now(), map[quarantine.Suspect]time.Duration{}
	for _, r := range rows {
		suspect, err := quarantine.ParseSuspect(r.Key)
		if row := decodeRow(now, r); err == nil && !row.NotTheCause {
			listed[suspect] = now.Sub(time.UnixMilli(row.SinceMs))
		}
	}
	s.update("store", func(q *quarantine.Quarantine) []quarantine.Change { return q.Restored(now, listed) })
}

// Apply applies changed rows of the store's table. One that names no suspect is ignored.
func (s *suspects) Apply(rows []follow.Row) {
	for _, r := range rows {
		suspect, err := quarantine.ParseSuspect(r.Key)
		if err != nil {
			s.logger.Warn().Err(err).Uint64("row_version", r.Version).Msg("quarantine-row-refused")
			continue
		}
		s.update("store", func(q *quarantine.Quarantine) []quarantine.Change { return applyRow(q, time.Now(), suspect, r) })
	}
}

// applyRow applies the row of a suspect.
func applyRow(q *quarantine.Quarantine, now time.Time, suspect quarantine.Suspect, r follow.Row) []quarantine.Change {
	if r.Deleted {
		return q.Release(now, suspect)
	}
	row := decodeRow(now, r)
	if row.NotTheCause {
		return q.Unlist(now, suspect)
	}
	return q.List(now, suspect, now.Sub(time.UnixMilli(row.SinceMs)))
}

// decodeRow decodes the value of a row. One that was written by hand lists its suspect from now on: the key is what counts.
func decodeRow(now time.Time, r follow.Row) (row quarantineRow) {
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return quarantineRow{SinceMs: now.UnixMilli()}
	}
	return row
}

// Confirm does nothing: a suspect is held until its row is seen to be gone.
func (s *suspects) Confirm(follow.Confirmation) {}

// run keeps the store's table until the context ends.
func (s *suspects) run(ctx context.Context) error {
	defer close(s.done)
	t := time.NewTicker(quarantinePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			s.update("age", func(q *quarantine.Quarantine) []quarantine.Change { return q.Tick(now) })
			s.writeRows(now)
		}
	}
}

// writeRows writes the rows of suspects that are held, marks those of suspects that are not the cause, and deletes
// those that have lapsed, each at most once within quarantineRetry.
func (s *suspects) writeRows(now time.Time) {
	s.mu.Lock()
	unwritten, outdated, lapsed := s.quarantine.Unwritten(now, s.patience), s.quarantine.Outdated(now), s.quarantine.Lapsed(now)
	s.mu.Unlock()
	for _, h := range unwritten {
		s.writeRow(now, h.Suspect, quarantineRow{VM: s.vm, Crashes: h.Crashes, SinceMs: time.Now().UnixMilli()})
	}
	for _, suspect := range outdated {
		s.writeRow(now, suspect, quarantineRow{VM: s.vm, SinceMs: time.Now().UnixMilli(), NotTheCause: true})
	}
	for _, suspect := range lapsed {
		if s.mayTry(now, suspect) {
			err := s.store.Remove(QuarantineTable, suspect.String(), quarantineCallTimeout)
			s.logger.Warn().Err(err).Stringer("suspect", suspect).Msg("quarantine-row-deleted")
		}
	}
}

// writeRow writes the row of a suspect.
func (s *suspects) writeRow(now time.Time, suspect quarantine.Suspect, row quarantineRow) {
	if !s.mayTry(now, suspect) {
		return
	}
	value, err := json.Marshal(row)
	if err == nil {
		err = s.store.Put(QuarantineTable, suspect.String(), value, quarantineCallTimeout)
	}
	s.logger.Warn().Err(err).Stringer("suspect", suspect).Int("crashes", row.Crashes).Bool("not_the_cause", row.NotTheCause).Msg("quarantine-row-written")
}

// mayTry reports whether a suspect's row may be written now, and counts the try.
func (s *suspects) mayTry(now time.Time, suspect quarantine.Suspect) bool {
	if now.Sub(s.triedAt[suspect]) < quarantineRetry {
		return false
	}
	if len(s.triedAt) > maxTriedRows {
		clear(s.triedAt)
	}
	s.triedAt[suspect] = now
	return true
}
