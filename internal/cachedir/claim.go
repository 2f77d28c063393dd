package cachedir

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// Claim returns the store in which a part of a length should be saved now, and counts it as being
// saved there. It returns "" if the part is kept or being saved already, or no store has room.
//
// Parts that many conversations begin with are wide: each store that starts transfers soonest gets a
// copy, one after the other, so that no single link carries all of their transfers.
func (di *Directory) Claim(pt Part, tokens int, wide bool) string {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	if wide {
		return di.claimCopy(pt, tokens, now)
	}
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok && so.slowness(now) < SlowStore {
			return ""
		}
		if sv, ok := so.saving[pt]; ok && now.Before(sv.until) {
			return ""
		}
	}
	best := di.choose(pt, tokens, now)
	if best == nil {
		return ""
	}
	best.saving[pt] = saving{tokens: tokens, until: now.Add(savingFor)}
	best.savingTokens += tokens
	return best.info.Address
}

// claimCopy returns a store that should get one more copy of a wide part.
func (di *Directory) claimCopy(pt Part, tokens int, now time.Time) string {
	soonest := di.soonest()
	var best *store
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok || !so.synced || so.info.Setup > soonest || so.slowness(now) >= SlowStore {
			continue
		}
		if sv, ok := so.saving[pt]; ok && now.Before(sv.until) {
			// One copy at a time is under way.
			return ""
		}
		if so.reserved(now)+tokens > int(float64(so.info.CapacityTokens)*fillShare) {
			continue
		}
		if best == nil || rendezvous.Score(rendezvous.Hash(pt.ID), so.hash) > rendezvous.Score(rendezvous.Hash(pt.ID), best.hash) {
			best = so
		}
	}
	if best == nil {
		return ""
	}
	best.saving[pt] = saving{tokens: tokens, until: now.Add(savingFor)}
	best.savingTokens += tokens
	return best.info.Address
}

// Home returns the availability zone of the store that holds a part, or would get it; empty if no
// store does.
func (di *Directory) Home(pt Part, tokens int) string {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok && so.synced && so.slowness(now) < SlowStore {
			return so.info.Zone
		}
	}
	if best := di.choose(pt, tokens, now); best != nil {
		return best.info.Zone
	}
	return ""
}

// choose returns the store that should get a part; nil if none has room.
func (di *Directory) choose(pt Part, tokens int, now time.Time) *store {
	var (
		best  *store
		score float64
	)
	soonest := di.soonest()
	key := rendezvous.Hash(pt.ID)
	for _, so := range di.stores {
		if _, ok := so.parts[pt]; ok || !so.synced || so.slowness(now) >= SlowStore {
			continue
		}
		if so.reserved(now)+tokens > int(float64(so.info.CapacityTokens)*fillShare) {
			continue
		}
		// Weighted rendezvous: stores get parts in proportion to their room.
		unit := float64(rendezvous.Score(key, so.hash)>>11)/(1<<53) + 1e-12
		sc := -float64(so.info.CapacityTokens) / math.Log(unit)
		if (tokens <= smallPart) == (so.info.Setup <= soonest) {
			sc += preferred
		}
		if best == nil || sc > score {
			best, score = so, sc
		}
	}
	return best
}
