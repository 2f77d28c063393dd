// Package soak runs hosts as processes against a stand-in for the platform, injects faults from outside the
// processes, and checks the responses that clients receive and the requests that endpoints execute.
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
	// minFaultInterval and maxFaultInterval bound the random pause between two faults. A fault lasts up to
	// maxFaultDuration, which is longer, so that several faults are active at the same time.
	minFaultInterval = 150 * time.Millisecond
	maxFaultInterval = 700 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which all hosts must be ready again; they then
	// have the same time to serve every route.
	recoveryTimeout = 12 * time.Second
)

type (
	// FindingsError lists the violations that a run found.
	FindingsError struct {
		seed     int64
		findings []string
	}

	// options configures a run.
	options struct {
		binDir        string
		seed          int64
		injectionTime time.Duration
		hosts         int
		clients       int
		logDir        string
		out           io.Writer
	}
)

// Error returns the seed and the findings, one per line.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("soak: seed %d: %d finding(s)\n  %s", e.seed, len(e.findings), strings.Join(e.findings, "\n  "))
}

// Command returns the CLI command that runs the soak test.
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

// Run runs the soak test with one seed and prints a summary to out. It returns a *FindingsError if a check failed.
func Run(ctx context.Context, out io.Writer, binDir string, seed int64, injectionTime time.Duration, hosts, clients int, logDir string) error {
	opts := options{binDir: binDir, seed: seed, injectionTime: injectionTime, hosts: hosts, clients: clients, logDir: logDir, out: out}
	dir, err := os.MkdirTemp("", "bergamotway-soak")
	if err != nil {
		return errors.Wrap(err, "soak: directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tb, err := newTestbed(ctx, opts, dir)
	if err != nil {
		return err
	}
	defer tb.close()
	ch := newChecker(tb)
	tb.addFinding = ch.addFinding
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range opts.clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ch.runClient(workCtx, rand.New(rand.NewSource(opts.seed*1000+int64(i))))
		}()
	}
	faultCounts := tb.injectFaults(workCtx, rand.New(rand.NewSource(opts.seed)))
	tb.clearFaults()
	if err := ch.awaitRecovery(workCtx); err != nil {
		ch.addFinding("hosts did not serve again: %v", err)
	}
	stop()
	wg.Wait()
	ch.checkExecutions()
	total, statuses := ch.summary()
	if _, err := fmt.Fprintf(out, "soak: seed %d: %d requests (%s); faults: %s\n", opts.seed, total, statuses, faultCounts); err != nil {
		return err
	}
	if len(ch.findings) > 0 {
		return &FindingsError{seed: opts.seed, findings: ch.findings}
	}
	return nil
}
