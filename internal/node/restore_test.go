package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against a route that is not served because the store was restored from an older copy, and its revision given out
// before.
func TestRouteAddedAfterRestoreIsServed(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	backup := env.store.Backup()
	no := env.startReadyHost("host-0")
	for i := range 10 {
		_, err := env.store.Put(fmt.Sprint("other/", i), "lost")
		require.NoError(t, err)
	}
	added := site.Route{Name: "first", Kind: "idempotent", Service: "desk", MaxAttempts: 1, Timeout: requestTimeout}
	env.writeConfiguration(added)
	isServed := func(uri string) func() bool {
		return func() bool {
			return env.send(no, http.MethodGet, uri, env.requestID(), "", nil).status == http.StatusOK
		}
	}
	require.Eventually(t, isServed("/first/1"), waitTimeout, pollInterval)
	env.store.SetFault(site.StoreUnavailable)
	env.store.Restore(backup)
	second := added
	second.Name = "second"
	env.writeConfiguration(added, second)
	for i := range 20 {
		_, err := env.store.Put(fmt.Sprint("other/", i), "new")
		require.NoError(t, err)
	}
	env.store.SetFault(site.NoStoreFault)
	require.Eventually(t, isServed("/second/1"), waitTimeout, pollInterval)
	require.True(t, isServed("/first/1")())
}

// restoreStore restores the store from a copy and lets it write configurations until a host has read one of them.
func (env *testEnv) restoreStore(no *node.Node, backup *site.Backup) {
	env.store.Restore(backup)
	env.writeConfiguration(extraRoute())
	env.awaitStatus(no, "/more/1", nil, http.StatusOK)
}

// Guards against an evacuation that ends, and an endpoint that gets requests again after it has left, because the copy from which
// the store was restored is older.
func TestEvacuationAndDepartureRemainWhenStoreIsRestored(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	evacuated := env.plainEndpoints[0]
	stays := env.startEndpoint(site.EndpointOptions{ID: "stays", Service: "desk", Zone: "there"})
	left := env.startEndpoint(site.EndpointOptions{ID: "left", Service: "desk", Zone: "there"})
	env.writeConfiguration()
	backup := env.store.Backup()
	no := env.startReadyHost("host-0")
	_, err := env.store.Put("op/evacuate/here", true)
	require.NoError(t, err)
	name, _ := left.Entry("ready")
	env.store.Remove(name)
	env.writeConfiguration(site.Route{Name: "seen", Kind: "idempotent", Service: "desk", Timeout: requestTimeout})
	env.awaitStatus(no, "/seen/1", nil, http.StatusOK)
	env.restoreStore(no, backup)
	before := len(evacuated.RecordedRequests()) + len(left.RecordedRequests())
	for range 60 {
		require.Equal(t, http.StatusOK, env.send(no, http.MethodPost, "/look/1", env.requestID(), "", nil).status)
	}
	require.Equal(t, before, len(evacuated.RecordedRequests())+len(left.RecordedRequests()))
	require.NotEmpty(t, stays.RecordedRequests())
	env.register(left, "ready")
	getsRequests := func(ep *site.Endpoint) func() bool {
		return func() bool {
			count := len(ep.RecordedRequests())
			env.send(no, http.MethodPost, "/look/1", env.requestID(), "", nil)
			return len(ep.RecordedRequests()) > count
		}
	}
	require.Eventually(t, getsRequests(left), waitTimeout, pollInterval)
	_, err = env.store.Put("op/evacuate/here", true)
	require.NoError(t, err)
	env.store.Remove("op/evacuate/here")
	require.Eventually(t, getsRequests(evacuated), waitTimeout, pollInterval)
}

// Guards against hosts that forget each other, so that each takes the shares of all, and that register again only after
// seconds.
func TestHostsRemainKnownWhenStoreIsRestored(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	backup := env.store.Backup()
	no := env.startReadyHost("host-0")
	rp := env.startRecordingPeer(1)
	env.restoreStore(no, backup)
	require.Eventually(t, func() bool { return env.store.Value("bergamotway/hosts/host-0") != nil }, 2*time.Second, pollInterval)
	require.Nil(t, env.store.Value("bergamotway/hosts/listener"))
	sequence := func() uint64 {
		rp.mu.Lock()
		defer rp.mu.Unlock()
		return rp.digests["host-0"].Sequence
	}
	before := sequence()
	require.Eventually(t, func() bool { return sequence() > before+20 }, waitTimeout, pollInterval)
}

// Guards against records of weights that are missing for good, so that restarted hosts don't know which have expired.
func TestRecordsAreInStoreAgainAfterRestore(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 1)
	env.writeConfiguration()
	backup := env.store.Backup()
	no := env.startReadyHost("host-0")
	require.NoError(t, env.store.SetWeightVersion(2))
	areWritten := func() bool {
		return env.store.Value("bergamotway/named/"+modelName) != nil && env.store.Value("bergamotway/checkpoint") != nil
	}
	require.Eventually(t, areWritten, waitTimeout, pollInterval)
	env.restoreStore(no, backup)
	require.NoError(t, env.store.SetWeightVersion(2))
	require.Eventually(t, areWritten, waitTimeout, pollInterval)
}

// Guards against a host of a small fleet, in which nobody else can tell it, that notices up to 3 s late that the store is back.
func TestHostWithoutRelaysCallsUnavailableStoreOften(t *testing.T) {
	t.Parallel()
	const watches = 13
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	env.startReadyHost("host-0")
	env.store.SetFault(site.StoreUnavailable)
	before := env.store.WatchCount()
	require.Eventually(t, func() bool { return env.store.WatchCount()-before >= watches }, waitTimeout, pollInterval)
}
