package node_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// listener is a peer that only listens.
type listener struct {
	mu      sync.Mutex
	digests map[string]peering.Digest
}

func (*listener) Compose() peering.Digest { return peering.Digest{Host: "listener"} }

func (*listener) News() peering.Digest { return peering.Digest{} }

func (li *listener) Receive(dg peering.Digest) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.digests[dg.Host] = dg
}

// crashes returns how many crashes a host has told of last.
func (li *listener) crashes(host string) int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return len(li.digests[host].Crashes)
}

// listen registers a peer that listens, and waits until it hears.
func (wo *world) listen() *listener {
	li := &listener{digests: make(map[string]peering.Digest)}
	ex, err := peering.Listen("127.0.0.1:0", peering.Peer{Name: "listener", Zone: "here"}, clock.System())
	require.NoError(wo.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	wo.t.Cleanup(cancel)
	go func() { _ = ex.Run(ctx, li) }()
	_, err = wo.store.Put("bergamotway/hosts/listener", map[string]any{"zone": "here", "address": ex.Address()})
	require.NoError(wo.t, err)
	require.Eventually(wo.t, func() bool {
		li.mu.Lock()
		defer li.mu.Unlock()
		return len(li.digests) == 2
	}, patience, tick)
	return li
}

// A request that crashes each endpoint that runs it comes again at any host; after two crashes none
// may send it on.
func TestRequestThatCrashesEndpointsIsKnownOnAllHosts(t *testing.T) {
	t.Parallel()
	wo := newWorld(t, 0, 5)
	wo.configure()
	first, second := wo.ready("host-1"), wo.ready("host-2")
	li := wo.listen()
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
