// Package keyvalue is a stand-in for the platform's key-value service.
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
	// Service holds all keys in memory. It is safe for concurrent use. It also serves as a
	// keyvalue.Store without a network.
	Service struct {
		clk clock.Clock

		mu       sync.Mutex
		entries  map[string]stored
		revision uint64
		changed  chan struct{}

		reads  atomic.Int64
		writes atomic.Int64
	}

	stored struct {
		entry keyvalue.Entry
		until time.Time
	}
)

var _ keyvalue.Store = (*Service)(nil)

// New returns a service without keys.
func New(clk clock.Clock) *Service {
	return &Service{clk: clk, entries: make(map[string]stored), changed: make(chan struct{})}
}

// Calls returns how many reads and writes were made; a watch counts as a read.
func (sv *Service) Calls() (reads, writes int64) {
	return sv.reads.Load(), sv.writes.Load()
}

// Get returns the entry of key.
func (sv *Service) Get(_ context.Context, _ keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	sv.reads.Add(1)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.live(key), nil
}

// List returns the entries whose keys begin with prefix.
func (sv *Service) List(_ context.Context, _ keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	sv.reads.Add(1)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	var out []keyvalue.Entry
	for _, key := range slices.Sorted(maps.Keys(sv.entries)) {
		if en := sv.live(key); en.Revision() > 0 && strings.HasPrefix(key, prefix) {
			out = append(out, en)
		}
	}
	return out, nil
}

// Watch waits at most bound for a revision of key above after.
func (sv *Service) Watch(ctx context.Context, _ keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	sv.reads.Add(1)
	end := sv.clk.After(bound)
	for {
		sv.mu.Lock()
		en, changed := sv.live(key), sv.changed
		sv.mu.Unlock()
		if en.Revision() > after {
			return en, nil
		}
		select {
		case <-changed:
		case <-end:
			return en, nil
		case <-ctx.Done():
			return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch "+key, ctx.Err())
		}
	}
}

// CompareAndSwap writes a value if the key has the expected revision. A write that was carried
// out before, by its identifier, is answered as carried out.
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
	old := sv.live(wr.Key)
	if old.Revision() != wr.Revision {
		if old.Revision() > 0 && old.WriteID() == wr.WriteID {
			return old, nil
		}
		return keyvalue.Entry{}, keyvalue.NewConflictError(old)
	}
	sv.revision++
	st := stored{entry: keyvalue.NewEntry(wr.Key, slices.Clone(wr.Value), wr.WriteID, sv.revision)}
	if wr.TTL > 0 {
		st.until = sv.clk.Now().Add(wr.TTL)
	}
	sv.entries[wr.Key] = st
	close(sv.changed)
	sv.changed = make(chan struct{})
	return st.entry, nil
}

func (sv *Service) live(key string) keyvalue.Entry {
	st, ok := sv.entries[key]
	if ok && !st.until.IsZero() && !sv.clk.Now().Before(st.until) {
		delete(sv.entries, key)
		ok = false
	}
	if !ok {
		return keyvalue.NewEntry(key, nil, "", 0)
	}
	return st.entry
}
