// Command bulrushtally runs a router, and is the operators' command-line client.
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
	exitFailure  = 1 // rejected, invalid, or router unreachable
	exitConflict = 2 // the object was changed since the version that the change is based on
	exitInDoubt  = 3 // it is unknown whether the change was accepted; repeat it with the same request number
	exitLagging  = 4 // accepted, but not yet in force on some live router
)

func main() {
	app := &cli.Command{
		Name:     "bulrushtally",
		Usage:    "route requests to backend servers with fair shares for customers",
		Commands: append([]*cli.Command{runCommand(), gatewayCommand(), explainCommand(), previewCommand(), checkCommand(), hashCommand()}, operatorCommands()...),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bulrushtally:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var failure *operator.Failure
	var lagging *laggingError
	switch {
	case errors.As(err, &lagging):
		return exitLagging
	case errors.As(err, &failure) && failure.Code == "conflict":
		return exitConflict
	case errors.As(err, &failure) && failure.Code == "in-doubt":
		return exitInDoubt
	}
	return exitFailure
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
		Usage: "check a settings file and report every error",
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
				return fmt.Errorf("cannot read a key from standard input: %w", err)
			}
			fmt.Println(config.HashKey(key))
			return nil
		},
	}
}
