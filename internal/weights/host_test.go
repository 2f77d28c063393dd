package weights_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/weights"
)

const (
	modelName     = "crew"
	recordPrefix  = "hosts/named/"
	checkpointKey = "hosts/checkpoint"
	selectionKey  = "operator/version/" + modelName
	maxAge        = 15 * time.Second
	step          = 100 * time.Millisecond
)

type (
	// memoryStore is a metadata store in memory. Only its Commit method is used by hosts.
	memoryStore struct {
		metastore.Store

		mu       sync.Mutex
		revision uint64
		restores uint64
		items    map[string]metastore.Item
		commits  int
		// onCommit is called between a commit and its response; it may be nil.
		onCommit func(tx metastore.Transaction)
	}

	// host is a process that follows a memory store: it applies changes as soon as deliver is called.
	host struct {
		t       *testing.T
		st      *memoryStore
		targets *weights.Targets
		applied metastore.Revision
		stop    func()
		// sinceBoot is the boot-time clock of the machine.
		sinceBoot func() time.Duration
		// suspended is how long the machine of the host has been suspended, clockStep how far its wall clock
		// has been stepped.
		suspended, clockStep time.Duration
	}
)

// steppedClock is the wall clock of a host.
type steppedClock struct {
	*clockwork.FakeClock

	ho *host
}

func (sc steppedClock) Now() time.Time { return sc.FakeClock.Now().Add(sc.ho.clockStep) }

// at returns the revision of the first era with the given number.
func at(number uint64) metastore.Revision { return metastore.Revision{Era: 1, Number: number} }

func newMemoryStore() *memoryStore { return &memoryStore{items: make(map[string]metastore.Item)} }

// Commit applies a transaction if its conditions hold.
func (st *memoryStore) Commit(_ context.Context, tx metastore.Transaction) (metastore.Revision, error) {
	revision, err := st.apply(tx)
	if err == nil && st.onCommit != nil {
		st.onCommit(tx)
	}
	return revision, err
}

func (st *memoryStore) apply(tx metastore.Transaction) (metastore.Revision, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, pc := range tx.Preconditions {
		if st.items[pc.Key].Revision != pc.Revision {
			return metastore.Revision{}, &metastore.ConflictError{}
		}
	}
	st.revision++
	st.commits++
	for _, pu := range tx.Puts {
		st.items[pu.Key] = metastore.Item{Key: pu.Key, Value: pu.Value, Revision: st.at(st.revision)}
	}
	return st.at(st.revision), nil
}

// at returns the revision with the given number in the current era.
func (st *memoryStore) at(number uint64) metastore.Revision {
	return metastore.Revision{Era: 1 + st.restores, Number: number}
}

func (st *memoryStore) has(key string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, ok := st.items[key]
	return ok
}

// restoreEmpty restores the store from a copy without items.
func (st *memoryStore) restoreEmpty() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.restores++
	st.revision, st.items = 1, make(map[string]metastore.Item)
}

// selectVersion writes the operator's choice of a version.
func (st *memoryStore) selectVersion(version uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.items[selectionKey] = metastore.Item{Key: selectionKey, Value: fmt.Append(nil, version), Revision: st.at(st.revision)}
}

// changes returns the items that changed after revision, oldest first.
func (st *memoryStore) changes(revision metastore.Revision) []metastore.Item {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []metastore.Item
	for _, it := range st.items {
		if it.Revision.After(revision) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b metastore.Item) int { return a.Revision.Compare(b.Revision) })
	return out
}

// startHost starts a process that reads the store and then records versions until it is stopped.
func startHost(t *testing.T, ck *clockwork.FakeClock, st *memoryStore) *host {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	boot := ck.Now().Add(-time.Hour)
	ho := &host{t: t, st: st}
	ho.sinceBoot = func() time.Duration { return ck.Now().Sub(boot) + ho.suspended }
	ho.targets = weights.New(weights.Options{
		Clock: steppedClock{FakeClock: ck, ho: ho}, SinceBoot: ho.sinceBoot, Store: st, RecordPrefix: recordPrefix, CheckpointKey: checkpointKey,
		RecordDelay: func() time.Duration { return 0 }, MaxAge: func() time.Duration { return maxAge },
		Log: lg,
	})
	ho.deliver()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ho.targets.Run(ctx)
	}()
	ho.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(ho.stop)
	return ho
}

// deliver applies the changes of the store since the last call, those that hosts have written first.
func (ho *host) deliver() {
	changes := ho.st.changes(ho.applied)
	for _, it := range changes {
		ho.applied = it.Revision
		require.NoError(ho.t, ho.targets.ApplyItem(it))
	}
	for _, it := range changes {
		if it.Key != selectionKey {
			continue
		}
		var version uint64
		_, err := fmt.Sscan(string(it.Value), &version)
		require.NoError(ho.t, err)
		ho.targets.Select(weights.Selection{Model: modelName, Version: version, Item: it})
	}
	ho.targets.Confirm(ho.applied, ho.sinceBoot())
}

// run lets a duration pass in steps, after each of which the hosts have applied all changes.
func run(t *testing.T, ck *clockwork.FakeClock, d time.Duration, hosts ...*host) {
	for range d / step {
		advance(t, ck, step, len(hosts))
		for _, ho := range hosts {
			ho.deliver()
		}
	}
}

// advance lets a duration pass in steps, after each of which the given number of hosts have done what was due.
func advance(t *testing.T, ck *clockwork.FakeClock, d time.Duration, hosts int) {
	for range d / step {
		require.NoError(t, ck.BlockUntilContext(t.Context(), hosts))
		ck.Advance(step)
		require.NoError(t, ck.BlockUntilContext(t.Context(), hosts))
	}
}
