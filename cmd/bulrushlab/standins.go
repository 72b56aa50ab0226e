package main

// This file defines the commands that run a single stand-in or send load to a router, so that
// routers can be started and tested by hand.

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
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port to listen on"}
	return []*cli.Command{
		{Name: "platform", Usage: "run a platform stand-in: table service, object store, list of VMs; POST /faults injects faults", Flags: []cli.Flag{listen, seed}, Action: runPlatform},
		{Name: "backend", Usage: "run a model server stand-in or a plain service stand-in; POST /faults injects faults", Action: runBackend, Flags: []cli.Flag{listen,
			&cli.BoolFlag{Name: "plain", Usage: "run a plain service instead of a model server"},
			&cli.IntFlag{Name: "slots", Value: standin.DefaultModelServerOptions.Slots, Usage: "concurrent requests that a warm model server can sustain"},
			&cli.DurationFlag{Name: "work", Value: 5 * time.Millisecond, Usage: "time to handle a request of a plain service"}}},
		{Name: "load", Usage: "send completion requests to a router and print the results", Action: runLoad, Flags: []cli.Flag{seed,
			&cli.StringFlag{Name: "router", Required: true, Usage: "IP address and port on which the router serves callers"},
			&cli.StringFlag{Name: "key", Required: true, Usage: "caller's bearer key"},
			&cli.StringFlag{Name: "model", Value: lab.ModelService, Usage: "model service to send requests to"},
			&cli.IntFlag{Name: "callers", Value: 16, Usage: "concurrent callers"},
			&cli.IntFlag{Name: "tokens", Value: 64, Usage: "maximum tokens of a response"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second, Usage: "duration of the load"}}},
	}
}

// waitForSignal returns on SIGINT, SIGTERM or the end of ctx.
func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	platform, err := standin.NewPlatform(c.String("listen"), c.Uint64("seed"))
	if err != nil {
		return err
	}
	defer platform.Close()
	fmt.Println("platform at", platform.Address())
	waitForSignal(ctx)
	return nil
}

func runBackend(ctx context.Context, c *cli.Command) error {
	if c.Bool("plain") {
		plain, err := standin.NewPlainService(c.String("listen"), c.Duration("work"))
		if err != nil {
			return err
		}
		defer plain.Close()
		fmt.Println("plain service at", plain.Address())
		waitForSignal(ctx)
		return nil
	}
	options := standin.DefaultModelServerOptions
	options.Slots = c.Int("slots")
	server, err := standin.NewModelServer(c.String("listen"), options)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Println("model server at", server.Address())
	waitForSignal(ctx)
	return nil
}

func runLoad(ctx context.Context, c *cli.Command) error {
	return lab.RunLoad(ctx, os.Stdout, lab.ExternalLoad{
		RouterAddress: c.String("router"), CallerKey: c.String("key"), Service: c.String("model"), Callers: c.Int("callers"),
		MaxTokens: c.Int("tokens"), Duration: c.Duration("time"), Seed: c.Uint64("seed"),
	})
}
