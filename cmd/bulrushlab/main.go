// Command bulrushlab is the laboratory: stand-ins, load, experiments and a demonstration.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bulrushtally/lab"
)

func main() {
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of everything random"}
	app := &cli.Command{
		Name:  "bulrushlab",
		Usage: "run stand-ins, load and experiments for bulrushtally",
		Commands: append(standinCommands(seed), []*cli.Command{
			{
				Name:  "demo",
				Usage: "run a whole fleet for some seconds and print what came of it",
				Flags: []cli.Flag{seed},
				Action: func(_ context.Context, c *cli.Command) error {
					return lab.Demo(os.Stdout, c.Uint64("seed"))
				},
			},
			measureCommand(seed),
		}...),
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bulrushlab:", err)
		os.Exit(1)
	}
}

func measureCommand(seed cli.Flag) *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run an experiment and print its figures beside targets and baselines",
		ArgsUsage: "[EXPERIMENT]",
		Flags: []cli.Flag{seed,
			&cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"},
			&cli.StringFlag{Name: "plot", Usage: "prefix of files for plots of service over time"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		for _, x := range lab.Experiments {
			fmt.Printf("%-12s %s\n", x.Name, x.About)
		}
		return nil
	}
	r, err := lab.Measure(c.Args().First(), &lab.Env{Seed: c.Uint64("seed"), Log: os.Stderr})
	if err != nil {
		return err
	}
	if prefix := c.String("plot"); prefix != "" {
		if err := r.Plot(prefix); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return r.JSON(os.Stdout)
	}
	return r.Table(os.Stdout)
}
