package node_test

import (
	"context"
	"sync"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/peering"
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

// loads returns the loads that a host has told of last.
func (li *listener) loads(host string) peering.Loads {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.digests[host].Loads
}

// listen registers a peer that listens, and waits until it hears some hosts.
func (wo *world) listen(hosts int) *listener {
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
		return len(li.digests) == hosts
	}, patience, tick)
	return li
}
