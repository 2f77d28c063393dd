package node_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// A request that crashes each endpoint that runs it comes again at any host; after two crashes none
// may send it on.
func TestRequestThatCrashesEndpointsIsKnownOnAllHosts(t *testing.T) {
	t.Parallel()
	wo := newWorld(t, 0, 5)
	wo.configure()
	first, second := wo.ready("host-1"), wo.ready("host-2")
	li := wo.listen(2)
	for _, ep := range wo.plain {
		ep.Spoil(site.Crash)
	}
	id := wo.id()
	re := wo.send(first, http.MethodPost, "/look/1", id, "poison", nil)
	require.Equal(t, http.StatusBadGateway, re.status)
	require.Len(t, wo.ran(id), 2)
	for _, ep := range wo.plain {
		ep.Mend()
	}
	require.Eventually(t, func() bool { return li.crashes("host-2") == 2 }, patience, tick)
	for _, no := range []*node.Node{first, second} {
		id = wo.id()
		re = wo.send(no, http.MethodPost, "/look/1", id, "poison", nil)
		require.Equal(t, http.StatusServiceUnavailable, re.status)
		require.Empty(t, wo.ran(id))
		re = wo.send(no, http.MethodPost, "/look/1", wo.id(), "harmless", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}

// Two endpoints that end for another reason say nothing of a request that others answer.
func TestCrashesElsewhereDoNotCondemnEqualRequests(t *testing.T) {
	t.Parallel()
	wo := newWorld(t, 0, 5)
	wo.configure()
	no := wo.ready("host-1")
	for range 3 {
		wo.mend()
		for _, ep := range wo.plain {
			ep.Spoil(site.Crash)
		}
		id := wo.id()
		re := wo.send(no, http.MethodPost, "/pay/1", id, "same", nil)
		require.Equal(t, http.StatusBadGateway, re.status)
		wo.mend()
		re = wo.send(no, http.MethodPost, "/pay/1", wo.id(), "same", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}
