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
		// IsAmongFirst reports whether this host is among the first n hosts for a name, by
		// rendezvous hashing.
		IsAmongFirst func(name string, n int) bool
		// IsCutOff reports whether no peer has been heard for a while; nil means never.
		IsCutOff func() bool
		// Clock is used for waiting.
		Clock clock.Clock
		// Rand spreads calls over time.
		Rand *rand.Rand
		// Failed is called for each failed call; nil is allowed.
		Failed func(error)
	}

	// Watcher follows the configuration at the service. A few hosts hold a watch; the others hear
	// of a change from peers and poll seldom, so that calls grow more slowly than the fleet.
	Watcher struct {
		keeper *Keeper
		opts   WatcherOptions
	}
)

const (
	// watchingHosts is how many hosts hold a watch at a time.
	watchingHosts = 8
	// watchBound is the longest watch; a silent one is replaced after it.
	watchBound = 2 * time.Second
	// pollPeriod is the time between two polls of a host without a watch.
	pollPeriod = 60 * time.Second
	// checkPeriod is how often a host without a watch checks whether it needs one.
	checkPeriod = 500 * time.Millisecond
	// retryDelay is the first delay after a failed call; it doubles up to retryDelayLimit.
	retryDelay      = 250 * time.Millisecond
	retryDelayLimit = 10 * time.Second
)

// NewWatcher returns a watcher that feeds keeper.
func NewWatcher(keeper *Keeper, opts WatcherOptions) *Watcher {
	return &Watcher{keeper: keeper, opts: opts}
}

// Run follows the configuration until ctx ends.
func (wa *Watcher) Run(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		err := wa.step(ctx)
		if err == nil {
			delay = retryDelay
			continue
		}
		if wa.opts.Failed != nil {
			wa.opts.Failed(err)
		}
		wa.wait(ctx, wa.jitter(delay))
		delay = min(2*delay, retryDelayLimit)
	}
}

func (wa *Watcher) step(ctx context.Context) error {
	kp := wa.keeper
	if kp.Revision() == 0 {
		if err := kp.Pull(ctx); err != nil || kp.Revision() > 0 {
			return err
		}
		wa.wait(ctx, wa.jitter(retryDelay))
		return nil
	}
	if wa.isWatching() {
		return wa.watchOnce(ctx)
	}
	end := wa.opts.Clock.Now().Add(wa.jitter(pollPeriod))
	for ctx.Err() == nil && wa.opts.Clock.Now().Before(end) && !wa.isWatching() {
		wa.wait(ctx, checkPeriod)
	}
	return kp.Pull(ctx)
}

// isWatching reports whether this host holds a watch: a few hosts do, and those without a peer.
func (wa *Watcher) isWatching() bool {
	return wa.opts.IsAmongFirst("configuration", watchingHosts) || (wa.opts.IsCutOff != nil && wa.opts.IsCutOff())
}

// watchOnce reads before it waits, so that a change whose watch stayed silent is seen within
// watchBound at the latest.
func (wa *Watcher) watchOnce(ctx context.Context) error {
	kp := wa.keeper
	en, err := kp.store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return err
	}
	if err = kp.take(ctx, en); err != nil {
		return err
	}
	en, err = kp.store.Watch(ctx, keyvalue.PurposeConfiguration, headKey, en.Revision(), watchBound)
	if err != nil {
		return err
	}
	return kp.take(ctx, en)
}

func (wa *Watcher) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-wa.opts.Clock.After(d):
	}
}

// jitter spreads calls over [d/2, 3d/2) so that hosts do not call at the same time.
func (wa *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(wa.opts.Rand.Int64N(int64(d)))
}
