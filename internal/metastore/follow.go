package metastore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// maxWatchWait is how long the store may hold one watch open. A dead connection is detected after
	// this plus the 500 ms margin of the store's client; the sum must stay below 2 s, the deadline for
	// applying a change.
	maxWatchWait = 1300 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff limit the backoff, which doubles with each failed call in a
	// row. The delay before the next call is random, between 0.5 and 1.5 times the backoff.
	minRetryBackoff = 60 * time.Millisecond
	// maxResponseDelay is how long after a watch must have ended its response may arrive in time.
	maxResponseDelay = 500 * time.Millisecond
	maxRetryBackoff  = 500 * time.Millisecond
	// maxFeedRetryBackoff replaces maxRetryBackoff for hosts with a feed, which together would otherwise call
	// a store that is down hundreds of times a second. They check every feedCheckInterval whether the feed
	// covers the state again.
	maxFeedRetryBackoff = 2 * time.Second
	feedCheckInterval   = 200 * time.Millisecond
)

type (
	// Follower receives the state below a prefix and its changes. Its methods are called from one
	// goroutine.
	Follower interface {
		// ApplySnapshot is called with the complete state at the start, and again after the store has
		// compacted changes that the follower had not received, or has been restored from a copy.
		ApplySnapshot(sn Snapshot)
		// ApplyEvent is called with each event, in order.
		ApplyEvent(ev Event)
		// CallDelayed is called before the changes of a late response are applied. The response may have been
		// kept from a host that was suspended, so that its changes, and others, may have happened long before.
		CallDelayed()
		// CallSucceeded is called after each successful call to the store, once its changes have been applied.
		// The state was complete at confirmedAt, a reading of FollowOptions.SinceBoot; that is now, unless the
		// response was late.
		CallSucceeded(confirmedAt time.Duration)
		// CallFailed is called after each failed call to the store. Compacted history is not a failure.
		CallFailed(err error)
	}

	// Feed delivers changes that another host has received from the store.
	Feed interface {
		// Next returns the changes after revision, and waits for some. It fails if the store must be asked
		// instead. An error with a method IsStoreLost that returns true also counts as a failed call to the
		// store, and after one with a method IsBehind that returns true the store is known to be available. The first
		// result after a failure may be empty.
		Next(ctx context.Context, revision Revision) (Changes, error)
	}

	// Relay receives what the store returned, to pass it to other hosts.
	Relay interface {
		// Record is called with each response to a watch from revision after that was sent at requestedAt,
		// a reading of FollowOptions.SinceBoot.
		Record(after Revision, ch Changes, requestedAt time.Duration)
		// RecordFailure is called after each failed call.
		RecordFailure()
	}

	// FollowOptions configures Follow. Only Store is required.
	FollowOptions struct {
		Store Store
		// Clock is the source of time; nil means the system clock.
		Clock clock.Clock
		// SinceBoot is a clock that also advances while the host is suspended; nil means clock.SinceBoot.
		SinceBoot func() time.Duration
		// Prefix selects the keys; empty means all.
		Prefix string
		// BatchPause returns the pause after each watch with changes, so that changes arrive in batches;
		// nil means none.
		BatchPause func() time.Duration
		// WatchWait returns how long the store may hold a watch open; nil means 1.3 s, which is also the
		// maximum.
		WatchWait func() time.Duration
		// Feed delivers changes without calls to the store; nil means that there is none.
		Feed Feed
		// OnFeedChange is called when the feed begins to cover the state, with a nil error, and when it
		// ceases to, with the reason; nil means that nobody is told.
		OnFeedChange func(err error)
		// Relaying reports whether this host has to notice itself that the store is back, because it is a relay or there are
		// none; nil means never.
		Relaying func() bool
		// Relay receives the responses of the store; it may be nil.
		Relay Relay
	}

	// followLoop is the state of Follow: the revision up to which all changes have been applied, the highest era that was known
	// when the complete state was listed, whether it has been, whether the feed covers it, whether the last call failed, and the
	// backoff after the next failure. It is behind if the feed says so.
	followLoop struct {
		opts     FollowOptions
		fo       Follower
		revision Revision
		era      uint64
		synced   bool
		covered  bool
		failing  bool
		behind   bool
		backoff  time.Duration
	}
)

// Follow delivers the state below a prefix to a follower until ctx ends. It lists the complete state, watches
// from its revision, and lists it again when the store has compacted the history in between or was restored. It retries failed
// calls with backoff. While a feed covers the state, its changes replace the watches.
func Follow(ctx context.Context, opts FollowOptions, fo Follower) {
	opts = opts.withDefaults()
	lp := &followLoop{opts: opts, fo: fo, backoff: minRetryBackoff}
	for ctx.Err() == nil {
		lp.synced = lp.synced && opts.Store.Era() <= lp.era
		if lp.synced && opts.Feed != nil && lp.followFeed(ctx) {
			continue
		}
		pause, err := lp.callStore(ctx)
		switch {
		case IsCompacted(err), IsRestored(err):
			lp.synced = false
			continue
		case err == nil:
			lp.backoff, lp.failing = minRetryBackoff, false
		default:
			lp.failing = true
			fo.CallFailed(err)
			if opts.Relay != nil {
				opts.Relay.RecordFailure()
			}
			pause = lp.backoff/2 + rand.N(lp.backoff)
			lp.backoff = min(2*lp.backoff, opts.maxBackoff())
		}
		lp.wait(ctx, pause, err != nil)
	}
}

// maxBackoff returns the limit of the backoff. With a feed, the relays notice first that the store is back.
func (opts FollowOptions) maxBackoff() time.Duration {
	if opts.Feed != nil && !opts.isRelaying() {
		return maxFeedRetryBackoff
	}
	return maxRetryBackoff
}

func (opts FollowOptions) isRelaying() bool { return opts.Relaying != nil && opts.Relaying() }

// wait waits for the duration d. After a failure it returns as soon as the feed covers the state, and at most maxRetryBackoff after
// the feed shows that the store is available.
func (lp *followLoop) wait(ctx context.Context, d time.Duration, failed bool) {
	checksFeed := failed && lp.synced && lp.opts.Feed != nil
	for d > 0 && ctx.Err() == nil {
		step := d
		if checksFeed {
			step = min(d, feedCheckInterval)
		}
		select {
		case <-ctx.Done():
		case <-lp.opts.Clock.After(step):
		}
		d -= step
		if checksFeed && lp.followFeed(ctx) {
			return
		}
		if lp.behind && d > maxRetryBackoff {
			d = rand.N(maxRetryBackoff)
		}
	}
}

func (opts FollowOptions) withDefaults() FollowOptions {
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	if opts.SinceBoot == nil {
		opts.SinceBoot = clock.SinceBoot
	}
	if opts.BatchPause == nil {
		opts.BatchPause = func() time.Duration { return 0 }
	}
	if opts.WatchWait == nil {
		opts.WatchWait = func() time.Duration { return maxWatchWait }
	}
	return opts
}

// followFeed waits for changes from the feed and applies them. It returns false if the store must be asked.
func (lp *followLoop) followFeed(ctx context.Context) bool {
	ch, err := lp.opts.Feed.Next(ctx, lp.revision)
	var behind interface{ IsBehind() bool }
	lp.behind = errors.As(err, &behind) && behind.IsBehind()
	if covered := err == nil; covered != lp.covered && ctx.Err() == nil {
		lp.covered = covered
		if lp.opts.OnFeedChange != nil {
			lp.opts.OnFeedChange(err)
		}
	}
	if err != nil {
		var lost interface{ IsStoreLost() bool }
		if errors.As(err, &lost) && lost.IsStoreLost() {
			lp.fo.CallFailed(err)
		}
		return false
	}
	lp.apply(ch)
	lp.fo.CallSucceeded(lp.opts.SinceBoot())
	return true
}

// callStore lists or watches the state. It returns the pause after a successful call.
func (lp *followLoop) callStore(ctx context.Context) (pause time.Duration, err error) {
	requestedAt := lp.opts.SinceBoot()
	if !lp.synced {
		era := lp.opts.Store.Era()
		sn, err := lp.opts.Store.List(ctx, lp.opts.Prefix)
		if err != nil {
			return 0, err
		}
		lp.fo.ApplySnapshot(sn)
		lp.revision, lp.era, lp.synced = sn.Revision, max(era, sn.Revision.Era), true
		lp.fo.CallSucceeded(requestedAt)
		return 0, nil
	}
	after, wait := lp.revision, min(lp.opts.WatchWait(), maxWatchWait)
	if lp.failing {
		// What depends on the end of an outage shall not wait for a change.
		wait = 0
	}
	ch, err := lp.opts.Store.Watch(ctx, lp.opts.Prefix, after, wait)
	if err != nil {
		return 0, err
	}
	confirmedAt := lp.opts.SinceBoot()
	if confirmedAt-requestedAt > wait+maxResponseDelay {
		confirmedAt = requestedAt
		lp.fo.CallDelayed()
	}
	lp.apply(ch)
	lp.fo.CallSucceeded(confirmedAt)
	if lp.opts.Relay != nil {
		lp.opts.Relay.Record(after, ch, requestedAt)
	}
	if len(ch.Events) > 0 {
		pause = lp.opts.BatchPause()
	}
	return pause, nil
}

func (lp *followLoop) apply(ch Changes) {
	for _, ev := range ch.Events {
		lp.fo.ApplyEvent(ev)
	}
	lp.revision = lp.revision.Latest(ch.Revision)
}
