// Command bulrushlab runs stand-ins for the platform and backend servers, load on a router,
// experiments, and a demonstration fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"bulrushtally/lab"
)

func main() {
	seed := &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generators"}
	app := &cli.Command{
		Name:  "bulrushlab",
		Usage: "run stand-ins, load and experiments for bulrushtally",
		Commands: append(standinCommands(seed), []*cli.Command{
			{
				Name:  "demo",
				Usage: "run a complete fleet under load for some seconds and print the results",
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
		Usage:     "run an experiment and print its figures with their targets and baselines; without arguments, list the experiments",
		ArgsUsage: "[EXPERIMENT]",
		Flags: []cli.Flag{seed,
			&cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"},
			&cli.StringFlag{Name: "plot", Usage: "path prefix of the files for plots of service over time"},
		},
		Action: runMeasure,
	}
}

// runMeasure runs an experiment and prints its report, or lists the experiments if none is named.
func runMeasure(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		for _, experiment := range lab.Experiments {
			fmt.Printf("%-12s %s\n", experiment.Name, experiment.Description)
		}
		return nil
	}
	report, err := lab.Measure(c.Args().First(), &lab.Env{Seed: c.Uint64("seed"), Progress: os.Stderr})
	if err != nil {
		return err
	}
	if prefix := c.String("plot"); prefix != "" {
		if err := report.WritePlots(prefix); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}
