package node_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against a request that crashes every endpoint that runs it. The client may repeat it at any
// host; after two crashes no host may forward it.
func TestCrashingRequestIsRefusedByAllHosts(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 5)
	env.writeConfiguration()
	first, second := env.startReadyHost("host-1"), env.startReadyHost("host-2")
	rp := env.startRecordingPeer(2)
	for _, ep := range env.plainEndpoints {
		ep.InjectFaults(site.CrashOnRequest)
	}
	requestID := env.requestID()
	re := env.send(first, http.MethodPost, "/look/1", requestID, "poison", nil)
	require.Equal(t, http.StatusBadGateway, re.status)
	require.Len(t, env.runsOf(requestID), 2)
	for _, ep := range env.plainEndpoints {
		ep.ClearFaults()
	}
	require.Eventually(t, func() bool { return rp.crashes("host-2") == 2 }, waitTimeout, pollInterval)
	for _, no := range []*node.Node{first, second} {
		requestID = env.requestID()
		re = env.send(no, http.MethodPost, "/look/1", requestID, "poison", nil)
		require.Equal(t, http.StatusServiceUnavailable, re.status)
		require.Empty(t, env.runsOf(requestID))
		re = env.send(no, http.MethodPost, "/look/1", env.requestID(), "harmless", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}

// Guards against missing a crash under a stream without length, which ends like a complete one but inside an event.
func TestCrashInsideEventOfUndelimitedStreamIsReported(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 4, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, ep := range env.engines {
		ep.InjectFaults(site.CrashInsideEvent)
	}
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/query/1", requestID, "poison", promptHeaders())
	require.False(t, re.complete)
	require.Len(t, env.runsOf(requestID), 2)
	env.repairEndpoints()
	requestID = env.requestID()
	re = env.send(no, http.MethodPost, "/query/1", requestID, "poison", promptHeaders())
	require.Equal(t, http.StatusServiceUnavailable, re.status)
	require.Empty(t, env.runsOf(requestID))
	re = env.send(no, http.MethodPost, "/query/1", env.requestID(), "harmless", promptHeaders())
	require.Equal(t, http.StatusOK, re.status)
}

// Guards against quarantining a request for crashes that it did not cause: two endpoints crash while
// they run it, but others answer equal requests.
func TestUnrelatedCrashesDoNotQuarantineRequest(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 5)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for range 3 {
		env.repairEndpoints()
		for _, ep := range env.plainEndpoints {
			ep.InjectFaults(site.CrashOnRequest)
		}
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "same", nil)
		require.Equal(t, http.StatusBadGateway, re.status)
		env.repairEndpoints()
		re = env.send(no, http.MethodPost, "/pay/1", env.requestID(), "same", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}
