package weights_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/weights"
)

type (
	// watchedStore answers each watch with what a test sends to responses.
	watchedStore struct {
		metastore.Store

		watched   chan struct{}
		responses chan metastore.Changes
	}

	// follower passes the state of a store to targets, as a host does.
	follower struct {
		targets *weights.Targets
		applied metastore.Revision
	}
)

func (*watchedStore) List(context.Context, string) (metastore.Snapshot, error) {
	return metastore.Snapshot{Revision: at(1), Items: []metastore.Item{{Key: selectionKey, Value: []byte("1"), Revision: at(1)}}}, nil
}

func (*watchedStore) Era() uint64 { return 1 }

func (ws *watchedStore) Watch(ctx context.Context, _ string, _ metastore.Revision, _ time.Duration) (metastore.Changes, error) {
	select {
	case ws.watched <- struct{}{}:
	case <-ctx.Done():
		return metastore.Changes{}, ctx.Err()
	}
	select {
	case ch := <-ws.responses:
		return ch, nil
	case <-ctx.Done():
		return metastore.Changes{}, ctx.Err()
	}
}

func (fo *follower) ApplySnapshot(sn metastore.Snapshot) {
	fo.targets.Interrupt()
	for _, it := range sn.Items {
		fo.ApplyEvent(metastore.Event{Item: it})
	}
}

func (fo *follower) ApplyEvent(ev metastore.Event) {
	fo.targets.Select(weights.Selection{Model: modelName, Version: uint64(ev.Item.Value[0] - '0'), Item: ev.Item})
	fo.applied = ev.Item.Revision
}

func (fo *follower) CallDelayed() { fo.targets.Interrupt() }

func (fo *follower) CallSucceeded(confirmedAt time.Duration) {
	fo.targets.Confirm(fo.applied, confirmedAt)
}

func (fo *follower) CallFailed(error) { fo.targets.Interrupt() }

func TestResponseThatWaitedForASuspendedHostDoesNotConfirmTheState(t *testing.T) {
	var boot atomic.Int64
	boot.Store(int64(time.Hour))
	sinceBoot := func() time.Duration { return time.Duration(boot.Load()) }
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	ck := clockwork.NewFakeClock()
	st := &watchedStore{watched: make(chan struct{}), responses: make(chan metastore.Changes)}
	fo := &follower{targets: weights.New(weights.Options{
		Clock: ck, SinceBoot: sinceBoot, Store: st, RecordPrefix: recordPrefix, CheckpointKey: checkpointKey,
		RecordDelay: func() time.Duration { return 0 }, MaxAge: func() time.Duration { return maxAge }, Log: lg,
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { metastore.Follow(ctx, metastore.FollowOptions{Store: st, Clock: ck, SinceBoot: sinceBoot}, fo) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	<-st.watched
	// The watch ends without changes during the suspension, and version 2 is selected after that.
	boot.Add(int64(3500 * time.Millisecond))
	st.responses <- metastore.Changes{Revision: at(1)}
	<-st.watched
	st.responses <- metastore.Changes{Revision: at(2), Events: []metastore.Event{{Item: metastore.Item{Key: selectionKey, Value: []byte("2"), Revision: at(2)}}}}
	<-st.watched
	require.Equal(t, uint64(2), fo.targets.Target(modelName))
	boot.Add(int64(maxAge - 3400*time.Millisecond))
	require.True(t, fo.targets.IsExpired(modelName, 1))
}
