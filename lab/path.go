package lab

// This file defines the experiment path: the time, CPU time and memory that the routers
// add to a call.

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
	callsPerRun       = 3000
	concurrentCallers = 6
	maxTokensPerCall  = 16
	queuedRequests    = 1000 // with which memoryPerRequest measures a queued request
)

// cpuTime returns the user and system CPU time that this process has used so far, or 0
// if the system does not report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse collects garbage and returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measurePath runs the experiment path.
func measurePath(e *Env) (*Report, error) {
	s, err := startWarmSystem(e.Seed)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	e.logf("warming up for %v", rampTime)
	if err := warmUp(s, e.Seed); err != nil {
		return nil, err
	}
	r := &Report{}
	var serverAddresses, routerAddresses []string
	for _, server := range s.ModelServers {
		serverAddresses = append(serverAddresses, server.Address())
	}
	routerAddresses = s.RouterAddresses()
	e.logf("%d calls, half of them direct to model servers, half through routers", 2*callsPerRun)
	direct, directCPU, _ := runCalls(serverAddresses, callsPerRun)
	routed, routedCPU, rate := runCalls(routerAddresses, callsPerRun)
	for _, q := range []float64{50, 99} {
		r.addFigure(fmt.Sprintf("time to first token p%.0f, direct", q), "ms", float64(direct.ValueAtQuantile(q))/1000)
		r.addFigure(fmt.Sprintf("time to first token p%.0f, through routers", q), "ms", float64(routed.ValueAtQuantile(q))/1000)
	}
	r.addAtMost("time to first token p95, through routers", "ms", float64(routed.ValueAtQuantile(95))/1000, 330)
	r.addFigure("calls per second through routers, 6 callers", "1/s", rate)
	r.addFigure("CPU time that routers add to a call with max_tokens 16", "µs", (routedCPU-directCPU)*1e6/callsPerRun)
	e.logf("highest rate of calls through one router")
	rate, cpuPerCall := saturateRouter(s)
	r.addFigure("one-token calls per second through one router, 64 callers", "1/s", rate)
	r.addFigure("CPU time of a one-token call, client and model server included", "µs", cpuPerCall*1e6)
	perStream, perQueued := memoryPerRequest(s, 100)
	r.addFigure("memory of an open stream, client and model server included", "bytes", perStream)
	r.addFigure("memory of a queued request, client included", "bytes", perQueued)
	return r, nil
}

// runCalls makes n streaming calls, each caller going through the addresses in turn. It
// returns the times to first token in microseconds, the CPU time of the process in
// seconds and the calls per second.
func runCalls(addresses []string, n int) (*hdrhistogram.Histogram, float64, float64) {
	firstToken := newHistogram()
	results := make([][]time.Duration, concurrentCallers)
	start, cpuBefore := time.Now(), cpuTime()
	var g conc.WaitGroup
	for k := range concurrentCallers {
		c := NewClient()
		g.Go(func() {
			for i := range n / concurrentCallers {
				prompt := fmt.Sprintf("path %d %d", k, i)
				address := addresses[(i+k)%len(addresses)]
				res := c.Complete(context.Background(), address, CustomerName(i%8), prompt, maxTokensPerCall, true)
				if res.Succeeded() {
					results[k] = append(results[k], res.TimeToFirstToken)
				}
			}
		})
	}
	g.Wait()
	cpuSeconds := (cpuTime() - cpuBefore).Seconds()
	rate := float64(n) / time.Since(start).Seconds()
	for _, list := range results {
		for _, d := range list {
			firstToken.RecordValue(d.Microseconds())
		}
	}
	return firstToken, cpuSeconds, rate
}

// saturateRouter calls one router from 64 concurrent callers for one token at a time. It
// returns the calls per second and the CPU time of the process per call, in seconds.
func saturateRouter(s *System) (rate, cpuPerCall float64) {
	const callers, callsPerCaller = 64, 100
	start, cpuBefore := time.Now(), cpuTime()
	var g conc.WaitGroup
	for k := range callers {
		c := NewClient()
		g.Go(func() {
			for i := range callsPerCaller {
				c.Complete(context.Background(), s.RouterAddresses()[0], CustomerName(k%8), fmt.Sprintf("call %d %d", k, i), 1, false)
			}
		})
	}
	g.Wait()
	return callers * callsPerCaller / time.Since(start).Seconds(), (cpuTime() - cpuBefore).Seconds() / (callers * callsPerCaller)
}

// openStreams is the number of streams with which memoryPerRequest measures an open
// stream; there are more slots than that.
const openStreams = 60

// memoryPerRequest slows the model servers down by a factor and returns the bytes of
// memory per open stream, and per request that is queued because all slots are taken.
func memoryPerRequest(s *System, slowdown float64) (perStream, perQueued float64) {
	for _, server := range s.ModelServers {
		server.SetSlowdown(slowdown)
	}
	defer func() {
		for _, server := range s.ModelServers {
			server.SetSlowdown(1)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g conc.WaitGroup
	startRequests := func(n int) float64 {
		for i := range n {
			c := NewClient()
			g.Go(func() {
				c.Complete(ctx, s.RouterAddresses()[i%len(s.RouterAddresses())], CustomerName(i%16), fmt.Sprintf("held %d of %d", i, n), 64, true)
			})
		}
		time.Sleep(2 * time.Second)
		return memoryInUse()
	}
	idle := memoryInUse()
	withStreams := startRequests(openStreams)
	slotsFull := startRequests(200)
	withQueued := startRequests(queuedRequests)
	cancel()
	g.Wait()
	return (withStreams - idle) / openStreams, (withQueued - slotsFull) / queuedRequests
}
