// Command load runs the demos, the soak test and the measurements.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/programs/load/control"
	"github.com/bergamotway/bergamotway/programs/load/demo"
	"github.com/bergamotway/bergamotway/programs/load/path"
	"github.com/bergamotway/bergamotway/programs/load/routing"
	"github.com/bergamotway/bergamotway/programs/load/site"
	"github.com/bergamotway/bergamotway/programs/load/soak"
)

func main() {
	cmd := &cli.Command{
		Name:  "load",
		Usage: "run the demo and the measurements",
		Commands: []*cli.Command{
			demo.Command(),
			site.Command(),
			soak.Command(),
			routing.Command(),
			control.Command(),
			path.Command(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
