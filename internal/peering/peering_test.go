package peering_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
)

const (
	waitTimeout  = 8 * time.Second
	pollInterval = 10 * time.Millisecond
)

var engineKey = peering.KeyOf("engine")

// host is a host with one request in flight at one endpoint. It records the digests that it receives:
// the requests at each endpoint by sender, or under "total", and the revision that each host has applied.
type host struct {
	name     string
	exchange *peering.Exchange
	cancel   context.CancelFunc

	mu            sync.Mutex
	loadsBySender map[string]map[peering.Key]int
	revisions     map[string]metastore.Revision
	// extra is added to the digests that the host sends, and last is the last one that it received.
	extra, last peering.Digest
}

func (ho *host) LocalDigest() peering.Digest {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	dg := ho.extra
	dg.Host, dg.AppliedRevision, dg.Loads = ho.name, at(7), peering.Loads{{Endpoint: engineKey, Requests: 1}}
	return dg
}

func (ho *host) DrainZoneState() peering.Digest { return peering.Digest{} }

func (ho *host) HandleDigest(dg peering.Digest) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.last = dg
	from := "total"
	if dg.Tier == peering.TierDirect {
		from = dg.Host
		ho.revisions[dg.Host] = dg.AppliedRevision
	}
	for name, revision := range dg.HostRevisions {
		ho.revisions[name] = revision
	}
	ho.loadsBySender[from] = make(map[peering.Key]int)
	for _, ld := range dg.Loads {
		ho.loadsBySender[from][ld.Endpoint] = ld.Requests
	}
}

// reset discards the received state.
func (ho *host) reset() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	clear(ho.loadsBySender)
	clear(ho.revisions)
}

// peerTotals returns how many in-flight requests of other hosts, and how many other hosts, this host
// knows of.
func (ho *host) peerTotals() (requests, hosts int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	for _, loads := range ho.loadsBySender {
		requests += loads[engineKey]
	}
	for name := range ho.revisions {
		if name != ho.name {
			hosts++
		}
	}
	return requests, hosts
}

// startHosts starts count hosts in three zones. The first six, two in each zone, have a high capacity.
func startHosts(t *testing.T, count int) []*host {
	hosts := make([]*host, count)
	peers := make([]peering.Peer, count)
	for i := range hosts {
		pe := peering.Peer{Name: fmt.Sprintf("host-%02d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
		pe.Capacity = 0.2
		if i < 6 {
			pe.Capacity = 0.8
		}
		ex, err := peering.Listen("127.0.0.1:0", pe, clock.System())
		require.NoError(t, err)
		pe.Address = netip.MustParseAddrPort(ex.Address())
		peers[i] = pe
		hosts[i] = &host{name: pe.Name, exchange: ex, loadsBySender: make(map[string]map[peering.Key]int), revisions: make(map[string]metastore.Revision)}
	}
	for i, ho := range hosts {
		var others []peering.Peer
		for k, pe := range peers {
			if k != i {
				others = append(others, pe)
			}
		}
		ho.exchange.SetPeers(others)
		ctx, cancel := context.WithCancel(context.Background())
		ho.cancel = cancel
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = ho.exchange.Run(ctx, ho)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	return hosts
}

func TestFlatExchangeReachesAllPeers(t *testing.T) {
	hosts := startHosts(t, 5)
	for _, ho := range hosts {
		require.Eventually(t, func() bool {
			requests, known := ho.peerTotals()
			return requests == 4 && known == 4
		}, waitTimeout, pollInterval)
		require.True(t, ho.exchange.FollowsCacheStores())
		require.False(t, ho.exchange.IsZoneAggregator())
	}
}

func TestTieredExchangeDeliversTotals(t *testing.T) {
	hosts := startHosts(t, 30)
	for _, ho := range hosts {
		require.Eventually(t, func() bool {
			requests, known := ho.peerTotals()
			return requests == 29 && known == 29
		}, waitTimeout, pollInterval, ho.name)
	}
	aggregators := 0
	for _, ho := range hosts {
		if ho.exchange.IsZoneAggregator() {
			aggregators++
		}
	}
	require.Equal(t, 3, aggregators, "one for each zone")
}

func TestNextHostTakesOverSilentAggregator(t *testing.T) {
	hosts := startHosts(t, 30)
	var stopped *host
	require.Eventually(t, func() bool {
		for _, ho := range hosts {
			if ho.exchange.IsZoneAggregator() {
				stopped = ho
				return true
			}
		}
		return false
	}, waitTimeout, pollInterval)
	stopped.cancel()
	for _, ho := range hosts {
		if ho == stopped {
			continue
		}
		require.Eventually(t, func() bool {
			requests, _ := ho.peerTotals()
			return requests == 28
		}, waitTimeout, pollInterval, ho.name)
	}
}

// Weak hosts that receive nothing from their aggregator must not take over all its duties. When they
// did, each of them followed all cache stores, which saturated the links of their zone.
func TestWeakAggregatorsDoNotFollowCacheStores(t *testing.T) {
	hosts := startHosts(t, 30)
	for _, ho := range hosts[:6] {
		ho.cancel()
	}
	observationEnd := time.After(2500 * time.Millisecond)
	for {
		for _, ho := range hosts[6:] {
			require.False(t, ho.exchange.IsZoneAggregator(), ho.name)
			require.False(t, ho.exchange.FollowsCacheStores(), ho.name)
		}
		select {
		case <-observationEnd:
			for _, ho := range hosts[6:] {
				require.Eventually(t, func() bool {
					requests, _ := ho.peerTotals()
					return requests >= 7
				}, 2*waitTimeout, pollInterval, ho.name)
			}
			return
		case <-time.After(pollInterval):
		}
	}
}

// A host whose entry in the metadata store is lost can still reach its peers. When aggregators stopped
// sending it totals, it no longer knew any loads or cached parts.
func TestUnregisteredHostStillReceivesTotals(t *testing.T) {
	hosts := startHosts(t, 30)
	lost := hosts[29]
	for _, ho := range hosts[:29] {
		var others []peering.Peer
		for i, other := range hosts[:29] {
			if other != ho {
				pe := peering.Peer{Name: other.name, Zone: fmt.Sprintf("zone-%d", i%3), Capacity: 0.2}
				if i < 6 {
					pe.Capacity = 0.8
				}
				pe.Address = netip.MustParseAddrPort(other.exchange.Address())
				others = append(others, pe)
			}
		}
		ho.exchange.SetPeers(others)
	}
	lost.reset()
	require.Eventually(t, func() bool {
		requests, _ := lost.peerTotals()
		return requests == 29
	}, waitTimeout, pollInterval)
}

// Guards against a limit that only one host of a large fleet knows.
func TestTieredExchangePassesOnNewestLimit(t *testing.T) {
	hosts := startHosts(t, 20)
	for i, ho := range hosts[:3] {
		ho.mu.Lock()
		age := int64(1000 * (3 - i))
		ho.extra = peering.Digest{Statements: []peering.EndpointStatement{{Endpoint: "engine", StartTimeMs: 1, PerSecond: float64(i + 1), LimitAgeUs: &age}}}
		ho.mu.Unlock()
	}
	for _, ho := range hosts {
		require.Eventually(t, func() bool {
			ho.mu.Lock()
			defer ho.mu.Unlock()
			return len(ho.last.Statements) == 1 && ho.last.Statements[0].PerSecond == 3
		}, waitTimeout, pollInterval, ho.name)
	}
}
