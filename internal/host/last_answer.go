package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

// lastAnswerStore wraps a store and records when the key-value service last answered, in Unix
// nanoseconds.
type lastAnswerStore struct {
	keyvalue.Store
	clk          clock.Clock
	lastAnswerNs *atomic.Int64
}

// Get reads an entry.
func (ls *lastAnswerStore) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	en, err := ls.Store.Get(ctx, purpose, key)
	ls.recordAnswer(err)
	return en, err
}

// Watch waits for a change. The time of the answer is recorded, not that of the request.
func (ls *lastAnswerStore) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	en, err := ls.Store.Watch(ctx, purpose, key, after, bound)
	ls.recordAnswer(err)
	return en, err
}

func (ls *lastAnswerStore) recordAnswer(err error) {
	if err == nil {
		ls.lastAnswerNs.Store(ls.clk.Now().UnixNano())
	}
}
