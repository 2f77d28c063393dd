// Package soak runs hosts as processes against a stand-in of the users' platform, injects faults from
// outside them, and judges what clients and endpoints see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	defaultHosts   = 3
	defaultClients = 16
	// faultLeast and faultMost bound the pause between two faults; faults last up to faultFor, so
	// that several are under way at a time.
	faultLeast = 150 * time.Millisecond
	faultMost  = 700 * time.Millisecond
	faultFor   = 2500 * time.Millisecond
	// settle is how long hosts get after the last fault before all must serve again.
	settle = 12 * time.Second
)

type (
	// FindingsError lists the promises that were broken.
	FindingsError struct {
		seed     int64
		findings []string
	}

	options struct {
		bin     string
		seed    int64
		length  time.Duration
		hosts   int
		clients int
		logs    string
		out     io.Writer
	}
)

// Error lists the findings.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("soak: seed %d: %d finding(s)\n  %s", e.seed, len(e.findings), strings.Join(e.findings, "\n  "))
}

// Command returns the command that runs the soak.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject faults, and judge what clients and endpoints see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "the directory of the programs"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "the seed of the faults"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "how many seeds to run, from seed on"},
			&cli.DurationFlag{Name: "length", Value: 15 * time.Second, Usage: "how long faults are injected"},
			&cli.IntFlag{Name: "hosts", Value: defaultHosts, Usage: "how many hosts"},
			&cli.IntFlag{Name: "clients", Value: defaultClients, Usage: "how many clients"},
			&cli.StringFlag{Name: "logs", Usage: "the directory for the hosts' output; empty keeps none"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			for i := range cmd.Int("count") {
				err := Run(ctx, cmd.Root().Writer, cmd.String("bin"), cmd.Int64("seed")+int64(i),
					cmd.Duration("length"), cmd.Int("hosts"), cmd.Int("clients"), cmd.String("logs"))
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// Run runs one seed. It returns a *FindingsError if a promise was broken.
func Run(ctx context.Context, out io.Writer, bin string, seed int64, length time.Duration, hosts, clients int, logs string) error {
	op := options{bin: bin, seed: seed, length: length, hosts: hosts, clients: clients, logs: logs, out: out}
	dir, err := os.MkdirTemp("", "bergamotway-soak")
	if err != nil {
		return errors.Wrap(err, "soak: directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	wo, err := newWorld(ctx, op, dir)
	if err != nil {
		return err
	}
	defer wo.close()
	ju := newJudge(wo)
	work, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range op.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ju.client(work, rand.New(rand.NewSource(op.seed*1000+int64(i))))
		}()
	}
	counts := wo.harm(work, rand.New(rand.NewSource(op.seed)))
	wo.mend()
	if err := ju.recovered(work); err != nil {
		ju.find("hosts did not serve again: %v", err)
	}
	stop()
	wg.Wait()
	ju.settle()
	total, kinds := ju.summary()
	if _, err := fmt.Fprintf(out, "soak: seed %d: %d requests (%s); faults: %s\n", op.seed, total, kinds, counts); err != nil {
		return err
	}
	if len(ju.findings) > 0 {
		return &FindingsError{seed: op.seed, findings: ju.findings}
	}
	return nil
}
