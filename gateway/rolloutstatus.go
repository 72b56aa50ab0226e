package gateway

// This file defines how a router reads and writes the rows in which the fleet states how far roll-outs are.

import (
	"context"
	"time"

	"bulrushtally/follow"
	"bulrushtally/platform"
	"bulrushtally/rollout"
)

// Timing of the rows.
const (
	statusPeriod      = 100 * time.Millisecond // between two looks for rows to write
	statusRankDelay   = 150 * time.Millisecond // for each router before this one by name, which writes first
	maxStatusDelay    = 4 * time.Second
	statusRetry       = 400 * time.Millisecond // until a write that failed is tried again
	retryRankDelay    = 20 * time.Millisecond  // added for each router before this one, since all try while the store fails
	statusCallTimeout = 700 * time.Millisecond
	statusLongPoll    = 4 * time.Second
)

// statusStore reads and writes rows of the platform's store.
type statusStore interface {
	RowsBetween(table, from, to string, timeout time.Duration) (follow.Batch, error)
	Swap(table, key string, value []byte, version uint64, timeout time.Duration) (swapped bool, err error)
}

// statusRow is the stored state of a service's roll-out.
type statusRow struct {
	platform.RolloutStatus
	version uint64 // of the row
	invalid bool   // the row cannot be read, and may be overwritten
}

// isOf reports whether the state is of an order. An order keeps its number when the store comes back in another era.
func (s *statusRow) isOf(o rollout.Order) bool {
	return !s.invalid && s.Order == o.Number && s.To == o.To
}

// isNewerThan reports whether the state is of a newer order.
func (s *statusRow) isNewerThan(o rollout.Order) bool {
	return !s.invalid && (s.Era > o.Era || s.Era == o.Era && s.Order > o.Number)
}

// statusTable is the store's table of the states of roll-outs.
type statusTable struct{ *rollouts }

var _ follow.Table = statusTable{}

// Reset replaces the states. A state that is gone has to be written again.
func (t statusTable) Reset(rows []follow.Row) {
	t.mu.Lock()
	gone := make([]string, 0, len(t.status))
	for service := range t.status {
		gone = append(gone, service)
	}
	clear(t.status)
	t.statusRead = true
	now := time.Now()
	for _, service := range gone {
		t.applyStatus(now, service)
	}
	t.mu.Unlock()
	t.Apply(rows)
}

// Restore replaces the states by those of the copy from which the store came back. Verdicts are final, so those that this
// router knows are written again.
func (t statusTable) Restore(rows []follow.Row) { t.Reset(rows) }

// Apply applies changed rows.
func (t statusTable) Apply(rows []follow.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, row := range rows {
		if service, ok := platform.RolloutService(row.Key); ok {
			t.setStatus(now, service, row)
		}
	}
}

// Confirm records that the table was read.
func (t statusTable) Confirm(follow.Confirmation) {}

// setStatus records a row of the table; r.mu is held.
func (r *rollouts) setStatus(now time.Time, service string, row follow.Row) {
	delete(r.statusAsked, service)
	if row.Deleted {
		delete(r.status, service)
		r.applyStatus(now, service)
		return
	}
	decoded, err := platform.DecodeRolloutStatus(service, row.Value)
	if err != nil {
		r.Logger.Error().Err(err).Uint64("row_version", row.Version).Msg("rollout-status-refused")
	}
	r.status[service] = statusRow{decoded, row.Version, err != nil}
	r.applyStatus(now, service)
}

// applyStatus tells the decisions what the store states of a service's order; r.mu is held.
func (r *rollouts) applyStatus(now time.Time, service string) {
	p, ok := r.core.Progress(now, service)
	if !ok {
		return
	}
	stored := rollout.Status{Order: p.Order.Number, Era: p.Order.Era, To: p.Order.To, State: rollout.Serving}
	if row, ok := r.status[service]; ok && row.isOf(p.Order) {
		stored.State = row.State
	}
	r.core.SetStatus(now, stored, service)
}

// writeStates writes the rows that are due until the context ends.
func (r *rollouts) writeStates(ctx context.Context) error {
	t := time.NewTicker(statusPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			for service := range r.services() {
				r.readAsked(service)
				if row, version, due := r.dueRow(now, service); due {
					r.writeRow(service, row, version)
				}
			}
		}
	}
}

// dueRow returns the row that this router has to write now, and the version of the row that it replaces.
func (r *rollouts) dueRow(now time.Time, service string) (row platform.RolloutStatus, version uint64, due bool) {
	p, ok := r.core.Progress(now, service)
	if !ok {
		return row, 0, false
	}
	state, reason, due := r.core.Verdict(now, service)
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, exists := r.status[service]
	switch {
	case exists && stored.isNewerThan(p.Order), !r.statusRead:
		due = false
	case due && state == rollout.Complete && p.State == rollout.Serving && r.servers[service] == 0:
		due = false // the old servers are all that is left
	case !due && !(exists && stored.isOf(p.Order)):
		due, state = true, rollout.Serving // tells routers that start when the order began
	}
	if !due || exists && stored.isOf(p.Order) && stored.State != rollout.Serving {
		delete(r.dueSince, service)
		return row, 0, false
	}
	since, waits := r.dueSince[service]
	if !waits {
		since = now
		r.dueSince[service] = now
	}
	delay := min(maxStatusDelay, time.Duration(r.rank)*statusRankDelay)
	if now.Sub(since) < delay || now.Sub(r.triedAt[service]) < statusRetry+min(maxStatusDelay, time.Duration(r.rank)*retryRankDelay) {
		return row, 0, false
	}
	r.triedAt[service] = now
	row = platform.RolloutStatus{
		Status: rollout.Status{Order: p.Order.Number, Era: p.Order.Era, To: p.Order.To, State: state}, BeganAt: r.storeTime(now, p.Order.Began),
		Router: r.VM, Reason: reason.String(), Requests: p.Requests, Sent: p.FleetCounts.Sent, Bad: p.FleetCounts.Bad,
	}
	return row, stored.version, true
}

// writeRow writes a row, unless another router has written it since. What the store holds then is read again.
func (r *rollouts) writeRow(service string, row platform.RolloutStatus, version uint64) {
	value, err := platform.EncodeRolloutStatus(row)
	swapped := false
	if err == nil {
		swapped, err = r.Store.Swap(platform.StatusTable, platform.RolloutKey(service), value, version, statusCallTimeout)
	}
	r.Logger.Info().Err(err).Str("service", service).Str("to", row.To).Uint64("order", row.Order).Uint64("era", row.Era).Bool("swapped", swapped).
		Uint64("replaced_version", version).RawJSON("row", value).Msg("rollout-state-written")
	r.mu.Lock()
	r.statusAsked[service] = true
	r.mu.Unlock()
}

// readAsked reads the row of a service after a write, whose outcome may be unknown or which came second.
func (r *rollouts) readAsked(service string) {
	r.mu.Lock()
	asked := r.statusAsked[service]
	r.mu.Unlock()
	if !asked {
		return
	}
	key := platform.RolloutKey(service)
	batch, err := r.Store.RowsBetween(platform.StatusTable, key, key+"\x00", statusCallTimeout)
	if err != nil {
		r.Logger.Warn().Err(err).Str("service", service).Msg("rollout-state-not-read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, row := range batch.Rows {
		if known := r.status[service]; row.Version >= known.version {
			r.setStatus(now, service, row)
		}
	}
	delete(r.statusAsked, service)
}
