package lab

// This file defines the experiment path: what the routers add to a call.

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
)

const (
	pathCalls   = 3000
	pathCallers = 6
	pathTokens  = 16
	heldCalls   = 1000
)

// processorTime returns what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func path(e *Env) (*Report, error) {
	s, err := startWarm(e.Seed)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	e.say("warming up for %v", rampTime)
	if err := warmUp(s, e.Seed); err != nil {
		return nil, err
	}
	r := &Report{}
	var direct, routed []string
	for _, x := range s.Engines {
		direct = append(direct, x.Address())
	}
	routed = s.Addresses()
	e.say("%d calls each way", 2*pathCalls)
	d1, cpuD, _ := calls(direct, pathCalls)
	r1, cpuR, rate := calls(routed, pathCalls)
	for _, q := range []float64{50, 99} {
		r.figure(fmt.Sprintf("first token p%.0f, direct", q), "ms", float64(d1.ValueAtQuantile(q))/1000)
		r.figure(fmt.Sprintf("first token p%.0f, through routers", q), "ms", float64(r1.ValueAtQuantile(q))/1000)
	}
	r.atMost("first token p95, through routers", "ms", float64(r1.ValueAtQuantile(95))/1000, 330)
	r.figure("calls per second, by 6 callers", "1/s", rate)
	r.figure("processor time that routers add to a call of 16 tokens", "µs", (cpuR-cpuD)*1e6/pathCalls)
	e.say("most calls per second through one router")
	rate, cpu := saturate(s)
	r.figure("calls of one token per second through one router, 64 callers", "1/s", rate)
	r.figure("processor of such a call, caller and stand-in included", "µs", cpu*1e6)
	open, waiting := heldMemory(s, 100)
	r.figure("memory of an open stream, its caller and stand-in included", "bytes", open)
	r.figure("memory of a waiting request, its caller included", "bytes", waiting)
	return r, nil
}

// calls makes a number of calls to addresses in turn and returns their first-token
// times, the processor time and the rate.
func calls(addresses []string, n int) (*hdrhistogram.Histogram, float64, float64) {
	h := newHistogram()
	results := make([][]time.Duration, pathCallers)
	began, cpu := time.Now(), processorTime()
	var g conc.WaitGroup
	for k := range pathCallers {
		c := NewClient()
		g.Go(func() {
			for i := range n / pathCallers {
				prompt := fmt.Sprintf("path %d %d", k, i)
				a := addresses[(i+k)%len(addresses)]
				r := c.Complete(context.Background(), a, Customer(i%8), prompt, pathTokens, true)
				if r.Good() {
					results[k] = append(results[k], r.FirstToken)
				}
			}
		})
	}
	g.Wait()
	used := (processorTime() - cpu).Seconds()
	rate := float64(n) / time.Since(began).Seconds()
	for _, list := range results {
		for _, d := range list {
			h.RecordValue(d.Microseconds())
		}
	}
	return h, used, rate
}

// saturate returns the rate of short completions through one router with many
// callers, and the seconds of processor that each takes.
func saturate(s *System) (rate, cpu float64) {
	const callers, each = 64, 100
	began, used := time.Now(), processorTime()
	var g conc.WaitGroup
	for k := range callers {
		c := NewClient()
		g.Go(func() {
			for i := range each {
				c.Complete(context.Background(), s.Addresses()[0], Customer(k%8), fmt.Sprintf("call %d %d", k, i), 1, false)
			}
		})
	}
	g.Wait()
	return callers * each / time.Since(began).Seconds(), (processorTime() - used).Seconds() / (callers * each)
}

const openStreams = 60 // fewer than there are slots

// heldMemory slows the engines down and returns the memory of a stream that is open,
// and of a request that waits because all slots are taken.
func heldMemory(s *System, slow float64) (open, waiting float64) {
	for _, x := range s.Engines {
		x.SetSlow(slow)
	}
	defer func() {
		for _, x := range s.Engines {
			x.SetSlow(1)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g conc.WaitGroup
	start := func(n int) float64 {
		for i := range n {
			c := NewClient()
			g.Go(func() {
				c.Complete(ctx, s.Addresses()[i%len(s.Addresses())], Customer(i%16), fmt.Sprintf("held %d of %d", i, n), 64, true)
			})
		}
		time.Sleep(2 * time.Second)
		return heap()
	}
	idle := heap()
	opened := start(openStreams)
	full := start(200)
	held := start(heldCalls)
	cancel()
	g.Wait()
	return (opened - idle) / openStreams, (held - full) / heldCalls
}
