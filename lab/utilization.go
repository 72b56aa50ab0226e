package lab

// This file defines sampleUtilization, which samples the utilization of a running fleet.

import (
	"context"
	"strings"
	"sync"
	"time"
)

// windowSampleInterval is the time between two samples of all windows.
const windowSampleInterval = 20 * time.Millisecond

// sampleUtilization samples the windows of the model servers in the background until the context
// ends. The function that it returns gives the mean utilization so far: the fraction of
// admitted slots, which is the sum of the window sizes, that requests in flight occupied.
func sampleUtilization(ctx context.Context, forEachWindow func(func(name string, size, inflight int))) func() float64 {
	var mu sync.Mutex
	var used, admitted float64 // sums over all samples, in slots
	go func() {
		t := time.NewTicker(windowSampleInterval)
		defer t.Stop()
		for ctx.Err() == nil {
			<-t.C
			mu.Lock()
			forEachWindow(func(name string, size, inflight int) {
				if !strings.HasPrefix(name, modelServerPrefix) {
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
