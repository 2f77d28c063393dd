package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

// freshStore remembers when the key-value service last answered.
type freshStore struct {
	keyvalue.Store
	clk   clock.Clock
	heard *atomic.Int64
}

// Get reads an entry.
func (fs *freshStore) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	en, err := fs.Store.Get(ctx, purpose, key)
	fs.note(err)
	return en, err
}

// Watch waits for a change. Only its answer counts, not its begin.
func (fs *freshStore) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	en, err := fs.Store.Watch(ctx, purpose, key, after, bound)
	fs.note(err)
	return en, err
}

func (fs *freshStore) note(err error) {
	if err == nil {
		fs.heard.Store(fs.clk.Now().UnixNano())
	}
}
