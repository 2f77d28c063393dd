package release_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/release"
)

// listedStore is a metadata store that is only listed, in some time.
type listedStore struct {
	metastore.Store
	delay time.Duration
	calls atomic.Int64

	mu       sync.Mutex
	err      error
	versions []string
	revision metastore.Revision
}

func (ls *listedStore) List(ctx context.Context, _ string) (metastore.Snapshot, error) {
	ls.calls.Add(1)
	sn, err := ls.snapshot()
	select {
	case <-time.After(ls.delay):
	case <-ctx.Done():
		return metastore.Snapshot{}, ctx.Err()
	}
	return sn, err
}

func (ls *listedStore) snapshot() (metastore.Snapshot, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	value, _ := json.Marshal(map[string]any{"versions": ls.versions})
	it := metastore.Item{Key: prefix + "engines", Value: value, Revision: ls.revision}
	return metastore.Snapshot{Items: []metastore.Item{it}, Revision: ls.revision}, ls.err
}

func (ls *listedStore) set(revision metastore.Revision, versions ...string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.revision, ls.versions = revision, versions
}

// newListedHistory returns a history that has read a store with one version.
func newListedHistory(t *testing.T, delay time.Duration) (*listedStore, *release.History) {
	t.Helper()
	ls := &listedStore{delay: delay}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	hi := release.New(release.Options{
		Clock: clock.System(), Store: ls, Prefix: prefix, InService: func() map[string][]string { return nil }, Retention: retention, Log: lg,
	})
	ls.set(metastore.Revision{Era: 1, Number: 1}, "v1")
	sn, err := ls.snapshot()
	require.NoError(t, err)
	hi.ApplySnapshot(sn)
	version, ok := hi.Sole("engines")
	require.True(t, ok)
	require.Equal(t, "v1", version)
	return ls, hi
}

// Guards against a confirmation by a reading that began before it was asked for.
func TestConfirmationReadsAfterTheCall(t *testing.T) {
	t.Parallel()
	ls, hi := newListedHistory(t, 20*time.Millisecond)
	earlier := make(chan error)
	go func() { earlier <- hi.Confirm(context.Background()) }()
	require.Eventually(t, func() bool { return ls.calls.Load() == 1 }, waitTimeout, time.Millisecond)
	ls.set(metastore.Revision{Era: 1, Number: 2}, "v1", "v2")
	require.NoError(t, hi.Confirm(context.Background()))
	_, ok := hi.Sole("engines")
	require.False(t, ok)
	require.NoError(t, <-earlier)
}

// Guards against a reading of the store for each of many take-ups.
func TestConfirmationsShareReadings(t *testing.T) {
	t.Parallel()
	ls, hi := newListedHistory(t, time.Millisecond)
	began := time.Now()
	var wg sync.WaitGroup
	for range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = hi.Confirm(context.Background())
		}()
	}
	wg.Wait()
	require.LessOrEqual(t, ls.calls.Load(), 2+int64(time.Since(began)/(100*time.Millisecond)))
}

// Guards against a confirmation by a store that does not answer, or by the copy from which it was restored.
func TestStoreThatIsAwayConfirmsNothing(t *testing.T) {
	t.Parallel()
	ls, hi := newListedHistory(t, 0)
	require.NoError(t, hi.Confirm(context.Background()))
	ls.set(metastore.Revision{Era: 2, Number: 1}, "v1")
	var outdated *release.OutdatedError
	require.ErrorAs(t, hi.Confirm(context.Background()), &outdated)
	sn, err := ls.snapshot()
	require.NoError(t, err)
	hi.ApplySnapshot(sn)
	require.ErrorAs(t, hi.Confirm(context.Background()), &outdated)
	ls.mu.Lock()
	ls.err = errors.New("away")
	ls.mu.Unlock()
	require.Error(t, hi.Confirm(context.Background()))
	slow, other := newListedHistory(t, time.Minute)
	require.Error(t, other.Confirm(context.Background()))
	require.Equal(t, int64(1), slow.calls.Load())
}
