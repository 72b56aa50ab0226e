package main

// This file defines the command that runs a router on a platform which lists
// backend servers itself.

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"bulrushtally/gateway"
	"bulrushtally/logline"
	"bulrushtally/settings"
)

// lookInterval is the time between two looks at the settings file, which may change without a signal.
const lookInterval = 5 * time.Second

// reload takes the settings in again on SIGHUP and when their file has changed.
func reload(ctx context.Context, path string, g *gateway.Gateway, logger zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(lookInterval)
	defer t.Stop()
	held, err := os.ReadFile(path)
	if err != nil {
		logger.Warn().Err(err).Msg("settings-unreadable")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			logger.Warn().Err(err).Msg("settings-unreadable")
			continue
		}
		if bytes.Equal(data, held) {
			continue
		}
		held = data
		s, err := settings.ParseGateway(data)
		if err != nil {
			logger.Error().Err(err).Msg("settings-refused")
			continue
		}
		g.Reload(s)
		logger.Info().Msg("settings-reloaded")
	}
}

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
			lines := logline.New(os.Stdout, logline.DefaultOptions)
			writing, written := context.WithCancel(ctx)
			go lines.Run(writing)
			defer func() {
				written()
				<-lines.Done()
			}()
			logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
			g, err := gateway.New(s, logger)
			if err != nil {
				return err
			}
			go reload(ctx, c.String("settings"), g, logger)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return g.Run(ctx)
		},
	}
}
