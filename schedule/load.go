package schedule

// This file defines the load that a Scheduler reports and the removal of its idle accounts.

import "time"

// Load is a summary of a shard's load. Counts are in requests.
type Load struct {
	Free    int // requests that could be granted now, over all backend servers
	Window  int // sum of the sizes of all windows
	Running int
	Waiting int
}

// Load returns the shard's current load. Backend servers that are draining or
// unreachable count only in Running.
func (s *Scheduler) Load(now time.Time) Load {
	l := Load{Waiting: s.waiting}
	for _, srv := range s.servers {
		l.Running += srv.inflight
		if srv.Leaving || srv.down {
			continue
		}
		l.Free += srv.Free(now)
		l.Window += srv.Size()
	}
	return l
}

// ForEachWindow calls f for each backend server and its window.
func (s *Scheduler) ForEachWindow(f func(b Backend, w *Window)) {
	for _, srv := range s.servers {
		f(srv.Backend, &srv.Window)
	}
}

// accountIdleTimeout is how long an account without activity is kept.
const accountIdleTimeout = 10 * time.Minute

// Prune deletes the accounts of customers that have no waiting request and have
// been inactive for longer than accountIdleTimeout.
func (s *Scheduler) Prune(now time.Time) {
	for name, a := range s.accounts {
		if a.backlogIndex < 0 && now.Sub(a.lastUsed) > accountIdleTimeout {
			delete(s.accounts, name)
		}
	}
}
