package main

// This file defines the command that runs a router on a platform which lists
// backend servers itself.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"bulrushtally/gateway"
	"bulrushtally/settings"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a router on a platform that lists backend servers, until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Required: true, Usage: "INI file with the gateway's settings", Sources: cli.EnvVars(settings.GatewayEnv),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.ReadGateway(c.String("settings"))
			if err != nil {
				return err
			}
			level, err := zerolog.ParseLevel(s.LogLevel)
			if err != nil {
				return err
			}
			logger := zerolog.New(os.Stdout).Level(level).With().Timestamp().Logger()
			g, err := gateway.New(s, logger)
			if err != nil {
				return err
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return g.Run(ctx)
		},
	}
}
