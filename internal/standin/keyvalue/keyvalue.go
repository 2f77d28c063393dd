// Package keyvalue emulates the platform's key-value service.
package keyvalue

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type (
	// Service stores all keys in memory. It also implements keyvalue.Store, for use without a network.
	// It is safe for concurrent use.
	Service struct {
		clk clock.Clock

		mu       sync.Mutex
		entries  map[string]storedEntry
		revision uint64
		// changed is closed and replaced at each write, to wake the watches.
		changed chan struct{}

		reads  atomic.Int64
		writes atomic.Int64
	}

	storedEntry struct {
		entry     keyvalue.Entry
		expiresAt time.Time
	}
)

var _ keyvalue.Store = (*Service)(nil)

// New returns an empty service.
func New(clk clock.Clock) *Service {
	return &Service{clk: clk, entries: make(map[string]storedEntry), changed: make(chan struct{})}
}

// CallCounts returns the number of reads and writes received; a watch counts as a read.
func (sv *Service) CallCounts() (reads, writes int64) {
	return sv.reads.Load(), sv.writes.Load()
}

// Get returns the entry of key, which has revision 0 if the key does not exist.
func (sv *Service) Get(_ context.Context, _ keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	sv.reads.Add(1)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.liveEntry(key), nil
}

// List returns the entries whose keys begin with prefix, ordered by key.
func (sv *Service) List(_ context.Context, _ keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	sv.reads.Add(1)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var out []keyvalue.Entry
	for _, key := range slices.Sorted(maps.Keys(sv.entries)) {
		if en := sv.liveEntry(key); en.Revision() > 0 && strings.HasPrefix(key, prefix) {
			out = append(out, en)
		}
	}
	return out, nil
}

// Watch waits up to timeout for a revision of key above after, and returns the current entry.
func (sv *Service) Watch(ctx context.Context, _ keyvalue.Purpose, key string, after uint64, timeout time.Duration) (keyvalue.Entry, error) {
	sv.reads.Add(1)
	expired := sv.clk.After(timeout)
	for {
		sv.mu.Lock()
		en, changed := sv.liveEntry(key), sv.changed
		sv.mu.Unlock()
		if en.Revision() > after {
			return en, nil
		}
		select {
		case <-changed:
		case <-expired:
			return en, nil
		case <-ctx.Done():
			return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch "+key, ctx.Err())
		}
	}
}

// CompareAndSwap writes a value if the key has the expected revision. If the current entry has the
// write ID of wr, a retry of the write succeeds and changes nothing.
func (sv *Service) CompareAndSwap(_ context.Context, _ keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	sv.writes.Add(1)
	if len(wr.Value) > keyvalue.ValueLimit {
		return keyvalue.Entry{}, keyvalue.NewSizeError(wr.Key, len(wr.Value))
	}
	if wr.WriteID == "" {
		wr.WriteID = uuid.NewString()
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	old := sv.liveEntry(wr.Key)
	if old.Revision() != wr.Revision {
		if old.Revision() > 0 && old.WriteID() == wr.WriteID {
			return old, nil
		}
		return keyvalue.Entry{}, keyvalue.NewConflictError(old)
	}
	sv.revision++
	st := storedEntry{entry: keyvalue.NewEntry(wr.Key, slices.Clone(wr.Value), wr.WriteID, sv.revision)}
	if wr.TTL > 0 {
		st.expiresAt = sv.clk.Now().Add(wr.TTL)
	}
	sv.entries[wr.Key] = st
	close(sv.changed)
	sv.changed = make(chan struct{})
	return st.entry, nil
}

// liveEntry returns the entry of key, and removes it if its TTL has expired. The caller holds mu.
func (sv *Service) liveEntry(key string) keyvalue.Entry {
	st, ok := sv.entries[key]
	if ok && !st.expiresAt.IsZero() && !sv.clk.Now().Before(st.expiresAt) {
		delete(sv.entries, key)
		ok = false
	}
	if !ok {
		return keyvalue.NewEntry(key, nil, "", 0)
	}
	return st.entry
}
