package follow

// This file defines News, what followers of a table tell each other, so that not each
// of them has to ask the store.

import "time"

// News are the rows of a table that changed between two versions of the store.
type News struct {
	_       struct{} `cbor:",toarray"`
	Table   string
	From    uint64
	To      uint64
	Newest  uint64 // version of the newest row that the teller has
	Rows    []Row
	Trouble time.Duration // since the store last failed the teller, 0 if it did not lately
}

// How followers tell each other of changes.
const (
	newsSpan    = 2 * time.Second         // news hold the changes of this time, so that a lost one is made good by the next
	newsTime    = 1200 * time.Millisecond // without news, after which a resting follower asks the store
	askPause    = time.Second             // between two such calls
	restTime    = 20 * time.Second        // longest time without a call of its own
	restLook    = 200 * time.Millisecond
	troubleTime = 5 * time.Second // for which trouble is told
)

// span is the rows of one answer.
type span struct {
	at   time.Duration
	from uint64
	rows []Row
}

// keep adds an answer's rows to what is told; f.mu is held.
func (f *Follower) keep(from uint64, rows []Row) {
	now := f.options.Clock()
	old := 0
	for old < len(f.spans) && now-f.spans[old].at > newsSpan {
		old++
	}
	f.spans = append(f.spans[:0], f.spans[old:]...)
	if len(rows) > 0 {
		f.spans = append(f.spans, span{now, from, rows})
	}
}

// News returns what this follower tells others now.
func (f *Follower) News() News {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keep(0, nil)
	n := News{Table: f.options.Name, From: f.Version(), To: f.Version(), Newest: f.Newest()}
	for i, s := range f.spans {
		if i == 0 {
			n.From = s.from
		}
		n.Rows = append(n.Rows, s.rows...)
	}
	if since := f.options.Clock() - f.FailedAt(); since < troubleTime {
		n.Trouble = max(since, 1)
	}
	return n
}

// Hear takes in the news of a follower that asks the store. Rows count only if none is
// missing between what is known and them; otherwise Nudge makes good for the gap.
func (f *Follower) Hear(n News) {
	f.mu.Lock()
	now := f.options.Clock()
	known := f.known
	if n.Trouble > 0 {
		f.failed.Store(max(f.failed.Load(), int64(now-n.Trouble)))
	}
	if n.Trouble == 0 || n.Trouble > newsTime { // one that cannot reach the store knows nothing new
		f.heard = now
	}
	f.mu.Unlock()
	if known && n.From <= f.Version() {
		f.take(Batch{Rows: n.Rows, Version: n.To})
	}
	f.Nudge(n.Newest)
}

// resting reports whether the follower leaves asking the store to others.
func (f *Follower) resting() bool {
	if f.options.Rests == nil || !f.options.Rests() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	switch {
	case !f.known || f.wanted || now-f.asked > restTime:
		return false
	case now-f.heard > newsTime:
		return now-f.asked < askPause
	}
	return true
}
