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
	// reclaimEvery is the pause between two looks at the cache stores.
	reclaimEvery = 400 * time.Millisecond
	// fetchesEnd is how long after the last host has seen a gate a fetch that began before can
	// last; the request may be on its way for a moment before, or begin on a pass of 600 ms.
	fetchesEnd = cachedir.FetchMost + 1200*time.Millisecond
	// reclaimFrom is the share of a store from which room is made for newer weights.
	reclaimFrom = 0.5
	// victimsMost bounds the parts that one call frees.
	victimsMost = 600
	// gateSteps is in how many steps a gate goes down while the engines change their weights.
	gateSteps = 8
	// hotMost bounds the parts that are kept for as long as an engine has the version, since many
	// conversations begin with them.
	hotMost = 64
)

// reclaim makes room in managed cache stores: parts of older weights are given up as the engines
// move on to newer ones. It works on the host that holds the seat.
//
// Gates only go down, so that a call that frees parts is safe however late it arrives: nobody will
// fetch them again.
type reclaim struct {
	no *Node

	mu      sync.Mutex
	descent cachedir.Descent
	pass    cachedir.Pass
	// unreadable reports gates that this host does not understand, and so cannot keep to.
	unreadable bool
}

// take takes the gates from the metadata store.
func (re *reclaim) take(it metastore.Item) {
	var ga cachedir.Gates
	err := json.Unmarshal(it.Value, &ga)
	re.mu.Lock()
	re.unreadable = err != nil
	if err == nil {
		re.descent.Take(ga, it.Revision)
	}
	re.mu.Unlock()
	if err != nil {
		re.no.log.WithField("cause", err.Error()).Error("Gates of the cache are not usable; nothing is fetched from managed stores.")
		return
	}
	re.no.cache.SetGates(ga)
}

// revision returns that of the newest gates, zero if there are none.
func (re *reclaim) revision() uint64 {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, revision := re.descent.Last()
	return revision
}

// extend takes the word of a registered host, given at a time of the endpoints' clock, on the revision
// of the newest gates.
func (re *reclaim) extend(told uint64, clock int64) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, own := re.descent.Last()
	re.pass.Extend(told, own, clock)
}

// hasPass reports whether this host may fetch on the word of another.
func (re *reclaim) hasPass(clock int64) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.pass.IsValid(clock)
}

// isUnreadable reports whether the newest gates could not be read.
func (re *reclaim) isUnreadable() bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.unreadable
}

func (re *reclaim) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-re.no.ck.After(reclaimEvery):
		}
		if _, ok := re.no.seat.Fence(); !ok {
			continue
		}
		re.lower(ctx)
		if ga, ok := re.settled(); ok {
			re.free(ctx, ga)
		}
	}
}

// lower brings the gates of older weights down as engines move on.
func (re *reclaim) lower(ctx context.Context) {
	salts, fullest := re.no.cache.Salts()
	if fullest < reclaimFrom {
		return
	}
	re.mu.Lock()
	have, revision := re.descent.Last()
	re.mu.Unlock()
	next := make(cachedir.Gates, len(have))
	maps.Copy(next, have)
	for _, salt := range salts {
		model, version, ok := cachedir.ParseSalt(salt)
		if !ok || version >= re.no.state.weights.wanted(model) {
			continue
		}
		next[salt] = next.Lower(salt, re.share(model, version), func() []string { return re.no.cache.Hot(salt, hotMost) })
	}
	if maps.EqualFunc(next, have, func(a, b cachedir.Gate) bool { return a.Open == b.Open }) {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	// The watch brings the new gates back; after a conflict the next look starts from those.
	if _, err := re.no.wo.Store.Commit(ctx, metastore.Transaction{
		Expect: []metastore.Expectation{{Key: keyGates, Revision: revision}},
		Puts:   []metastore.Put{{Key: keyGates, Value: value}},
	}); err == nil {
		re.no.log.WithFields(logrus.Fields{"gates": next, "fullest": fullest}).Info("Cache's gates were lowered.")
	}
}

// share returns the gate of a version, in steps: open as far as engines have that version or one before
// it. Those before are brought up first, so that the engines with this version still need as much.
func (re *reclaim) share(model string, version uint64) uint32 {
	with, all := 0, 0
	for _, vw := range re.no.fleet.All() {
		have, ok := vw.Version(model)
		if !ok || vw.Draining {
			continue
		}
		all++
		if have <= version {
			with++
		}
	}
	if all == 0 {
		return cachedir.GateOpen
	}
	return uint32((with*gateSteps+all-1)/all) * cachedir.GateOpen / gateSteps
}

// settled returns the lowest gates that all hosts have seen and that no fetch from before passes.
func (re *reclaim) settled() (cachedir.Gates, bool) {
	known := re.no.knownToAll()
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.descent.Settled(known, re.no.ck.Now(), fetchesEnd)
}

func (re *reclaim) free(ctx context.Context, ga cachedir.Gates) {
	for _, vi := range re.no.cache.Victims(ga, victimsMost) {
		err := re.no.wo.Caches.Free(ctx, vi.Address, vi.Epoch, vi.Until, vi.Parts)
		fields := logrus.Fields{"address": vi.Address, "parts": len(vi.Parts), "epoch": vi.Epoch}
		if err != nil {
			fields["cause"] = err.Error()
			re.no.log.WithFields(fields).Warn("Parts were not freed.")
			continue
		}
		re.no.log.WithFields(fields).Info("Parts were freed.")
	}
}
