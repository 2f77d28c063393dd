package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// reclaimInterval is the pause between two passes of the leader over the cache stores; the other hosts
	// check every reclaimIdleInterval whether they have become the leader.
	reclaimInterval     = 400 * time.Millisecond
	reclaimIdleInterval = 2 * time.Second
	// fetchDrainTime is the time that parts are kept after every host has seen the gate that excludes them,
	// so that fetches which started before have ended. It covers the longest fetch, the time that its
	// request is in transit, and a fetch that starts under a fetch grant, which is valid for 600 ms.
	fetchDrainTime = cachedir.MaxFetchTime + 1200*time.Millisecond
	// reclaimThreshold is the share of its capacity that the fullest store must use before parts of older
	// weights are evicted.
	reclaimThreshold = 0.5
	// maxFreedParts bounds the number of parts that one call to a store frees.
	maxFreedParts = 600
	// gateSteps is the number of steps in which a gate is lowered while the engines are upgraded.
	gateSteps = 8
	// maxHotParts bounds the number of hot parts of a version. They are kept until no engine runs the
	// version or an older one, since many conversations start with them.
	maxHotParts = 64
)

// reclaimer evicts parts of older weights from managed cache stores as the engines are upgraded to
// newer ones. It runs on the leader only.
//
// Gates are only ever lowered, so a call that frees parts is safe however late it arrives: no host
// fetches those parts again.
type reclaimer struct {
	no *Node

	mu          sync.Mutex
	gateHistory cachedir.GateHistory
	fetchGrant  cachedir.FetchGrant
	// unreadable is set while the newest gates cannot be decoded, and so cannot be enforced.
	unreadable bool
	// settlesAt is the reading of the boot-time clock from which gates may settle: when all registrations that this host may
	// not know of, from before it started or the store was restored from a copy, have expired.
	settlesAt time.Duration
}

// restore states that the store was restored from a copy.
func (rc *reclaimer) restore() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.gateHistory.Restore()
	rc.settlesAt = clock.SinceBoot() + registrationTTL
}

// setGates applies the gates from the metadata store.
func (rc *reclaimer) setGates(it metastore.Item) {
	var ga cachedir.Gates
	err := json.Unmarshal(it.Value, &ga)
	rc.mu.Lock()
	rc.unreadable = err != nil
	if err == nil {
		rc.gateHistory.Record(ga, it.Revision)
		ga = rc.gateHistory.InForce()
	}
	rc.mu.Unlock()
	if err != nil {
		rc.no.log.WithField("cause", err.Error()).Error("Cache gates are invalid; fetches from managed stores are disabled.")
		return
	}
	rc.no.cache.SetGates(ga)
}

// gatesRevision returns the revision of the newest gates, zero if there are none.
func (rc *reclaimer) gatesRevision() metastore.Revision {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, gatesRevision := rc.gateHistory.Last()
	return gatesRevision
}

// extendFetchGrant extends the fetch grant of this host after a report of a registered host. PeerRevision is the
// revision of the newest gates that the peer knew at clock, in milliseconds of the endpoints' clock.
func (rc *reclaimer) extendFetchGrant(peerRevision metastore.Revision, clock int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, ownRevision := rc.gateHistory.Last()
	rc.fetchGrant.Extend(peerRevision, ownRevision, clock)
}

// hasFetchGrant reports whether this host holds a fetch grant that is valid at clock, in milliseconds of the
// endpoints' clock.
func (rc *reclaimer) hasFetchGrant(clock int64) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.fetchGrant.IsValid(clock)
}

// hasUnreadableGates reports whether the newest gates could not be decoded.
func (rc *reclaimer) hasUnreadableGates() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.unreadable
}

// run lowers gates and frees the parts that they exclude, while this host is the leader, until ctx ends.
func (rc *reclaimer) run(ctx context.Context) {
	interval := reclaimInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-rc.no.ck.After(interval):
		}
		if _, ok := rc.no.leaderLease.FencingToken(); !ok {
			interval = reclaimIdleInterval
			continue
		}
		interval = reclaimInterval
		rc.lowerGates(ctx)
		if ga, ok := rc.settledGates(); ok {
			rc.freeParts(ctx, ga)
		}
	}
}

// lowerGates lowers the gates of older weights as engines are upgraded.
func (rc *reclaimer) lowerGates(ctx context.Context) {
	salts, highestFill := rc.no.cache.Salts()
	if highestFill < reclaimThreshold {
		return
	}
	rc.mu.Lock()
	stored, revision := rc.gateHistory.Last()
	next := maps.Clone(rc.gateHistory.InForce())
	rc.mu.Unlock()
	if next == nil {
		next = make(cachedir.Gates)
	}
	for _, salt := range salts {
		model, version, ok := cachedir.ParseSalt(salt)
		if !ok || version >= rc.no.storeState.targets.Target(model) {
			continue
		}
		next[salt] = next.Lower(salt, rc.openShare(model, version), func() []string { return rc.no.cache.HotParts(salt, maxHotParts) })
	}
	if maps.EqualFunc(next, stored, func(a, b cachedir.Gate) bool { return a.Open == b.Open }) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	// The watch delivers the new gates. After a conflict the next pass starts from the gates of the other
	// writer.
	if _, err := rc.no.deps.Store.Commit(ctx, metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: keyGates, Revision: revision}},
		Puts:          []metastore.Put{{Key: keyGates, Value: value}},
	}); err == nil {
		rc.no.log.WithFields(logrus.Fields{"gates": next, "fullest": highestFill}).Info("Cache's gates were lowered.")
	}
}

// openShare returns the value of Gate.Open for a version: the share of engines that run this version or an
// older one, rounded up to a step. Engines on older versions count because they are upgraded first: until
// then the engines on this version keep it and need its parts as much as before.
func (rc *reclaimer) openShare(model string, version uint64) uint32 {
	matching, total := 0, 0
	for _, vw := range rc.no.fleet.All() {
		running, ok := vw.Version(model)
		if !ok || vw.Draining {
			continue
		}
		total++
		if running <= version {
			matching++
		}
	}
	if total == 0 {
		return cachedir.GateOpen
	}
	return uint32((matching*gateSteps+total-1)/total) * cachedir.GateOpen / gateSteps
}

// settledGates returns the lowest gates that all hosts have seen for long enough that no fetch they
// exclude is still running.
func (rc *reclaimer) settledGates() (cachedir.Gates, bool) {
	seenRevision := rc.no.revisionSeenByAll()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if clock.SinceBoot() < rc.settlesAt {
		return nil, false
	}
	return rc.gateHistory.Settled(seenRevision, rc.no.ck.Now(), fetchDrainTime)
}

// freeParts frees the parts that the gates exclude.
func (rc *reclaimer) freeParts(ctx context.Context, ga cachedir.Gates) {
	for _, vi := range rc.no.cache.Victims(ga, maxFreedParts) {
		err := rc.no.deps.Caches.Free(ctx, vi.Address, vi.Epoch, vi.Until, vi.Parts)
		fields := logrus.Fields{"address": vi.Address, "parts": len(vi.Parts), "epoch": vi.Epoch}
		if err != nil {
			fields["cause"] = err.Error()
			rc.no.log.WithFields(fields).Warn("Freeing parts failed.")
			continue
		}
		rc.no.log.WithFields(fields).Info("Parts were freed.")
	}
}
