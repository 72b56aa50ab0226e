package schedule

// This file defines what a Scheduler tells of itself, and how it forgets.

import "time"

// Load is what a Scheduler tells of itself.
type Load struct {
	Free    int // requests that the windows have room for
	Window  int // sum of the windows
	Running int
	Waiting int
}

// Load returns the shard's present load.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{Waiting: s.waiting}
	for _, v := range s.servers {
		l.Running += v.inflight
		if v.Leaving || v.down {
			continue
		}
		l.Free += v.Free(now)
		l.Window += v.Size()
	}
	return l
}

// Windows calls f with each backend server and its window.
func (s *Scheduler) Windows(f func(b Backend, w *Window)) {
	for _, v := range s.servers {
		f(v.Backend, &v.Window)
	}
}

// accountIdle is how long an idle account is kept.
const accountIdle = 10 * time.Minute

// Prune forgets customers that have been idle for long.
func (s *Scheduler) Prune(now time.Time) {
	for name, a := range s.accounts {
		if a.position < 0 && now.Sub(a.lastUsed) > accountIdle {
			delete(s.accounts, name)
		}
	}
}
