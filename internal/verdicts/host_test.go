package verdicts_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

const (
	prefix  = "hosts/quarantine/"
	service = "engines"
	step    = 100 * time.Millisecond
)

var errDown = errors.New("down")

type (
	// memoryStore is a metadata store in memory. Only its Commit method is used by hosts.
	memoryStore struct {
		metastore.Store

		mu      sync.Mutex
		items   map[string]metastore.Item
		history []metastore.Event
		// commits counts the transactions that were applied, conflicts those whose conditions did not hold.
		commits, conflicts int
		isDown             bool
		// restores counts how often the store was restored from a copy.
		restores uint64
	}

	// host is a process that follows a memory store: it applies changes as soon as deliver is called.
	host struct {
		st      *memoryStore
		tracker *quarantine.PartTracker
		records *verdicts.Records
		logs    *logtest.Hook
		applied int
		// isCutOff is set while no changes of the store reach the host.
		isCutOff bool
		stop     func()
	}

	// hosts are the hosts of a test, with their clock and store.
	hosts struct {
		t   *testing.T
		ck  *clockwork.FakeClock
		st  *memoryStore
		all []*host
	}
)

// at returns the revision of the first era with the given number.
func at(number uint64) metastore.Revision { return metastore.Revision{Era: 1, Number: number} }

// Commit applies a transaction if its conditions hold.
func (st *memoryStore) Commit(_ context.Context, tx metastore.Transaction) (metastore.Revision, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isDown {
		return metastore.Revision{}, metastore.NewUnavailableError("commit", false, errDown)
	}
	for _, pc := range tx.Preconditions {
		if st.items[pc.Key].Revision != pc.Revision {
			st.conflicts++
			return metastore.Revision{}, &metastore.ConflictError{}
		}
	}
	st.commits++
	for _, pu := range tx.Puts {
		st.put(pu.Key, pu.Value)
	}
	for _, key := range tx.Removals {
		st.remove(key)
	}
	return st.at(len(st.history)), nil
}

func (st *memoryStore) put(key string, value []byte) {
	it := metastore.Item{Key: key, Value: value, Revision: st.at(len(st.history) + 1)}
	st.items[key] = it
	st.history = append(st.history, metastore.Event{Item: it})
}

func (st *memoryStore) remove(key string) {
	delete(st.items, key)
	st.history = append(st.history, metastore.Event{Item: metastore.Item{Key: key, Revision: st.at(len(st.history) + 1)}, Removed: true})
}

// at returns the revision with the given number in the current era.
func (st *memoryStore) at(number int) metastore.Revision {
	return metastore.Revision{Era: 1 + st.restores, Number: uint64(number)}
}

// backup returns a function that restores the store from a copy of its current state, after which the hosts read it whole.
func (hs *hosts) backup() (restore func()) {
	hs.st.mu.Lock()
	defer hs.st.mu.Unlock()
	items, history := maps.Clone(hs.st.items), slices.Clone(hs.st.history)
	return func() {
		hs.st.mu.Lock()
		hs.st.items, hs.st.history = items, history
		hs.st.restores++
		hs.st.mu.Unlock()
		for _, ho := range hs.all {
			ho.records.Restore()
			ho.list()
		}
	}
}

// write writes an item as an operator does.
func (st *memoryStore) write(t *testing.T, ve quarantine.Verdict) {
	value, err := verdicts.Encode(ve)
	require.NoError(t, err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(verdicts.Key(prefix, ve.Part), value)
}

// erase removes the item of a part as an operator does.
func (st *memoryStore) erase(part string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.remove(verdicts.Key(prefix, part))
}

func (st *memoryStore) snapshot() (sn metastore.Snapshot, events int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return metastore.Snapshot{Items: slices.Collect(maps.Values(st.items)), Revision: st.at(len(st.history))}, len(st.history)
}

// parts returns the parts that have items.
func (st *memoryStore) parts(t *testing.T) []string {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []string
	for _, it := range st.items {
		ve, err := verdicts.Decode(it.Value, time.Now())
		require.NoError(t, err)
		out = append(out, ve.Part)
	}
	slices.Sort(out)
	return out
}

func (st *memoryStore) counts() (commits, conflicts int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.commits, st.conflicts
}

// startHosts starts processes that follow a new store.
func startHosts(t *testing.T, count int) *hosts {
	hs := &hosts{t: t, ck: clockwork.NewFakeClock(), st: &memoryStore{items: make(map[string]metastore.Item)}}
	for range count {
		hs.start()
	}
	return hs
}

// start starts a process. The first one writes at once, the others after the time of a watch.
func (hs *hosts) start() *host {
	lg, hook := logtest.NewNullLogger()
	lg.SetLevel(logrus.DebugLevel)
	ho := &host{st: hs.st, logs: hook}
	ho.tracker = quarantine.NewPartTracker(quarantine.PartOptions{Clock: hs.ck, Host: "host", OnChange: func(ch quarantine.Change) {
		if ch.Kind == quarantine.PartCleared {
			ho.records.NoteCleared(ch.Verdict.Part)
		}
	}})
	delay := time.Duration(0)
	if rank := len(hs.all); rank > 0 {
		delay = 2*time.Second + time.Duration(rank)*300*time.Millisecond
	}
	ho.records = verdicts.New(verdicts.Options{
		Clock: hs.ck, Store: hs.st, Tracker: ho.tracker, Prefix: prefix, RecordDelay: func() time.Duration { return delay }, Log: lg,
	})
	ho.list()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ho.records.Run(ctx)
	}()
	ho.stop = func() {
		cancel()
		<-done
	}
	hs.t.Cleanup(ho.stop)
	hs.all = append(hs.all, ho)
	return ho
}

// stopAll ends all processes.
func (hs *hosts) stopAll() {
	for _, ho := range hs.all {
		ho.stop()
	}
	hs.all = nil
}

// list applies a snapshot of the store.
func (ho *host) list() {
	sn, events := ho.st.snapshot()
	ho.records.ApplySnapshot(sn)
	ho.applied = events
}

// deliver applies the changes of the store since the last call.
func (ho *host) deliver() {
	if ho.isCutOff {
		return
	}
	ho.st.mu.Lock()
	events := slices.Clone(ho.st.history[ho.applied:])
	ho.st.mu.Unlock()
	ho.applied += len(events)
	for _, ev := range events {
		ho.records.ApplyEvent(ev)
	}
}

// run lets a duration pass in steps, after each of which the hosts have applied all changes of the store and have
// exchanged digests.
func (hs *hosts) run(d time.Duration) {
	for range d / step {
		require.NoError(hs.t, hs.ck.BlockUntilContext(hs.t.Context(), len(hs.all)))
		hs.ck.Advance(step)
		require.NoError(hs.t, hs.ck.BlockUntilContext(hs.t.Context(), len(hs.all)))
		for _, ho := range hs.all {
			ho.deliver()
		}
		for _, from := range hs.all {
			_, cleared, verdicts := from.tracker.RecentChanges()
			for _, to := range hs.all {
				to.receive(from, cleared, verdicts)
			}
		}
	}
}

// receive merges a digest of another host, which does not say who has set a verdict.
func (ho *host) receive(from *host, cleared []quarantine.Cleared, list []quarantine.Verdict) {
	if ho == from {
		return
	}
	for _, cl := range cleared {
		ho.tracker.Clear(cl)
	}
	for _, ve := range list {
		ve.ByOperator = false
		ho.tracker.Merge(ve)
	}
}

// requireVerdicts requires that all hosts have verdicts on exactly these parts.
func (hs *hosts) requireVerdicts(parts ...string) {
	hs.t.Helper()
	for _, ho := range hs.all {
		var known []string
		for _, ve := range ho.tracker.Verdicts() {
			known = append(known, ve.Part)
		}
		require.Equal(hs.t, parts, known)
	}
}
