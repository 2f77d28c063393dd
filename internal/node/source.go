package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// maxCacheChanges bounds the number of changes of cache stores' contents in one digest.
	maxCacheChanges = 300
	// followCheckInterval is the pause between checks of whether this host follows the cache stores.
	followCheckInterval = 250 * time.Millisecond
	// maxListDelay bounds the random delay before a host lists a cache store, so that hosts that start
	// together do not all list it at once.
	maxListDelay = 1500 * time.Millisecond
)

// digestSource is a Node as the delegate of its peer exchange: it composes the digests of this host and handles
// those of its peers.
type digestSource Node

var _ peering.Delegate = (*digestSource)(nil)

// LocalDigest returns a digest of the state that this host has observed itself.
func (ds *digestSource) LocalDigest() peering.Digest {
	no := (*Node)(ds)
	dg := peering.Digest{Host: no.st.Name, AppliedRevision: no.storeState.seen(), UnreachableBy: no.fleet.DownEndpoints()}
	for id, ld := range no.fleet.OwnLoads() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(id), Requests: ld.Requests, Tokens: ld.Tokens, PrefillTokens: ld.PrefillTokens})
	}
	for address, tokens := range no.cache.OwnTransfers() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(address), Tokens: tokens})
	}
	for _, id := range no.upgrades.LoadingEngines() {
		dg.Weights = append(dg.Weights, peering.EndpointWeights{Endpoint: id, Loading: true})
	}
	for id, models := range no.fleet.RecentWeights(learnedVersionTTL) {
		for model, version := range models {
			dg.Weights = append(dg.Weights, peering.EndpointWeights{Endpoint: id, Model: model, Version: version})
		}
	}
	now := no.ck.Now()
	dg.Statements = no.endpointStatements(now)
	// The clock is read before the revision of the gates: if the gates change in between, peers get a
	// shorter grant or none, never a longer one.
	if endpointClock := no.cache.Clock(); endpointClock > 0 && no.isRegistered() {
		revision := no.reclaimer.gatesRevision()
		dg.EndpointClockMs, dg.GateRevision = endpointClock, &revision
	}
	crashes, cleared := no.quarantine.RecentChanges()
	for _, cr := range crashes {
		reporter := cr.Reporter
		if reporter == "" {
			reporter = no.st.Name
		}
		dg.Crashes = append(dg.Crashes, peering.CrashReport{
			Fingerprint: string(cr.Fingerprint), CrashID: cr.CrashID, Reporter: reporter,
			AgeUs: now.Sub(cr.DetectedAt).Microseconds(), RanUs: cr.DetectedAt.Sub(cr.RunStart).Microseconds(),
		})
	}
	for _, cl := range cleared {
		dg.Cleared = append(dg.Cleared, peering.ClearedRequest{Fingerprint: string(cl.Fingerprint), AgeUs: now.Sub(cl.At).Microseconds()})
	}
	no.addPartState(&dg)
	no.addTimes(&dg)
	no.addRolloutState(&dg)
	return dg
}

// DrainZoneState returns the changes of the cache stores' contents that have not been returned before, at
// most maxCacheChanges, the states of the stores, and the recent changes of the metadata store.
func (ds *digestSource) DrainZoneState() peering.Digest {
	no := (*Node)(ds)
	var dg peering.Digest
	if up, ok := no.feedPublisher.Update(); ok {
		dg.Feed = &up
	}
	changes, states := no.cache.DrainChanges(maxCacheChanges)
	for _, st := range states {
		dg.CacheStores = append(dg.CacheStores, peering.CacheStoreState{
			Address: st.Address, Epoch: st.Epoch, Clock: st.Clock, AgeMs: st.Age.Milliseconds(),
		})
	}
	type group struct{ address, salt string }
	groups := make(map[group]*peering.PartChanges)
	for _, sc := range changes {
		key := group{sc.Address, sc.Salt}
		pc := groups[key]
		if pc == nil {
			pc = &peering.PartChanges{Address: sc.Address, Salt: sc.Salt, Added: make(map[string]int)}
			groups[key] = pc
		}
		if sc.Added {
			pc.Added[sc.ID] = sc.Tokens
		} else {
			delete(pc.Added, sc.ID)
			pc.Removed = append(pc.Removed, sc.ID)
		}
	}
	for _, pc := range groups {
		dg.CacheChanges = append(dg.CacheChanges, *pc)
	}
	return dg
}

// HandleDigest merges a digest from a peer.
func (ds *digestSource) HandleDigest(dg peering.Digest) {
	no := (*Node)(ds)
	no.peerContact.Confirm(clock.SinceBoot())
	if dg.Tier == peering.TierDirect {
		no.noteHeard(dg.Host)
	}
	no.learnEra(dg)
	// An update may have waited since before a standstill.
	if dg.Feed != nil && !no.freshness.IsInDoubt() {
		no.feedSubscriber.Offer(dg.Host, *dg.Feed)
	}
	loads := make(map[peering.Key]fleet.Load, len(dg.Loads))
	for _, ld := range dg.Loads {
		loads[ld.Endpoint] = fleet.Load{Requests: ld.Requests, Tokens: ld.Tokens, PrefillTokens: ld.PrefillTokens}
	}
	// Digests of other tiers sum up several hosts: each replaces the last one under a common name.
	from := dg.Host
	if dg.Tier != peering.TierDirect {
		from = "total"
	}
	no.fleet.SetPeerLoads(from, func(idHash uint64) (fleet.Load, bool) {
		ld, ok := loads[peering.Key(idHash)]
		return ld, ok
	})
	no.cache.SetPeerTransfers(from, func(address string) int { return loads[peering.KeyOf(address)].Tokens })
	no.fleet.MarkPeerDown(dg.UnreachableBy)
	no.mu.Lock()
	if dg.Tier == peering.TierDirect {
		no.peerSeenRevisions[dg.Host] = dg.AppliedRevision
	}
	for name, seenRevision := range dg.HostRevisions {
		no.peerSeenRevisions[name] = seenRevision
	}
	no.mu.Unlock()
	for _, we := range dg.Weights {
		if we.Loading {
			no.fleet.MarkLoading(we.Endpoint, no.ck.Now().Add(peerLoadingTTL))
			continue
		}
		no.fleet.UpdateWeights(we.Endpoint, we.Model, we.Version)
	}
	now := no.ck.Now()
	no.mergeStatements(dg.Statements, now)
	for _, cr := range dg.Crashes {
		// This host may have reported it itself, before it was restarted.
		detectedAt := now.Add(-time.Duration(cr.AgeUs) * time.Microsecond)
		no.quarantine.RecordReport(quarantine.Report{
			Fingerprint: quarantine.Fingerprint(cr.Fingerprint), CrashID: cr.CrashID, Reporter: cr.Reporter,
			RunStart: detectedAt.Add(-time.Duration(cr.RanUs) * time.Microsecond), DetectedAt: detectedAt,
		})
	}
	for _, cl := range dg.Cleared {
		at := now.Add(-time.Duration(cl.AgeUs) * time.Microsecond)
		no.quarantine.MergeCleared(quarantine.ClearedRequest{Fingerprint: quarantine.Fingerprint(cl.Fingerprint), At: at})
	}
	no.mergePartState(dg)
	no.mergeTimes(from, dg)
	no.mergeRolloutState(from, dg)
	if dg.GateRevision != nil {
		no.reclaimer.extendFetchGrant(*dg.GateRevision, dg.EndpointClockMs)
	}
	if no.exchange.FollowsCacheStores() {
		return
	}
	for _, st := range dg.CacheStores {
		if no.cache.ApplyState(cachedir.State{
			Address: st.Address, Epoch: st.Epoch, Clock: st.Clock, Age: time.Duration(st.AgeMs) * time.Millisecond,
		}) {
			go no.listCacheStore(st.Address)
		}
	}
	for _, pc := range dg.CacheChanges {
		for _, id := range pc.Removed {
			no.cache.ApplyChange(pc.Address, cachedir.Change{Part: cachedir.Part{Salt: pc.Salt, ID: id}})
		}
		for id, tokens := range pc.Added {
			no.cache.ApplyChange(pc.Address, cachedir.Change{Part: cachedir.Part{Salt: pc.Salt, ID: id}, Added: true, Tokens: tokens})
		}
	}
}

// listCacheStore lists a cache store that another host follows, once and after a random delay.
func (no *Node) listCacheStore(address string) {
	<-no.ck.After(rand.N(maxListDelay))
	li, err := no.deps.Caches.List(context.Background(), address)
	if err != nil {
		// Its parts become known when they are saved again.
		no.log.WithFields(logrus.Fields{"address": address, "cause": err.Error()}).Warn("Listing a cache store failed.")
		return
	}
	no.cache.AddListing(address, li)
}

// followCacheStores follows the cache stores of the configuration while the peer exchange assigns that
// role to this host, until ctx ends.
func (no *Node) followCacheStores(ctx context.Context) {
	following := make(map[string]context.CancelFunc)
	for {
		needed := make(map[string]bool)
		no.cache.SetCollectChanges(no.exchange.IsZoneAggregator())
		if ct := no.gateway.Catalog(); ct != nil && no.exchange.FollowsCacheStores() {
			for _, cs := range ct.CacheStores() {
				needed[cs.Address] = true
			}
		}
		for address := range needed {
			if following[address] == nil {
				followCtx, cancel := context.WithCancel(ctx)
				following[address] = cancel
				go no.cache.Follow(followCtx, no.deps.Caches, address, func(err error) { no.logCacheStoreStatus(address, err) })
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

func (no *Node) logCacheStoreStatus(address string, err error) {
	lg := no.log.WithFields(logrus.Fields{"dependency": "cache-store", "address": address})
	if err != nil {
		lg.WithField("cause", err.Error()).Warn("Dependency is lost.")
		return
	}
	lg.Info("Dependency is back.")
}
