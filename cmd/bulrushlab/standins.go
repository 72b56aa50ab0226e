package main

// This file defines the commands that run single stand-ins, and load from outside,
// so that routers can be run by hand.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"bulrushtally/lab"
	"bulrushtally/standin"
)

func standinCommands(seed cli.Flag) []*cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP number and port"}
	return []*cli.Command{
		{Name: "platform", Usage: "run a platform: table, objects, list of VMs; faults by POST /faults", Flags: []cli.Flag{listen, seed}, Action: runPlatform},
		{Name: "backend", Usage: "run a model engine, or a plain service; faults by POST /faults", Action: runBackend, Flags: []cli.Flag{listen,
			&cli.BoolFlag{Name: "plain", Usage: "a plain service instead of a model engine"},
			&cli.IntFlag{Name: "slots", Value: standin.DefaultEngine.Slots, Usage: "requests that a warm engine bears"},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "time of a plain call"}}},
		{Name: "load", Usage: "send completions to a router and print what came of them", Action: runLoad, Flags: []cli.Flag{seed,
			&cli.StringFlag{Name: "router", Required: true, Usage: "IP number and port of a router's callers' side"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "caller's key"},
			&cli.StringFlag{Name: "model", Value: lab.ModelService, Usage: "service to ask"},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "callers at once"},
			&cli.IntFlag{Name: "tokens", Value: 64, Usage: "most tokens of an answer"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "how long"}}},
	}
}

// untilSignal waits for SIGINT or SIGTERM.
func untilSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	p, err := standin.NewPlatform(c.String("listen"), c.Uint64("seed"))
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Println("platform at", p.Address())
	untilSignal(ctx)
	return nil
}

func runBackend(ctx context.Context, c *cli.Command) error {
	if c.Bool("plain") {
		p, err := standin.NewPlain(c.String("listen"), c.Duration("work"))
		if err != nil {
			return err
		}
		defer p.Close()
		fmt.Println("plain service at", p.Address())
		untilSignal(ctx)
		return nil
	}
	o := standin.DefaultEngine
	o.Slots = c.Int("slots")
	e, err := standin.NewEngine(c.String("listen"), o)
	if err != nil {
		return err
	}
	defer e.Close()
	fmt.Println("model engine at", e.Address())
	untilSignal(ctx)
	return nil
}

func runLoad(ctx context.Context, c *cli.Command) error {
	return lab.RunLoad(ctx, os.Stdout, lab.OuterLoad{
		Router: c.String("router"), Key: c.String("key"), Model: c.String("model"), Callers: c.Int("callers"),
		Tokens: c.Int("tokens"), Time: c.Duration("time"), Seed: c.Uint64("seed"),
	})
}
