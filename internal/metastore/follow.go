package metastore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// watchTimeout is how long the store may hold one watch open. A dead connection is detected after
	// this plus the 500 ms margin of the store's client; the sum must stay below 2 s, the deadline for
	// applying a change.
	watchTimeout = 1300 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff limit the backoff, which doubles with each failed call in a
	// row. The delay before the next call is random, between 0.5 and 1.5 times the backoff.
	minRetryBackoff = 60 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
)

type (
	// Follower receives the state below a prefix and its changes. Its methods are called from one
	// goroutine.
	Follower interface {
		// ApplySnapshot is called with the complete state at the start, and again after the store has
		// compacted changes that the follower had not received.
		ApplySnapshot(sn Snapshot)
		// ApplyEvent is called with each event, in order.
		ApplyEvent(ev Event)
		// CallSucceeded is called after each successful call to the store.
		CallSucceeded()
		// CallFailed is called after each failed call to the store. Compacted history is not a failure.
		CallFailed(err error)
	}
)

// Follow delivers the state below prefix to fo until ctx ends. It lists the complete state, watches
// from its revision, and lists it again when the store has compacted the history in between. It retries
// failed calls with backoff. After each watch with changes it pauses for the duration that batchPause
// returns, so that changes arrive in batches.
func Follow(ctx context.Context, st Store, ck clock.Clock, prefix string, batchPause func() time.Duration, fo Follower) {
	var (
		revision uint64
		synced   bool
		backoff  = minRetryBackoff
	)
	for ctx.Err() == nil {
		var err error
		hasEvents := false
		if synced {
			var ch Changes
			ch, err = st.Watch(ctx, prefix, revision, watchTimeout)
			if IsCompacted(err) {
				synced = false
				continue
			}
			if err == nil {
				for _, ev := range ch.Events {
					fo.ApplyEvent(ev)
				}
				revision = max(revision, ch.Revision)
				hasEvents = len(ch.Events) > 0
			}
		} else {
			var sn Snapshot
			sn, err = st.List(ctx, prefix)
			if err == nil {
				fo.ApplySnapshot(sn)
				revision, synced = sn.Revision, true
			}
		}
		if err == nil {
			fo.CallSucceeded()
			backoff = minRetryBackoff
			if hasEvents {
				select {
				case <-ctx.Done():
				case <-ck.After(batchPause()):
				}
			}
			continue
		}
		fo.CallFailed(err)
		select {
		case <-ctx.Done():
		case <-ck.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}
