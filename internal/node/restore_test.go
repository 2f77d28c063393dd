package node_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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
		return func() bool { return env.send(no, http.MethodGet, uri, env.requestID(), "", nil).status == http.StatusOK }
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
