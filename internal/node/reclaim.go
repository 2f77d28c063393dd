package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// reclaimInterval is the pause between two passes over the cache stores.
	reclaimInterval = 400 * time.Millisecond
	// fetchDrainTime is how long after the last host has seen a lowered gate a fetch that the gate
	// excludes may still run. Besides the fetch itself it covers the time for which its request may
	// already be on its way, and a fetch that starts on a fetch grant, which is valid for 600 ms.
	fetchDrainTime = cachedir.MaxFetchTime + 1200*time.Millisecond
	// reclaimThreshold is the fill ratio of the fullest store from which parts of older weights are
	// evicted.
	reclaimThreshold = 0.5
	// maxFreedParts bounds the parts that one call to a store frees.
	maxFreedParts = 600
	// gateSteps is the number of steps in which a gate is lowered while the engines are upgraded.
	gateSteps = 8
	// maxHotParts bounds the hot parts of a version, which are kept until no engine runs the version,
	// since many conversations start with them.
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
}

// setGates applies the gates from the metadata store.
func (rc *reclaimer) setGates(it metastore.Item) {
	var ga cachedir.Gates
	err := json.Unmarshal(it.Value, &ga)
	rc.mu.Lock()
	rc.unreadable = err != nil
	if err == nil {
		rc.gateHistory.Record(ga, it.Revision)
	}
	rc.mu.Unlock()
	if err != nil {
		rc.no.log.WithField("cause", err.Error()).Error("Cache gates are invalid; fetches from managed stores are disabled.")
		return
	}
	rc.no.cache.SetGates(ga)
}

// gatesRevision returns the revision of the newest gates, zero if there are none.
func (rc *reclaimer) gatesRevision() uint64 {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, gatesRevision := rc.gateHistory.Last()
	return gatesRevision
}

// extendFetchGrant extends the fetch grant of this host by the report of a registered host: the revision of the
// newest gates that the peer knew at the given time of the endpoints' clock.
func (rc *reclaimer) extendFetchGrant(peerRevision uint64, clock int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, ownRevision := rc.gateHistory.Last()
	rc.fetchGrant.Extend(peerRevision, ownRevision, clock)
}

// hasFetchGrant reports whether this host holds a fetch grant that is valid at the given time of the endpoints'
// clock.
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

func (rc *reclaimer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-rc.no.ck.After(reclaimInterval):
		}
		if _, ok := rc.no.leaderLease.FencingToken(); !ok {
			continue
		}
		rc.lowerGates(ctx)
		if ga, ok := rc.settledGates(); ok {
			rc.freeParts(ctx, ga)
		}
	}
}

// lowerGates lowers the gates of older weights as engines are upgraded.
func (rc *reclaimer) lowerGates(ctx context.Context) {
	salts, fullest := rc.no.cache.Salts()
	if fullest < reclaimThreshold {
		return
	}
	rc.mu.Lock()
	current, revision := rc.gateHistory.Last()
	rc.mu.Unlock()
	next := make(cachedir.Gates, len(current))
	maps.Copy(next, current)
	for _, salt := range salts {
		model, version, ok := cachedir.ParseSalt(salt)
		if !ok || version >= rc.no.storeState.targets.target(model) {
			continue
		}
		next[salt] = next.Lower(salt, rc.openShare(model, version), func() []string { return rc.no.cache.HotParts(salt, maxHotParts) })
	}
	if maps.EqualFunc(next, current, func(a, b cachedir.Gate) bool { return a.Open == b.Open }) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	// The watch delivers the new gates. After a conflict the next pass starts from those that won.
	if _, err := rc.no.deps.Store.Commit(ctx, metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: keyGates, Revision: revision}},
		Puts:          []metastore.Put{{Key: keyGates, Value: value}},
	}); err == nil {
		rc.no.log.WithFields(logrus.Fields{"gates": next, "fullest": fullest}).Info("Cache's gates were lowered.")
	}
}

// openShare returns how far the gate of a version stays open, rounded up to a step: the share of
// engines that run this version or an older one. Engines on older versions count because they are
// upgraded first, so that the engines on this version still need as much.
func (rc *reclaimer) openShare(model string, version uint64) uint32 {
	matching, total := 0, 0
	for _, vw := range rc.no.fleet.All() {
		have, ok := vw.Version(model)
		if !ok || vw.Draining {
			continue
		}
		total++
		if have <= version {
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
	known := rc.no.revisionSeenByAll()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.gateHistory.Settled(known, rc.no.ck.Now(), fetchDrainTime)
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
