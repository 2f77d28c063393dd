package node_test

import (
	"context"
	"sync"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/peering"
)

// recordingPeer is a peer that keeps the last digest of each host and sends nothing of its own.
type recordingPeer struct {
	mu      sync.Mutex
	digests map[string]peering.Digest
}

func (*recordingPeer) LocalDigest() peering.Digest { return peering.Digest{Host: "listener"} }

func (*recordingPeer) DrainZoneState() peering.Digest { return peering.Digest{} }

func (rp *recordingPeer) HandleDigest(dg peering.Digest) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.digests[dg.Host] = dg
}

// crashes returns how many crashes the last digest of a host reports.
func (rp *recordingPeer) crashes(host string) int {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.digests[host].Crashes)
}

// loads returns the loads in the last digest of a host.
func (rp *recordingPeer) loads(host string) peering.Loads {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.digests[host].Loads
}

// startRecordingPeer registers a recording peer and waits until it has digests of the given number of
// hosts.
func (env *testEnv) startRecordingPeer(hosts int) *recordingPeer {
	rp := &recordingPeer{digests: make(map[string]peering.Digest)}
	ex, err := peering.Listen("127.0.0.1:0", peering.Peer{Name: "listener", Zone: "here"}, clock.System())
	require.NoError(env.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	env.t.Cleanup(cancel)
	go func() { _ = ex.Run(ctx, rp) }()
	_, err = env.store.Put("bergamotway/hosts/listener", map[string]any{"zone": "here", "address": ex.Address()})
	require.NoError(env.t, err)
	require.Eventually(env.t, func() bool {
		rp.mu.Lock()
		defer rp.mu.Unlock()
		return len(rp.digests) == hosts
	}, waitTimeout, pollInterval)
	return rp
}
