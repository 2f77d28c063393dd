package metastore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	patience = 10 * time.Second
	tick     = 2 * time.Millisecond
)

type view struct {
	mu    sync.Mutex
	items map[string]string
	lost  int
	whole int
}

func (vi *view) Replace(sn metastore.Snapshot) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.whole++
	vi.items = make(map[string]string)
	for _, it := range sn.Items {
		vi.items[it.Key] = string(it.Value)
	}
}

func (vi *view) Change(ev metastore.Event) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	if ev.Removed {
		delete(vi.items, ev.Item.Key)
		return
	}
	vi.items[ev.Item.Key] = string(ev.Item.Value)
}

func (vi *view) Reached() {}

func (vi *view) Lost(error) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.lost++
}

func (vi *view) get(key string) string {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	return vi.items[key]
}

func follow(t *testing.T) (*site.Store, *view) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	vi := &view{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		metastore.Follow(ctx, platform.NewStore(st.Address(), nil), clock.System(), "", func() time.Duration { return 0 }, vi)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return st, vi
}

func TestChangesArriveThroughTrouble(t *testing.T) {
	st, vi := follow(t)
	for i, trouble := range []func(){
		func() {},
		func() { st.Break(site.Busy) },
		func() { st.Break(site.Silent) },
		func() { st.Forget() },
	} {
		trouble()
		key, value := fmt.Sprint("key-", i), fmt.Sprint("value-", i)
		st.PutBytes(key, []byte(value))
		st.Break(site.Sound)
		require.Eventually(t, func() bool { return vi.get(key) == value }, patience, tick, i)
	}
	st.Remove("key-0")
	require.Eventually(t, func() bool { return vi.get("key-0") == "" }, patience, tick)
}

func TestManyPagesAreReadWhole(t *testing.T) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	for i := range 350 {
		st.PutBytes(fmt.Sprintf("page/%03d", i), []byte("x"))
	}
	st.PutBytes("other", []byte("x"))
	sn, err := platform.NewStore(st.Address(), nil).List(context.Background(), "page/")
	require.NoError(t, err)
	require.Len(t, sn.Items, 350)
	require.Equal(t, st.Revision(), sn.Revision)
}

func TestFailuresSayWhetherAWriteMayHaveHappened(t *testing.T) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	client := platform.NewStore(st.Address(), nil)
	ctx := context.Background()
	put := metastore.Transaction{Puts: []metastore.Put{{Key: "key", Value: []byte("1")}}}

	st.Break(site.Busy)
	_, err = client.Commit(ctx, put)
	var ue *metastore.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.False(t, ue.IsUncertain())
	require.Nil(t, st.Value("key"))

	st.Break(site.Forgetful)
	_, err = client.Commit(ctx, put)
	require.ErrorAs(t, err, &ue)
	require.True(t, ue.IsUncertain())
	require.Equal(t, "1", string(st.Value("key")))

	st.Break(site.Sound)
	_, err = client.Commit(ctx, metastore.Transaction{Expect: []metastore.Expectation{{Key: "key"}}, Puts: put.Puts})
	var ce *metastore.ConflictError
	require.ErrorAs(t, err, &ce)
	require.Equal(t, "1", string(ce.Current()[0].Value))

	_, err = client.Commit(ctx, metastore.Transaction{Puts: []metastore.Put{{Key: "leased", Lease: 99}}})
	require.True(t, metastore.IsLeaseEnded(err))
	require.True(t, metastore.IsLeaseEnded(client.Renew(ctx, 99)))
	st.Forget()
	_, err = client.Watch(ctx, "", 0, time.Millisecond)
	require.True(t, metastore.IsCompacted(err))
}
