package follow

// This file defines from when on an answer of the store confirms the table, by the clocks of the store and of this router.

import "time"

// maxChangeDelay is the longest time between a change and the store's answer to a call that
// it holds for changes; Source must keep it. An answer to such a call therefore confirms the
// table only as of this long before the answer. The time is independent of PollWait, which
// limits how long the store holds the call if nothing changes.
const maxChangeDelay = 1200 * time.Millisecond

// confirmedAt returns the latest reading of this router's clock at which the answer b is known
// to have been current. began is the reading when the call began, and delay is how long the
// store may hold back a change.
//
// The store read the table after began, so the answer was current at began. The store's clock
// can show that it was also current later. Because the store read its clock after began,
// b.StoreTime-began is an upper bound on the offset of the store's clock from this router's.
// clockOffset is the smallest such bound of all calls. It is at least the true offset, so
// b.StoreTime-clockOffset is not later than the store's answer.
func (f *Follower) confirmedAt(began time.Duration, b Batch, delay time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.StoreTime == 0 {
		return began
	}
	if offset := b.StoreTime - began; !f.hasOffset || offset < f.clockOffset {
		f.clockOffset, f.hasOffset = offset, true
	}
	return max(began, b.StoreTime-f.clockOffset-delay)
}

// confirm reports to the table when the answer b to a call that began at began was current.
func (f *Follower) confirm(began time.Duration, b Batch, delay time.Duration) {
	store := time.Duration(0)
	if b.StoreTime > delay {
		store = b.StoreTime - delay
	}
	at := f.confirmedAt(began, b, delay)
	f.setCurrent(at)
	f.options.Table.Confirm(Confirmation{At: at, StoreTime: store, Era: b.Era})
}

// LocalTime converts a reading of the store's clock in an era to one of this router's clock. The result may
// be too early, never too late. LocalTime returns false if no answer of this era has held the store's clock yet.
func (f *Follower) LocalTime(store time.Duration, era uint64) (at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return store - f.clockOffset, f.hasOffset && era == f.position.Era
}
