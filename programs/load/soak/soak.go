// Package soak runs hosts as processes against a stand-in for the platform, injects faults from outside the
// processes, and checks the responses that clients receive and the requests that endpoints execute.
package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minFaultInterval and maxFaultInterval bound the random pause between two faults. A fault lasts up to
	// maxFaultDuration, which is longer, so that several faults are active at the same time.
	minFaultInterval = 150 * time.Millisecond
	maxFaultInterval = 700 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which all hosts must be ready again; they then
	// have the same time to serve every route.
	recoveryTimeout = 12 * time.Second
)

// FindingsError lists the violations that a run found.
type FindingsError struct {
	seed     int64
	findings []string
}

// Error returns the seed and the findings, one per line.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("soak: seed %d: %d finding(s)\n  %s", e.seed, len(e.findings), strings.Join(e.findings, "\n  "))
}

// Run runs the soak test with one seed and prints a summary. It returns a *FindingsError if a check failed.
func Run(ctx context.Context, opts Options) error {
	opts = opts.withDefaults()
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
	var clients, disturbances sync.WaitGroup
	for i := range opts.Clients {
		clients.Go(func() { ch.runClient(workCtx, rand.New(rand.NewSource(opts.Seed*1000+int64(i)))) })
	}
	if opts.hasWorkers() {
		// A source of its own leaves the other faults of a seed as they were.
		disturbances.Go(func() { tb.disturb(workCtx, rand.New(rand.NewSource(opts.Seed+1<<32))) })
	}
	if opts.OldProgram != "" && !opts.StaysMixed {
		disturbances.Go(func() { tb.replaceHosts(workCtx) })
	}
	tb.injectFaults(workCtx, rand.New(rand.NewSource(opts.Seed)))
	disturbances.Wait()
	tb.clearFaults()
	if err := ch.awaitRecovery(workCtx); err != nil {
		ch.addFinding("hosts did not serve again: %v", err)
	}
	stop()
	clients.Wait()
	ch.checkExecutions()
	total, statuses := ch.summary()
	if _, err := fmt.Fprintf(opts.Out, "soak: seed %d: %d requests (%s); faults: %s\n", opts.Seed, total, statuses, tb.faultCounts.String()); err != nil {
		return err
	}
	if opts.hasWorkers() {
		ch.judgeStreams()
		if _, err := fmt.Fprintf(opts.Out, "soak: seed %d: %s\n", opts.Seed, ch.tally.String()); err != nil {
			return err
		}
	}
	if opts.hasTeams() {
		if _, err := fmt.Fprintf(opts.Out, "soak: seed %d: %s\n", opts.Seed, ch.judgeIsolation()); err != nil {
			return err
		}
	}
	if len(ch.findings) > 0 {
		return &FindingsError{seed: opts.Seed, findings: ch.findings}
	}
	return nil
}
