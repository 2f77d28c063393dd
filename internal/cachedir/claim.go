package cachedir

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// Claim returns the address of the store in which to save a part of the given length, and marks the part
// as being saved there. It returns "" if the part is already stored or being saved, or no store has room.
//
// Parts with which many conversations begin are replicated: each of the stores with the shortest setup
// latency gets a copy, one after the other, so that their transfers do not all share one link.
func (di *Directory) Claim(pt Part, tokens int, replicated bool) string {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	if replicated {
		return di.claimCopy(pt, tokens, now)
	}
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok && so.slowness(now) < SlowStoreRatio {
			return ""
		}
		if ps, ok := so.pendingSaves[pt]; ok && now.Before(ps.expiresAt) {
			return ""
		}
	}
	best := di.chooseStore(pt, tokens, now)
	if best == nil {
		return ""
	}
	best.pendingSaves[pt] = pendingSave{tokens: tokens, expiresAt: now.Add(pendingSaveTimeout)}
	best.pendingSaveTokens += tokens
	return best.info.Address
}

// claimCopy claims a store for one more copy of a replicated part.
func (di *Directory) claimCopy(pt Part, tokens int, now time.Time) string {
	minSetup := di.minSetupLatency()
	var best *store
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok || !so.synced || so.info.SetupLatency > minSetup || so.slowness(now) >= SlowStoreRatio {
			continue
		}
		if ps, ok := so.pendingSaves[pt]; ok && now.Before(ps.expiresAt) {
			// Only one copy is saved at a time.
			return ""
		}
		if so.reservedTokens(now)+tokens > int(float64(so.info.CapacityTokens)*maxFillShare) {
			continue
		}
		if best == nil || rendezvous.Score(rendezvous.Hash(pt.ID), so.hash) > rendezvous.Score(rendezvous.Hash(pt.ID), best.hash) {
			best = so
		}
	}
	if best == nil {
		return ""
	}
	best.pendingSaves[pt] = pendingSave{tokens: tokens, expiresAt: now.Add(pendingSaveTimeout)}
	best.pendingSaveTokens += tokens
	return best.info.Address
}

// HomeZone returns the availability zone of the store that holds a part or would get it; empty if there is
// no such store.
func (di *Directory) HomeZone(pt Part, tokens int) string {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok && so.synced && so.slowness(now) < SlowStoreRatio {
			return so.info.Zone
		}
	}
	if best := di.chooseStore(pt, tokens, now); best != nil {
		return best.info.Zone
	}
	return ""
}

// chooseStore returns the store that should get a part; nil if no store has room.
func (di *Directory) chooseStore(pt Part, tokens int, now time.Time) *store {
	var (
		best      *store
		bestScore float64
	)
	minSetup := di.minSetupLatency()
	key := rendezvous.Hash(pt.ID)
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok || !so.synced || so.slowness(now) >= SlowStoreRatio {
			continue
		}
		if so.reservedTokens(now)+tokens > int(float64(so.info.CapacityTokens)*maxFillShare) {
			continue
		}
		// Weighted rendezvous hashing: stores get parts in proportion to their capacity.
		uniform := float64(rendezvous.Score(key, so.hash)>>11)/(1<<53) + 1e-12
		sc := -float64(so.info.CapacityTokens) / math.Log(uniform)
		if (tokens <= smallPartTokens) == (so.info.SetupLatency <= minSetup) {
			sc += preferredStoreBonus
		}
		if best == nil || sc > bestScore {
			best, bestScore = so, sc
		}
	}
	return best
}
