package node_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/peering"
)

// verdictPeer is a peer that sends a digest with a given state and keeps the verdicts of each host.
type verdictPeer struct {
	mu       sync.Mutex
	digest   peering.Digest
	verdicts map[string][]peering.PartVerdict
}

func (vp *verdictPeer) LocalDigest() peering.Digest {
	vp.mu.Lock()
	defer vp.mu.Unlock()
	return vp.digest
}

func (*verdictPeer) DrainZoneState() peering.Digest { return peering.Digest{} }

func (vp *verdictPeer) HandleDigest(dg peering.Digest) {
	vp.mu.Lock()
	defer vp.mu.Unlock()
	vp.verdicts[dg.Host] = dg.PartVerdicts
}

// Guards against a host that forwards requests with a part that others have found to crash endpoints.
func TestVerdictOfPeerIsAppliedAndPassedOn(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	vp := &verdictPeer{verdicts: make(map[string][]peering.PartVerdict)}
	vp.digest = peering.Digest{Host: "peer", PartVerdicts: []peering.PartVerdict{{Part: "bb02", Crashes: 6, Strikes: 1, AgeUs: 1000, Reporters: []string{"peer"}}}}
	ex, err := peering.Listen("127.0.0.1:0", peering.Peer{Name: "peer", Zone: "here"}, clock.System())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = ex.Run(ctx, vp) }()
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/note/1", requestID, "", promptHeaders())
	require.Equal(t, http.StatusOK, re.status)
	_, err = env.store.Put("bergamotway/hosts/peer", map[string]any{"zone": "here", "address": ex.Address()})
	require.NoError(t, err)
	address := env.peerAddress("host-1")
	ex.SetPeers([]peering.Peer{{Name: "host-1", Zone: "here", Address: address}})
	require.Eventually(t, func() bool {
		vp.mu.Lock()
		defer vp.mu.Unlock()
		list := vp.verdicts["host-1"]
		return len(list) == 1 && list[0].Part == "bb02" && list[0].Crashes == 6
	}, waitTimeout, pollInterval)
	requestID = env.requestID()
	re = env.send(no, http.MethodPost, "/note/1", requestID, "", promptHeaders())
	require.Equal(t, http.StatusServiceUnavailable, re.status)
	require.Equal(t, "crashes-endpoints\n", re.body)
	require.Empty(t, env.runsOf(requestID))
	other := promptHeaders()
	other["X-Prompt-Prefix"] = "aa01:300,dd04:400,bb02:200"
	re = env.send(no, http.MethodPost, "/note/1", env.requestID(), "", other)
	require.Equal(t, http.StatusOK, re.status)
}

// peerAddress returns the address for digests that a host has registered.
func (env *testEnv) peerAddress(name string) netip.AddrPort {
	var registration struct {
		Address string `json:"address"`
	}
	require.NoError(env.t, json.Unmarshal(env.store.Value("bergamotway/hosts/"+name), &registration))
	return netip.MustParseAddrPort(registration.Address)
}
