package release_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/release"
)

const (
	prefix      = "software/"
	retention   = time.Minute
	waitTimeout = 5 * time.Second
)

type (
	// memoryStore is a metadata store with transactions only.
	memoryStore struct {
		metastore.Store

		mu       sync.Mutex
		items    map[string]metastore.Item
		revision uint64
		writes   int
		watchers []*release.History
	}

	// host is a host with the endpoints that it sees.
	host struct {
		history *release.History
		clock   *clockwork.FakeClock

		mu        sync.Mutex
		inService map[string][]string
	}
)

func newMemoryStore() *memoryStore { return &memoryStore{items: make(map[string]metastore.Item)} }

func (ms *memoryStore) Commit(_ context.Context, tx metastore.Transaction) (metastore.Revision, error) {
	ms.mu.Lock()
	for _, pc := range tx.Preconditions {
		if ms.items[pc.Key].Revision != pc.Revision {
			ms.mu.Unlock()
			return metastore.Revision{}, &metastore.ConflictError{}
		}
	}
	ms.revision++
	ms.writes++
	re := metastore.Revision{Number: ms.revision}
	var events []metastore.Event
	for _, pu := range tx.Puts {
		it := metastore.Item{Key: pu.Key, Value: pu.Value, Revision: re}
		ms.items[pu.Key] = it
		events = append(events, metastore.Event{Item: it})
	}
	watchers := append([]*release.History(nil), ms.watchers...)
	ms.mu.Unlock()
	for _, hi := range watchers {
		for _, ev := range events {
			hi.ApplyEvent(ev)
		}
	}
	return re, nil
}

func (ms *memoryStore) snapshot() metastore.Snapshot {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	sn := metastore.Snapshot{Revision: metastore.Revision{Number: ms.revision}}
	for _, it := range ms.items {
		sn.Items = append(sn.Items, it)
	}
	return sn
}

func (ms *memoryStore) writeCount() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.writes
}

// startHost starts a host that reads the store whole and follows it.
func startHost(t *testing.T, ms *memoryStore, versions ...string) *host {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	ho := &host{clock: clockwork.NewFakeClock(), inService: map[string][]string{"engines": versions}}
	ho.history = release.New(release.Options{
		Clock: ho.clock, Store: ms, Prefix: prefix, InService: ho.versions, RecordDelay: func() time.Duration { return 0 },
		Retention: retention, Log: lg,
	})
	ho.history.ApplySnapshot(ms.snapshot())
	ms.mu.Lock()
	ms.watchers = append(ms.watchers, ho.history)
	ms.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ho.history.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ho
}

func (ho *host) versions() map[string][]string {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return map[string][]string{"engines": append([]string(nil), ho.inService["engines"]...)}
}

func (ho *host) setVersions(versions ...string) {
	ho.mu.Lock()
	ho.inService["engines"] = versions
	ho.mu.Unlock()
	ho.history.NotifyChanged()
}

func (ho *host) awaitRecorded(t *testing.T, versions ...string) {
	require.Eventually(t, func() bool {
		for _, version := range versions {
			if !ho.history.IsRecorded("engines", version) {
				return false
			}
		}
		return true
	}, waitTimeout, time.Millisecond)
}

// advance moves the clock of a host in steps, as its checks need.
func (ho *host) advance(t *testing.T, d time.Duration) {
	for range int(d / time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		require.NoError(t, ho.clock.BlockUntilContext(ctx, 1))
		cancel()
		ho.clock.Advance(time.Second)
	}
}

func TestVersionsAreRecorded(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	ho := startHost(t, ms, "v1")
	ho.awaitRecorded(t, "v1")
	version, ok := ho.history.Sole("engines")
	require.True(t, ok)
	require.Equal(t, "v1", version)
	ho.setVersions("v1", "v2")
	_, ok = ho.history.Sole("engines")
	require.False(t, ok, "a version counts before it is recorded")
	ho.awaitRecorded(t, "v1", "v2")
	require.Equal(t, 2, ms.writeCount())
}

// Guards against a host that takes the endpoints which serve now for those that served when a stream began.
func TestHostThatStartsLaterKnowsVersionsThatHaveLeft(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	first := startHost(t, ms, "v1", "v2")
	first.awaitRecorded(t, "v1", "v2")
	second := startHost(t, ms, "v2")
	_, ok := second.history.Sole("engines")
	require.False(t, ok)
	second.advance(t, retention/2)
	require.True(t, second.history.IsRecorded("engines", "v1"))
	_, ok = second.history.Sole("engines")
	require.False(t, ok)
}

func TestVersionIsForgottenAfterItsLastStream(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	ho := startHost(t, ms, "v1", "v2")
	ho.awaitRecorded(t, "v1", "v2")
	ho.setVersions("v2")
	ho.advance(t, retention+3*time.Second)
	require.Eventually(t, func() bool { return !ho.history.IsRecorded("engines", "v1") }, waitTimeout, time.Millisecond)
	version, ok := ho.history.Sole("engines")
	require.True(t, ok)
	require.Equal(t, "v2", version)
}

func TestNothingIsKnownWithoutRecord(t *testing.T) {
	t.Parallel()
	hi := release.New(release.Options{InService: func() map[string][]string { return map[string][]string{"engines": {"v1"}} }})
	_, ok := hi.Sole("engines")
	require.False(t, ok)
}

// Guards against losing a version with the record of a store that was restored from an older copy.
func TestRecordIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	ho := startHost(t, ms, "v1")
	ho.awaitRecorded(t, "v1")
	copied := ms.snapshot()
	ho.setVersions("v1", "v2")
	ho.awaitRecorded(t, "v1", "v2")
	ho.setVersions("v2")
	ms.mu.Lock()
	for _, it := range copied.Items {
		ms.items[it.Key] = it
	}
	ms.mu.Unlock()
	copied.Revision.Era = 1
	ho.history.ApplySnapshot(copied)
	ho.awaitRecorded(t, "v1", "v2")
}

func TestInvalidRecordIsReplaced(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	ms.revision = 1
	ms.items[prefix+"engines"] = metastore.Item{Key: prefix + "engines", Value: []byte("{"), Revision: metastore.Revision{Number: 1}}
	ho := startHost(t, ms, "v1")
	ho.awaitRecorded(t, "v1")
}
