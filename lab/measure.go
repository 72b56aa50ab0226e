package lab

// This file lists the experiments and runs them.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Env is what an experiment gets.
type Env struct {
	Seed uint64
	Log  io.Writer // tells what goes on
}

// say tells what goes on.
func (e *Env) say(format string, args ...any) { fmt.Fprintf(e.Log, format+"\n", args...) }

// Experiment is a named experiment.
type Experiment struct {
	Name  string
	About string
	Run   func(e *Env) (*Report, error)
}

// Experiments lists every experiment.
var Experiments = []Experiment{
	{"fairness", "16 backlogged customers, 3 large, unevenly spread over routers, cost unknown", fairness},
	{"flood", "one customer sends without measure beside 15 light ones", flood},
	{"coldstart", "engines start cold under full load, and turn cold again unannounced", coldstart},
	{"zonechange", "a zone goes out of service under load and returns", zonechange},
	{"partition", "a zone is cut off from the others and the platform, and rejoins", partition},
	{"path", "first-token time, processor time and memory that the routers add", path},
	{"scale", "control traffic, processor time and memory as the fleet grows", scale},
	{"spread", "time from a change's acceptance to its being in force everywhere", spread},
	{"faults", "faults at random under load", faults},
}

// Measure runs an experiment by name.
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

// Lengths of experiments.
const (
	rampTime    = 25 * time.Second // from cold windows to full ones
	measureTime = 30 * time.Second
)

// under runs a function under load until it returns.
func under(l *Load, groups []Group, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx, groups)
	}()
	go l.meter.Run(ctx)
	err := f(ctx)
	cancel()
	<-ended
	return err
}

// warmUp loads a system until its windows are full.
func warmUp(s *System, seed uint64) error {
	o := s.Options
	callers := 4 * o.Engines * o.Engine.Slots
	groups := []Group{{Customer: 0, Callers: callers, Routers: allRouters(len(s.Addresses())), MaxTokens: 48, Prompt: promptBytes}}
	return under(NewLoad(s, o.Customers, seed), groups, func(context.Context) error { time.Sleep(rampTime); return nil })
}
