package main

// This file defines the gateway command, which runs a router on a platform that lists the
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

// settingsPollInterval is the time between two checks of the settings file, which may change
// without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reads the settings file on SIGHUP and every settingsPollInterval, and reloads
// the gateway if the content has changed. Invalid settings are logged once and the current
// ones stay in use. It returns when ctx ends.
func watchSettings(ctx context.Context, path string, g *gateway.Gateway, logger zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastRead, err := os.ReadFile(path)
	if err != nil {
		logger.Warn().Err(err).Msg("settings-read-failed")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			logger.Warn().Err(err).Msg("settings-read-failed")
			continue
		}
		if bytes.Equal(data, lastRead) {
			continue
		}
		lastRead = data
		s, err := settings.ParseGatewayWithBounds(data, os.Getenv(settings.GatewayBoundsEnv))
		if err != nil {
			logger.Error().Err(err).Msg("settings-rejected")
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
			Name: "settings", Required: true, Usage: "INI file with the gateway's settings", Sources: cli.EnvVars(settings.GatewaySettingsEnv),
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
			logWriter := logline.New(os.Stdout, logline.DefaultOptions)
			writerCtx, stopWriter := context.WithCancel(ctx)
			go logWriter.Run(writerCtx)
			defer func() {
				stopWriter()
				<-logWriter.Done()
			}()
			logger := zerolog.New(logWriter).Level(level).With().Timestamp().Logger()
			g, err := gateway.New(s, logger)
			if err != nil {
				return err
			}
			go watchSettings(ctx, c.String("settings"), g, logger)
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return g.Run(ctx)
		},
	}
}
