package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// sendUntilReceived sends requests until an endpoint has received one.
func (env *testEnv) sendUntilReceived(no *node.Node, ep *site.Endpoint) {
	start := time.Now()
	for ep.ReceivedSince(start) == 0 {
		env.send(no, http.MethodPost, "/look/1", env.requestID(), "", nil)
		require.Less(env.t, time.Since(start), waitTimeout)
	}
}

// Guards against requests to an endpoint that says that it leaves, while the metadata store calls it ready.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, disturb := range map[string]func(*testEnv, *node.Node, *site.Endpoint, *site.Backup){
		"store is calm": func(*testEnv, *node.Node, *site.Endpoint, *site.Backup) {},
		"store is unavailable": func(env *testEnv, _ *node.Node, _ *site.Endpoint, _ *site.Backup) {
			env.store.SetFault(site.StoreUnavailable)
		},
		"store is restored": func(env *testEnv, no *node.Node, _ *site.Endpoint, bu *site.Backup) { env.restoreStore(no, bu) },
		"entry disappears and returns": func(env *testEnv, no *node.Node, ep *site.Endpoint, _ *site.Backup) {
			key, _ := ep.Entry("ready")
			env.store.Remove(key)
			env.register(ep, "ready")
			env.writeConfiguration(extraRoute())
			env.awaitStatus(no, "/more/1", nil, http.StatusOK)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, 3)
			env.writeConfiguration()
			leaving := env.plainEndpoints[0]
			no := env.startReadyHost("host-0")
			backup := env.store.Backup()
			leaving.AnnounceLeaving()
			env.sendUntilReceived(no, leaving)
			disturb(env, no, leaving, backup)
			start := time.Now()
			for range 60 {
				require.Equal(t, http.StatusOK, env.send(no, http.MethodPost, "/look/1", env.requestID(), "", nil).status)
			}
			require.Zero(t, leaving.ReceivedSince(start))
		})
	}
}

// Guards against requests to an endpoint that has turned one away and said how long it wants none.
func TestEndpointThatAsksToWaitGetsNoRequests(t *testing.T) {
	t.Parallel()
	const wait = 2 * time.Second
	env := newTestEnv(t, 0, 2)
	env.writeConfiguration()
	busy := env.plainEndpoints[0]
	no := env.startReadyHost("host-0")
	busy.TurnAway("2")
	start := time.Now()
	env.sendUntilReceived(no, busy)
	answered := time.Now()
	for time.Since(start) < wait {
		require.Equal(t, http.StatusOK, env.send(no, http.MethodPost, "/look/1", env.requestID(), "", nil).status)
	}
	require.Zero(t, busy.ReceivedSince(answered)-busy.ReceivedSince(start.Add(wait)))
	busy.TurnAway()
	env.sendUntilReceived(no, busy)
}
