package metastore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// replica is a follower that keeps a copy of the items.
type replica struct {
	mu        sync.Mutex
	items     map[string]string
	failures  int
	snapshots int
}

func (rp *replica) ApplySnapshot(sn metastore.Snapshot) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.snapshots++
	rp.items = make(map[string]string)
	for _, it := range sn.Items {
		rp.items[it.Key] = string(it.Value)
	}
}

func (rp *replica) ApplyEvent(ev metastore.Event) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if ev.Removed {
		delete(rp.items, ev.Item.Key)
		return
	}
	rp.items[ev.Item.Key] = string(ev.Item.Value)
}

func (*replica) CallDelayed() {}

func (*replica) CallSucceeded(time.Duration) {}

func (rp *replica) CallFailed(error) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.failures++
}

func (rp *replica) valueOf(key string) string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.items[key]
}

func startFollower(t *testing.T) (*site.Store, *replica) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	rp := &replica{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		metastore.Follow(ctx, metastore.FollowOptions{Store: platform.NewMetadataStore(st.Address(), nil)}, rp)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return st, rp
}

func TestFollowRecoversFromStoreFaults(t *testing.T) {
	st, rp := startFollower(t)
	for i, injectFault := range []func(){
		func() {},
		func() { st.SetFault(site.StoreUnavailable) },
		func() { st.SetFault(site.StoreUnresponsive) },
		func() { st.CompactHistory() },
	} {
		injectFault()
		key, value := fmt.Sprint("key-", i), fmt.Sprint("value-", i)
		st.PutBytes(key, []byte(value))
		st.SetFault(site.NoStoreFault)
		require.Eventually(t, func() bool { return rp.valueOf(key) == value }, waitTimeout, pollInterval, i)
	}
	st.Remove("key-0")
	require.Eventually(t, func() bool { return rp.valueOf("key-0") == "" }, waitTimeout, pollInterval)
}

func TestListReadsAllPages(t *testing.T) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	for i := range 350 {
		st.PutBytes(fmt.Sprintf("page/%03d", i), []byte("x"))
	}
	st.PutBytes("other", []byte("x"))
	sn, err := platform.NewMetadataStore(st.Address(), nil).List(context.Background(), "page/")
	require.NoError(t, err)
	require.Len(t, sn.Items, 350)
	require.Equal(t, metastore.Revision{Era: st.Era(), Number: st.Revision()}, sn.Revision)
}

func TestCommitErrorsReportUncertainty(t *testing.T) {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	client := platform.NewMetadataStore(st.Address(), nil)
	ctx := context.Background()
	put := metastore.Transaction{Puts: []metastore.Put{{Key: "key", Value: []byte("1")}}}

	st.SetFault(site.StoreUnavailable)
	_, err = client.Commit(ctx, put)
	var ue *metastore.UnavailableError
	require.ErrorAs(t, err, &ue)
	require.False(t, ue.IsUncertain())
	require.Nil(t, st.Value("key"))

	st.SetFault(site.StoreLosesResponses)
	_, err = client.Commit(ctx, put)
	require.ErrorAs(t, err, &ue)
	require.True(t, ue.IsUncertain())
	require.Equal(t, "1", string(st.Value("key")))

	st.SetFault(site.NoStoreFault)
	_, err = client.Commit(ctx, metastore.Transaction{Preconditions: []metastore.Precondition{{Key: "key"}}, Puts: put.Puts})
	var ce *metastore.ConflictError
	require.ErrorAs(t, err, &ce)
	require.Equal(t, "1", string(ce.Current()[0].Value))

	_, err = client.Commit(ctx, metastore.Transaction{Puts: []metastore.Put{{Key: "leased", Lease: 99}}})
	require.True(t, metastore.IsLeaseEnded(err))
	require.True(t, metastore.IsLeaseEnded(client.Renew(ctx, 99)))
	st.CompactHistory()
	_, err = client.Watch(ctx, "", at(0), time.Millisecond)
	require.True(t, metastore.IsCompacted(err))
}

// Guards against a follower that goes on from a revision which a restored store has given out again.
func TestFollowSeesAllChangesOfRestoredStore(t *testing.T) {
	st, rp := startFollower(t)
	st.PutBytes("kept", []byte("1"))
	backup := st.Backup()
	st.PutBytes("lost", []byte("1"))
	st.PutBytes("kept", []byte("2"))
	require.Eventually(t, func() bool { return rp.valueOf("kept") == "2" }, waitTimeout, pollInterval)
	st.SetFault(site.StoreUnavailable)
	st.Restore(backup)
	for i := range 5 {
		st.PutBytes(fmt.Sprint("new-", i), []byte("1"))
	}
	st.SetFault(site.NoStoreFault)
	st.PutBytes("last", []byte("1"))
	require.Eventually(t, func() bool { return rp.valueOf("last") == "1" }, waitTimeout, pollInterval)
	for i := range 5 {
		require.Equal(t, "1", rp.valueOf(fmt.Sprint("new-", i)), i)
	}
	require.Equal(t, "1", rp.valueOf("kept"))
	require.Empty(t, rp.valueOf("lost"))
}
