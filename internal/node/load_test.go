package node_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Engines keep what many conversations begin with once; counted for each request, engines seemed full
// with a third of their memory free, and requests were refused that would have been on time.
func TestWhatManyShareIsNotCountedAsARequestsMemory(t *testing.T) {
	t.Parallel()
	wo := newWorld(t, 1, 0)
	wo.configure()
	no := wo.ready("host-1")
	li := wo.listen(1)
	wo.engines[0].Spoil(site.Mute)
	done := make(chan result, 1)
	go func() { done <- wo.send(no, http.MethodPost, "/note/1", wo.id(), "", prompt()) }()
	require.Eventually(t, func() bool {
		loads := li.loads("host-1")
		at := slices.IndexFunc(loads, func(ld peering.Load) bool { return ld.Requests > 0 })
		return at >= 0 && loads[at] == peering.Load{Endpoint: peering.KeyOf("engine-0"), Requests: 1, Tokens: 900 + 20 - 300, Unread: 900}
	}, patience, tick)
	<-done
}
