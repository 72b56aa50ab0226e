package lab

// This file defines how the laboratory watches a fleet while it runs.

import (
	"context"
	"sync"
	"time"
)

// watchInterval is the time between two looks at all windows.
const watchInterval = 20 * time.Millisecond

// watchBusy samples the windows until the context ends. The function that it
// returns gives the mean share of admitted slots that were in use.
func (f *Fleet) watchBusy(ctx context.Context) func() float64 {
	var mu sync.Mutex
	var used, admitted float64
	go func() {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for ctx.Err() == nil {
			<-t.C
			mu.Lock()
			for _, r := range f.Routers {
				r.Windows(func(_ string, size, inflight int) {
					used += float64(min(size, inflight))
					admitted += float64(size)
				})
			}
			mu.Unlock()
		}
	}()
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		if admitted == 0 {
			return 0
		}
		return used / admitted
	}
}
