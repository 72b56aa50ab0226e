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
		Commands: []*cli.Command{
			{
				Name:  "demo",
				Usage: "run a whole fleet for some seconds and print what came of it",
				Flags: []cli.Flag{seed},
				Action: func(_ context.Context, c *cli.Command) error {
					return lab.Demo(os.Stdout, c.Uint64("seed"))
				},
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bulrushlab:", err)
		os.Exit(1)
	}
}
