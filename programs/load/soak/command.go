package soak

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Command returns the CLI command that runs the soak test.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject faults, and judge what clients and endpoints see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "the directory of the programs"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "the seed of the faults"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "how many seeds to run, from seed on"},
			&cli.BoolFlag{Name: "all", Usage: "go on after a seed with findings"},
			&cli.DurationFlag{Name: "length", Value: defaultLength, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "hosts", Value: defaultHosts, Usage: "how many hosts"},
			&cli.IntFlag{Name: "clients", Value: defaultClients, Usage: "how many clients"},
			&cli.IntFlag{Name: "engines", Usage: "how many engines run as processes whose software is released meanwhile; 0 has four engines inside the soak"},
			&cli.IntFlag{Name: "desks", Usage: "how many desk workers run as processes, beside three inside the soak"},
			&cli.StringSliceFlag{Name: "disturbances", Usage: "the disturbances that come beside processes of engines, by their names in a summary; all if empty"},
			&cli.IntFlag{Name: "teams", Usage: "how many teams send requests; beside processes of engines, several become exclusive and shared again"},
			&cli.IntFlag{Name: "sloppy", Usage: "the percentage of runs that go on after an event and leave one out or repeat one; engines should not"},
			&cli.BoolFlag{Name: "no-faults", Usage: "leave out all faults that are no disturbances"},
			&cli.StringFlag{Name: "old", Usage: "the bergamotway program of an earlier build; hosts run it until they are replaced one after the other"},
			&cli.BoolFlag{Name: "mixed", Usage: "leave every second host at the program of --old"},
			&cli.StringFlag{Name: "logs", Usage: "the directory for the hosts' output; empty keeps none"},
		},
		Commands: []*cli.Command{{
			Name: workerCommand, Usage: "serve one endpoint of a soak", Hidden: true,
			Action: func(_ context.Context, cmd *cli.Command) error { return runWorker(cmd.Args().First()) },
		}},
		Action: runSeeds,
	}
}

// runSeeds runs the seeds that the command names, up to the first one with findings.
func runSeeds(ctx context.Context, cmd *cli.Command) error {
	var failures error
	for i := range cmd.Int("count") {
		err := Run(ctx, Options{
			BinDir: cmd.String("bin"), Seed: cmd.Int64("seed") + int64(i), Length: cmd.Duration("length"),
			Hosts: cmd.Int("hosts"), Clients: cmd.Int("clients"), Engines: cmd.Int("engines"), Desks: cmd.Int("desks"),
			SloppyPercent: cmd.Int("sloppy"), Teams: cmd.Int("teams"),
			Disturbances: cmd.StringSlice("disturbances"), WithoutFaults: cmd.Bool("no-faults"), OldProgram: cmd.String("old"), StaysMixed: cmd.Bool("mixed"), LogDir: cmd.String("logs"), Out: cmd.Root().Writer,
		})
		if err != nil && !cmd.Bool("all") {
			return err
		}
		if err != nil {
			_, _ = fmt.Fprintln(cmd.Root().Writer, err)
		}
		failures = errors.Join(failures, err)
	}
	return failures
}
