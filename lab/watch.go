package lab

// This file defines how the laboratory watches a fleet while it runs.

import (
	"context"
	"strings"
	"sync"
	"time"
)

// watchInterval is the time between two looks at all windows.
const watchInterval = 20 * time.Millisecond

// watchBusy samples the model engines' windows until the context ends. The function
// that it returns gives the mean share of admitted slots that were in use.
func watchBusy(ctx context.Context, windows func(func(name string, size, inflight int))) func() float64 {
	var mu sync.Mutex
	var used, admitted float64
	go func() {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for ctx.Err() == nil {
			<-t.C
			mu.Lock()
			windows(func(name string, size, inflight int) {
				if !strings.HasPrefix(name, enginePrefix) {
					return
				}
				used += float64(min(size, inflight))
				admitted += float64(size)
			})
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
