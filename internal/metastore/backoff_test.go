package metastore_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

var errDown = errors.New("down")

type (
	// failingStore lists an empty state and then fails all watches.
	failingStore struct {
		metastore.Store
		watches atomic.Int64
	}

	// recoveringStore lists an empty state, fails the first watch and records how long the others may wait.
	recoveringStore struct {
		metastore.Store
		waits chan time.Duration
		calls int
	}

	// behindFeed shows that changes are missing while isBehind is set.
	behindFeed struct{ isBehind atomic.Bool }

	// behindError is the error of a behindFeed.
	behindError struct{ isBehind bool }

	// fakeFeed covers the state while covered is set.
	fakeFeed struct{ covered atomic.Bool }
)

// at returns the revision of the first era with the given number.
func at(number uint64) metastore.Revision { return metastore.Revision{Era: 1, Number: number} }

func (*failingStore) List(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{Revision: at(1)}, nil
}

func (*failingStore) Era() uint64 { return 1 }

func (fs *failingStore) Watch(context.Context, string, metastore.Revision, time.Duration) (metastore.Changes, error) {
	fs.watches.Add(1)
	return metastore.Changes{}, metastore.NewUnavailableError("watch", false, errDown)
}

func (*recoveringStore) List(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{Revision: at(1)}, nil
}

func (*recoveringStore) Era() uint64 { return 1 }

func (rs *recoveringStore) Watch(ctx context.Context, _ string, revision metastore.Revision, wait time.Duration) (metastore.Changes, error) {
	if rs.calls++; rs.calls == 1 {
		return metastore.Changes{}, metastore.NewUnavailableError("watch", false, errDown)
	}
	select {
	case rs.waits <- wait:
	case <-ctx.Done():
	}
	return metastore.Changes{Revision: revision}, nil
}

func (ff *fakeFeed) Next(ctx context.Context, revision metastore.Revision) (metastore.Changes, error) {
	if !ff.covered.Load() {
		return metastore.Changes{}, errDown
	}
	if revision == at(1) {
		return metastore.Changes{Events: []metastore.Event{{Item: metastore.Item{Key: "k", Value: []byte("v"), Revision: at(2)}}}, Revision: at(2)}, nil
	}
	<-ctx.Done()
	return metastore.Changes{}, ctx.Err()
}

func (bf *behindFeed) Next(context.Context, metastore.Revision) (metastore.Changes, error) {
	return metastore.Changes{}, behindError{isBehind: bf.isBehind.Load()}
}

func (behindError) Error() string { return "not covered" }

func (be behindError) IsBehind() bool { return be.isBehind }

// followFailingStore follows a failing store for a simulated time and returns the number of watches.
func followFailingStore(t *testing.T, opts metastore.FollowOptions, d time.Duration) (watches int64, rp *replica, ck *clockwork.FakeClock) {
	const step = 20 * time.Millisecond
	ck = clockwork.NewFakeClock()
	st := &failingStore{}
	opts.Store, opts.Clock = st, ck
	rp = &replica{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		metastore.Follow(ctx, opts, rp)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		require.NoError(t, ck.BlockUntilContext(ctx, 1))
		ck.Advance(step)
	}
	require.NoError(t, ck.BlockUntilContext(ctx, 1))
	return st.watches.Load(), rp, ck
}

// Guards against a storm of calls while the store is down: hundreds of hosts each called it about twice a second.
func TestHostsWithARelayCallAFailingStoreRarely(t *testing.T) {
	t.Parallel()
	const outage = 20 * time.Second
	alone, _, _ := followFailingStore(t, metastore.FollowOptions{}, outage)
	relay, _, _ := followFailingStore(t, metastore.FollowOptions{Feed: &fakeFeed{}, Relaying: func() bool { return true }}, outage)
	covered, _, _ := followFailingStore(t, metastore.FollowOptions{Feed: &fakeFeed{}}, outage)
	require.Greater(t, alone, int64(outage/time.Second))
	require.Greater(t, relay, int64(outage/time.Second), "a relay must notice soon that the store is back")
	require.LessOrEqual(t, covered, int64(outage/time.Second))
}

// A host that waits for its next call to the store follows the feed as soon as that covers the state.
func TestFeedEndsTheBackoff(t *testing.T) {
	t.Parallel()
	ff := &fakeFeed{}
	var feedChanges atomic.Int64
	opts := metastore.FollowOptions{Feed: ff, OnFeedChange: func(err error) {
		if err == nil {
			feedChanges.Add(1)
		}
	}}
	_, rp, ck := followFailingStore(t, opts, 10*time.Second)
	ff.covered.Store(true)
	ck.Advance(200 * time.Millisecond)
	require.Eventually(t, func() bool { return rp.valueOf("k") == "v" }, waitTimeout, pollInterval)
	require.Equal(t, int64(1), feedChanges.Load())
}

// Guards against a host that notices only at the end of a long watch that the store is back.
func TestFirstWatchAfterFailureDoesNotWait(t *testing.T) {
	rs := &recoveringStore{waits: make(chan time.Duration)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		metastore.Follow(ctx, metastore.FollowOptions{Store: rs}, &replica{})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	require.Zero(t, <-rs.waits)
	require.Equal(t, 1300*time.Millisecond, <-rs.waits)
}

// Guards against a host that has been cut off, and waits up to 3 s for its next call although it hears of changes that it lacks.
func TestMissingChangesEndTheBackoff(t *testing.T) {
	t.Parallel()
	bf := &behindFeed{}
	rarely, _, _ := followFailingStore(t, metastore.FollowOptions{Feed: bf}, 20*time.Second)
	require.LessOrEqual(t, rarely, int64(20))
	other := &behindFeed{}
	other.isBehind.Store(true)
	often, _, _ := followFailingStore(t, metastore.FollowOptions{Feed: other}, 20*time.Second)
	require.Greater(t, often, int64(30))
	require.LessOrEqual(t, often, int64(80))
}
