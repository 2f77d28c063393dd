package metastore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// watchWait bounds one watch. A connection that went silent is noticed after this and
	// watchMargin, which must stay below the 2 s in which a change has to be in force.
	watchWait = 1300 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call; the pause doubles between them.
	retryFirst = 60 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

type (
	// Follower receives the state below a prefix and its changes, from one goroutine.
	Follower interface {
		// Replace is called with the whole state at the start and after lost history.
		Replace(sn Snapshot)
		// Change is called with each event, in order.
		Change(ev Event)
		// Reached is called after each answer of the store.
		Reached()
		// Lost is called after each call that failed.
		Lost(err error)
	}
)

// Follow delivers the state below prefix to fo until ctx ends. It reads the state whole, watches
// from there, and reads it whole again when the store has dropped the history in between. After each
// watch that brought changes it pauses for what pause returns, so that changes come in groups.
func Follow(ctx context.Context, st Store, ck clock.Clock, prefix string, pauseOf func() time.Duration, fo Follower) {
	var (
		revision uint64
		known    bool
		pause    = retryFirst
	)
	for ctx.Err() == nil {
		var err error
		gather := false
		if known {
			var ch Changes
			ch, err = st.Watch(ctx, prefix, revision, watchWait)
			if IsCompacted(err) {
				known = false
				continue
			}
			if err == nil {
				for _, ev := range ch.Events {
					fo.Change(ev)
				}
				revision = max(revision, ch.Revision)
				gather = len(ch.Events) > 0
			}
		} else {
			var sn Snapshot
			sn, err = st.List(ctx, prefix)
			if err == nil {
				fo.Replace(sn)
				revision, known = sn.Revision, true
			}
		}
		if err == nil {
			fo.Reached()
			pause = retryFirst
			if gather {
				select {
				case <-ctx.Done():
				case <-ck.After(pauseOf()):
				}
			}
			continue
		}
		fo.Lost(err)
		select {
		case <-ctx.Done():
		case <-ck.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, retryMost)
	}
}
