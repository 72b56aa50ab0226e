// Command bulrushtally is the router, and the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"bulrushtally/config"
	"bulrushtally/operator"
	"bulrushtally/router"
	"bulrushtally/settings"
)

// Exit codes.
const (
	exitFailed   = 1 // refused, invalid, or not reachable
	exitConflict = 2 // somebody else changed it
	exitInDoubt  = 3 // ask again with the same request number
	exitLagging  = 4 // accepted, but some router does not hold it yet
)

func main() {
	app := &cli.Command{
		Name:     "bulrushtally",
		Usage:    "route customers' requests to backend servers, fairly",
		Commands: append([]*cli.Command{runCommand(), gatewayCommand(), explainCommand(), checkCommand(), hashCommand()}, operatorCommands()...),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bulrushtally:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var f *operator.Failure
	var lag *laggingError
	switch {
	case errors.As(err, &lag):
		return exitLagging
	case errors.As(err, &f) && f.Code == "conflict":
		return exitConflict
	case errors.As(err, &f) && f.Code == "in-doubt":
		return exitInDoubt
	}
	return exitFailed
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "INI file with the router's settings"}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the router on this VM until SIGTERM",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Read(c.String("settings"))
			if err != nil {
				return err
			}
			level, err := zerolog.ParseLevel(s.LogLevel)
			if err != nil {
				return err
			}
			logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
			r, err := router.New(s, logger)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return r.Run(ctx)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and report every fault",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := settings.Read(c.String("settings")); err != nil {
				return err
			}
			fmt.Println("settings are valid")
			return nil
		},
	}
}

func hashCommand() *cli.Command {
	return &cli.Command{
		Name:      "hash-key",
		Usage:     "print the hash of a bearer key read from standard input",
		ArgsUsage: " ",
		Action: func(context.Context, *cli.Command) error {
			var key string
			if _, err := fmt.Scan(&key); err != nil {
				return fmt.Errorf("no key on standard input: %w", err)
			}
			fmt.Println(config.HashKey(key))
			return nil
		},
	}
}
