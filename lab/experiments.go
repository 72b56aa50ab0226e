package lab

// This file lists the experiments and defines what they share: the environment, the
// function that runs one by name, and functions that run load in the background.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Env holds the parameters of a run of an experiment.
type Env struct {
	Seed     uint64    // of all random choices
	Progress io.Writer // receives progress lines
}

// logf writes a progress line.
func (e *Env) logf(format string, args ...any) { fmt.Fprintf(e.Progress, format+"\n", args...) }

// Experiment is a named experiment.
type Experiment struct {
	Name        string
	Description string // one line for the list of experiments
	Run         func(e *Env) (*Report, error)
}

// Experiments lists every experiment.
var Experiments = []Experiment{
	{"fairness", "16 backlogged customers, 3 of them large, unevenly spread over routers; request costs unknown in advance", measureFairness},
	{"flood", "one customer floods the routers while 15 others send a light load", measureFlood},
	{"coldstart", "model servers start cold under full load, and become cold again without notice", measureColdStart},
	{"zonechange", "a zone is taken out of service under load and returned to service", measureZoneChange},
	{"partition", "a zone is cut off from the other zones and the platform, and reconnected", measurePartition},
	{"path", "time to first token, CPU time and memory that the routers add", measurePath},
	{"scale", "control traffic, CPU time and memory as the fleet grows", measureScale},
	{"spread", "time from accepting a change until every router applies it", measureSpread},
	{"faults", "random faults under load", measureFaults},
}

// Measure runs the experiment with a name. It fails if there is none of that name.
func Measure(name string, e *Env) (*Report, error) {
	i := slices.IndexFunc(Experiments, func(x Experiment) bool { return x.Name == name })
	if i < 0 {
		return nil, fmt.Errorf("no experiment %q; bulrushlab measure without a name lists them", name)
	}
	r, err := Experiments[i].Run(e)
	if r != nil {
		r.Experiment, r.Seed = name, e.Seed
	}
	return r, err
}

const (
	rampTime    = 25 * time.Second // under full load, until the concurrency windows have their full size
	measureTime = 30 * time.Second
)

// runUnderLoad calls f while the load runs and returns its error. The load ends when f
// returns; runUnderLoad waits for the last responses.
func runUnderLoad(l *Load, groups []CallerGroup, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		l.Run(ctx, groups)
	}()
	go l.meter.Run(ctx)
	err := f(ctx)
	cancel()
	<-loadEnded
	return err
}

// warmUp runs full load for rampTime, so that the concurrency windows reach their full size.
func warmUp(s *System, seed uint64) error {
	o := s.Options
	callers := 4 * o.ModelServers * o.ModelServerOptions.Slots
	groups := []CallerGroup{{Customer: 0, Callers: callers, Routers: allRouters(len(s.RouterAddresses())), MaxTokens: 48, PromptBytes: promptBytes}}
	return runUnderLoad(NewLoad(s, o.Customers, seed), groups, func(context.Context) error { time.Sleep(rampTime); return nil })
}
