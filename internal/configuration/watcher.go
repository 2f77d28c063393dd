package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type (
	// WatcherOptions configures a Watcher.
	WatcherOptions struct {
		// IsAmongFirst reports whether this host ranks among the first n hosts for a name in
		// rendezvous hashing.
		IsAmongFirst func(name string, n int) bool
		// IsIsolated reports whether this host has lost contact with all peers; nil means never.
		IsIsolated func() bool
		// Clock provides the time and the timers.
		Clock clock.Clock
		// Rand adds jitter to the delays between calls.
		Rand *rand.Rand
		// OnError is called with the error of each failed call; nil is allowed.
		OnError func(error)
	}

	// Watcher keeps the local replica up to date with the store. Only a few hosts hold a watch; the
	// others learn of changes from peers and poll rarely, so that the call rate grows more slowly
	// than the fleet.
	Watcher struct {
		replica *Replica
		opts    WatcherOptions
	}
)

const (
	// watchingHosts is how many hosts hold a watch concurrently.
	watchingHosts = 8
	// watchTimeout is the maximum duration of a watch. A watch that has reported no change by then is
	// replaced by a new one.
	watchTimeout = 2 * time.Second
	// pollPeriod is the mean interval between polls of a host without a watch.
	pollPeriod = 60 * time.Second
	// watchRoleCheckPeriod is how often a host without a watch checks whether it should hold one.
	watchRoleCheckPeriod = 500 * time.Millisecond
	// minRetryDelay is the mean backoff after the first failed call; it doubles up to maxRetryDelay. It
	// is also the mean interval between reads while the store has no configuration.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// NewWatcher returns a watcher that updates replica.
func NewWatcher(replica *Replica, opts WatcherOptions) *Watcher {
	return &Watcher{replica: replica, opts: opts}
}

// Run keeps the configuration up to date until ctx ends.
func (wa *Watcher) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := wa.syncOnce(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if wa.opts.OnError != nil {
			wa.opts.OnError(err)
		}
		wa.sleep(ctx, wa.jitter(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// syncOnce brings the replica up to date once. It waits for the next change or, on a host without a
// watch, for the next poll.
func (wa *Watcher) syncOnce(ctx context.Context) error {
	rp := wa.replica
	if rp.Revision() == 0 {
		if err := rp.Pull(ctx); err != nil || rp.Revision() > 0 {
			return err
		}
		wa.sleep(ctx, wa.jitter(minRetryDelay))
		return nil
	}
	if wa.shouldWatch() {
		return wa.watchOnce(ctx)
	}
	nextPoll := wa.opts.Clock.Now().Add(wa.jitter(pollPeriod))
	for ctx.Err() == nil && wa.opts.Clock.Now().Before(nextPoll) && !wa.shouldWatch() {
		wa.sleep(ctx, watchRoleCheckPeriod)
	}
	return rp.Pull(ctx)
}

// shouldWatch reports whether this host should hold a watch: a few elected hosts do, and so does a
// host that has lost contact with its peers.
func (wa *Watcher) shouldWatch() bool {
	return wa.opts.IsAmongFirst("configuration", watchingHosts) || (wa.opts.IsIsolated != nil && wa.opts.IsIsolated())
}

// watchOnce reads the head and then watches it once. If a watch misses a change, the read of the next
// call finds it, after about watchTimeout.
func (wa *Watcher) watchOnce(ctx context.Context) error {
	rp := wa.replica
	en, err := rp.store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return err
	}
	if err = rp.applyHead(ctx, en); err != nil {
		return err
	}
	en, err = rp.store.Watch(ctx, keyvalue.PurposeConfiguration, headKey, en.Revision(), watchTimeout)
	if err != nil {
		return err
	}
	return rp.applyHead(ctx, en)
}

func (wa *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-wa.opts.Clock.After(d):
	}
}

// jitter returns a random duration in [d/2, 3d/2), so that hosts do not call at the same time.
func (wa *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(wa.opts.Rand.Int64N(int64(d)))
}
