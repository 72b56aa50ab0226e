package follow

// This file defines how a Follower reads its table, and when an answer of the store may be applied.

import "time"

// poll makes one call of the store and applies the answer. It reports whether it read the whole table, and otherwise
// whether the answer held changes.
func (f *Follower) poll() (read, changed bool, err error) {
	o := &f.options
	began := o.Clock()
	f.mu.Lock()
	loaded := f.loaded
	f.lastRead, f.pollNow = began, false
	f.mu.Unlock()
	if !loaded {
		if err := f.readTable(began); err != nil {
			return true, false, err
		}
		f.recordSuccess()
		return true, false, nil
	}
	wait, delay := o.PollWait(), maxChangeDelay
	if f.failing || o.Passive != nil && o.Passive() {
		wait, delay = 0, 0 // an immediate answer shows whether the store has recovered, or what has changed
	}
	changed, err = f.readChanges(began, wait, delay)
	if err != nil {
		return false, false, err
	}
	f.recordSuccess()
	f.mu.Lock()
	f.lastAnswer = began
	f.mu.Unlock()
	if o.OnChange != nil && (changed || f.FallsBack()) {
		o.OnChange()
	}
	return false, changed, nil
}

// readTable reads the whole table.
func (f *Follower) readTable(began time.Duration) error {
	b, err := f.options.Source.Rows(f.options.Name, f.options.Timeout)
	if err != nil {
		return err
	}
	ok, newEra := f.reset(b)
	if !ok {
		return errStaleAnswer
	}
	f.confirm(began, b, 0)
	if newEra {
		f.event().Msg("store-restored")
		if f.options.OnRestore != nil {
			f.options.OnRestore()
		}
	}
	return nil
}

// readChanges makes a call for changes, which the store may hold for wait and with it a change for delay, and reports
// whether there were any.
func (f *Follower) readChanges(began, wait, delay time.Duration) (changed bool, err error) {
	after := f.Position()
	b, err := f.options.Source.Changes(f.options.Name, after.Version, wait, f.options.Timeout)
	switch {
	case err != nil:
		return false, err
	case b.Era > after.Era:
		return false, errNewEra
	case b.Era < after.Era:
		return false, errStaleAnswer
	}
	if f.apply(after, b) {
		f.confirm(began, b, delay)
	}
	if wait == 0 {
		f.answered()
	}
	return len(b.Rows) > 0, nil
}

// answered records an answer that the store did not hold: what others have beyond it is asked for again after
// catchUpDelay only.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = 0
}

// maxStaleTime is how long the store's reads may be behind. Later, the version has gone back for good, whatever the reason.
const maxStaleTime = 15 * time.Second

// reset replaces the content of the table with the answer b, unless that is older. It reports whether it did, and whether
// the store has begun a new era since.
func (f *Follower) reset(b Batch) (ok, newEra bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, now := f.position, f.options.Clock()
	if !b.Position.Before(known) {
		f.staleSince = 0
	} else if f.staleSince == 0 {
		f.staleSince = now
	}
	if f.staleSince != 0 {
		if now-f.staleSince < maxStaleTime {
			return false, false
		}
		f.staleSince, f.peerNewest = 0, b.Position
	}
	sameEra := b.Era == known.Era
	switch {
	case known == (Position{}) || sameEra:
		f.options.Table.Reset(b.Rows)
	default:
		newEra = true
		f.hasOffset = false
		f.lastFailure.Store(int64(now))
		f.options.Table.Restore(b.Rows)
	}
	f.position, f.readAt, f.loaded, f.recent = b.Position, b.Position.Version, true, nil
	f.drawFallback()
	if !sameEra {
		f.newestRow = Position{Era: b.Era}
	}
	f.recordNewest(b.Rows)
	if sameEra && known.Version > 0 {
		f.newestRow = b.Position // rows may have been removed since the known version
	}
	return true, newEra
}

// invalidate makes the next call read the whole table.
func (f *Follower) invalidate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
}

// awaitRead makes the next call read the whole table, once the read delay has passed.
func (f *Follower) awaitRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return // the delay has begun before
	}
	f.loaded = false
	if f.options.ReadDelay != nil {
		f.readAfter = f.options.Clock() + f.options.ReadDelay()
	}
}

// apply applies all changes after a position to the table, except those that it has already, and reports whether the
// table then is as the answer b says. It applies none if they are of another era, or if the table lacks changes before
// them, as it may when it was read anew while the call was on its way.
func (f *Follower) apply(after Position, b Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.position
	if b.Era != known.Era || known.Before(after) {
		return false
	}
	fresh := b.Rows[:0:0]
	for _, r := range b.Rows {
		if r.Version > known.Version {
			fresh = append(fresh, r)
		}
	}
	unchangedSince := f.unchangedSince()
	f.options.Table.Apply(fresh)
	f.recordNewest(fresh)
	if known.Before(b.Position) {
		f.position = b.Position
	}
	f.keepRecent(unchangedSince, fresh)
	return !b.Position.Before(known)
}
