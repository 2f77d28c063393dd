package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// maxCacheChanges bounds the changes of cache stores' contents in one digest.
	maxCacheChanges = 300
	// followCheckInterval is the pause between checks of whether this host follows the cache stores.
	followCheckInterval = 250 * time.Millisecond
	// maxListDelay bounds the random delay before a host lists a cache store, so that hosts that start
	// together do not all list it at once.
	maxListDelay = 1500 * time.Millisecond
)

// digestSource adapts a Node to the interface that its peer exchange needs.
type digestSource Node

var _ peering.Source = (*digestSource)(nil)

// Compose returns a digest of the state that this host has observed itself.
func (ds *digestSource) Compose() peering.Digest {
	no := (*Node)(ds)
	dg := peering.Digest{Host: no.st.Name, Seen: no.storeState.seenRevision.Load(), Down: no.fleet.Down()}
	for id, ld := range no.fleet.OwnLoads() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(id), Requests: ld.Requests, Tokens: ld.Tokens, Unread: ld.Unread})
	}
	for address, tokens := range no.cache.Transfers() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(address), Tokens: tokens})
	}
	for _, id := range no.upgrades.Loading() {
		dg.Weights = append(dg.Weights, peering.Weights{Endpoint: id, Loading: true})
	}
	for id, models := range no.fleet.Taught(learnedVersionTTL) {
		for model, version := range models {
			dg.Weights = append(dg.Weights, peering.Weights{Endpoint: id, Model: model, Version: version})
		}
	}
	// The clock is read before the revision of the gates: if the gates change in between, the digest
	// permits peers less, not more.
	if clock := no.cache.Clock(); clock > 0 && no.isRegistered() {
		dg.Clock, dg.Gates = clock, no.reclaimer.gatesRevision()+1
	}
	now := no.ck.Now()
	crashes, cleared := no.board.News()
	for _, cr := range crashes {
		reporter := cr.Teller
		if reporter == "" {
			reporter = no.st.Name
		}
		dg.Crashes = append(dg.Crashes, peering.Crash{
			Fingerprint: string(cr.Fingerprint), Crash: cr.ID, Host: reporter,
			AgeUs: now.Sub(cr.At).Microseconds(), RanUs: cr.At.Sub(cr.Began).Microseconds(),
		})
	}
	for _, fp := range cleared {
		dg.Cleared = append(dg.Cleared, string(fp))
	}
	return dg
}

// News returns the recent changes of the cache stores' contents.
func (ds *digestSource) News() peering.Digest {
	no := (*Node)(ds)
	var dg peering.Digest
	news, states := no.cache.News(maxCacheChanges)
	for _, st := range states {
		dg.Stores = append(dg.Stores, peering.Store(st))
	}
	type group struct{ address, salt string }
	groups := make(map[group]*peering.Parts)
	for _, ne := range news {
		key := group{ne.Address, ne.Salt}
		pa := groups[key]
		if pa == nil {
			pa = &peering.Parts{Address: ne.Address, Salt: ne.Salt, Added: make(map[string]int)}
			groups[key] = pa
		}
		if ne.Added {
			pa.Added[ne.ID] = ne.Tokens
		} else {
			delete(pa.Added, ne.ID)
			pa.Gone = append(pa.Gone, ne.ID)
		}
	}
	for _, pa := range groups {
		dg.Cache = append(dg.Cache, *pa)
	}
	return dg
}

// Receive merges a digest from a peer.
func (ds *digestSource) Receive(dg peering.Digest) {
	no := (*Node)(ds)
	loads := make(map[peering.Key]fleet.Load, len(dg.Loads))
	for _, ld := range dg.Loads {
		loads[ld.Endpoint] = fleet.Load{Requests: ld.Requests, Tokens: ld.Tokens, Unread: ld.Unread}
	}
	from := dg.Host
	if dg.Tier != peering.Direct {
		from = "total"
	}
	no.fleet.PeerLoads(from, func(id string) (fleet.Load, bool) {
		ld, ok := loads[peering.KeyOf(id)]
		return ld, ok
	})
	no.cache.PeerTransfers(from, func(address string) int { return loads[peering.KeyOf(address)].Tokens })
	no.fleet.PeerDown(dg.Down)
	no.mu.Lock()
	if dg.Tier == peering.Direct {
		no.seenRevision[dg.Host] = dg.Seen
	}
	for name, seenRevision := range dg.Hosts {
		no.seenRevision[name] = seenRevision
	}
	no.mu.Unlock()
	for _, we := range dg.Weights {
		if we.Loading {
			no.fleet.Loading(we.Endpoint, no.ck.Now().Add(peerLoadingTTL))
			continue
		}
		no.fleet.Newer(we.Endpoint, we.Model, we.Version)
	}
	now := no.ck.Now()
	for _, cr := range dg.Crashes {
		if cr.Host == no.st.Name {
			continue
		}
		at := now.Add(-time.Duration(cr.AgeUs) * time.Microsecond)
		no.board.Record(quarantine.Report{
			Fingerprint: quarantine.Fingerprint(cr.Fingerprint), ID: cr.Crash, Teller: cr.Host,
			Began: at.Add(-time.Duration(cr.RanUs) * time.Microsecond), At: at,
		})
	}
	for _, fp := range dg.Cleared {
		no.board.Forget(quarantine.Fingerprint(fp))
	}
	if dg.Gates > 0 {
		no.reclaimer.extendPass(dg.Gates-1, dg.Clock)
	}
	if no.exchange.Follows() {
		return
	}
	for _, st := range dg.Stores {
		if no.cache.Hear(cachedir.State(st)) {
			go no.listCacheStore(st.Address)
		}
	}
	for _, pa := range dg.Cache {
		for _, id := range pa.Gone {
			no.cache.Learn(pa.Address, cachedir.Change{Part: cachedir.Part{Salt: pa.Salt, ID: id}})
		}
		for id, tokens := range pa.Added {
			no.cache.Learn(pa.Address, cachedir.Change{Part: cachedir.Part{Salt: pa.Salt, ID: id}, Added: true, Tokens: tokens})
		}
	}
}

// listCacheStore lists, once, a cache store that another host follows.
func (no *Node) listCacheStore(address string) {
	<-no.ck.After(rand.N(maxListDelay))
	li, err := no.deps.Caches.List(context.Background(), address)
	if err != nil {
		// Its parts become known when they are saved again.
		no.log.WithFields(logrus.Fields{"address": address, "cause": err.Error()}).Warn("Listing a cache store failed.")
		return
	}
	no.cache.Add(address, li)
}

// followCacheStores follows the cache stores of the configuration while the peer exchange assigns that
// role to this host, until ctx ends.
func (no *Node) followCacheStores(ctx context.Context) {
	following := make(map[string]context.CancelFunc)
	for {
		needed := make(map[string]bool)
		no.cache.Tell(no.exchange.Leads())
		if ct := no.gateway.Catalog(); ct != nil && no.exchange.Follows() {
			for _, cs := range ct.Stores() {
				needed[cs.Address] = true
			}
		}
		for address := range needed {
			if following[address] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				following[address] = cancel
				go no.cache.Follow(followCtx, no.deps.Caches, address, func(err error) { no.logCacheStore(address, err) })
			}
		}
		for address, cancel := range following {
			if !needed[address] {
				cancel()
				delete(following, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-no.ck.After(followCheckInterval):
		}
	}
}

func (no *Node) logCacheStore(address string, err error) {
	lg := no.log.WithFields(logrus.Fields{"dependency": "cache-store", "address": address})
	if err != nil {
		lg.WithField("cause", err.Error()).Warn("Dependency is lost.")
		return
	}
	lg.Info("Dependency is back.")
}
