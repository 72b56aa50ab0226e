package follow

// This file defines how a Follower catches up with others that have newer rows.

import (
	"errors"
	"time"
)

// catchUpDelay is how long another follower may be ahead before this one assumes that its call
// in progress does not return changes.
const catchUpDelay = 250 * time.Millisecond

// CatchUpTo records the position of the newest row that another follower has. If this follower
// stays behind, it reads the changes with a second call beside the one in progress; a passive
// follower polls once. In an era that is new to this follower, it reads the whole table.
func (f *Follower) CatchUpTo(p Position) {
	f.mu.Lock()
	now := f.options.Clock()
	if f.peerNewest.Before(p) {
		f.peerNewest = p
	}
	newEra := f.position.Era < f.peerNewest.Era
	switch {
	case !f.position.Before(f.peerNewest):
		f.behindSince = 0
	case f.behindSince == 0:
		f.behindSince = now
	}
	behind := f.behindSince != 0 && now-f.behindSince > catchUpDelay+f.options.PollDelay()
	passive := f.options.Passive != nil && f.options.Passive()
	f.pollNow = f.pollNow || behind && passive
	f.mu.Unlock()
	if newEra {
		f.awaitRead()
	}
	if behind && passive {
		select {
		case f.wake <- struct{}{}:
		default: // a wake-up is pending
		}
		return
	}
	if !behind || f.catchingUp.Swap(true) {
		return
	}
	go f.catchUp()
}

// catchUp reads what is missing with a call that the store does not hold.
func (f *Follower) catchUp() {
	defer f.catchingUp.Store(false)
	began := f.options.Clock()
	f.mu.Lock()
	loaded, due := f.loaded, began >= f.readAfter
	f.mu.Unlock()
	var err error
	switch {
	case loaded:
		_, err = f.readChanges(began, 0, 0)
	case due:
		err = f.readTable(began)
	}
	switch {
	case errors.Is(err, errNewEra):
		f.awaitRead()
	case errors.Is(err, ErrHistoryDropped):
		f.invalidate()
	}
	if err != nil {
		f.options.Logger.Debug().Err(err).Str("table", f.options.Name).Msg("catch-up-failed")
		time.Sleep(maxRetryDelay)
	}
}
