package node_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against counting a prefix that many conversations share for each of their requests, although an
// engine stores it only once: engines seemed full with a third of their memory free, and requests were
// refused that would have been on time.
func TestSharedPrefixIsNotCountedInRequestLoad(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	rp := env.startRecordingPeer(1)
	env.engines[0].InjectFaults(site.NeverRespond)
	done := make(chan response, 1)
	go func() { done <- env.send(no, http.MethodPost, "/note/1", env.requestID(), "", promptHeaders()) }()
	require.Eventually(t, func() bool {
		loads := rp.loads("host-1")
		at := slices.IndexFunc(loads, func(ld peering.Load) bool { return ld.Requests > 0 })
		return at >= 0 && loads[at] == peering.Load{Endpoint: peering.KeyOf("engine-0"), Requests: 1, Tokens: 900 + 20 - 300, PrefillTokens: 900}
	}, waitTimeout, pollInterval)
	<-done
}
