package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictVerdict removes the weakest verdict if there is no room for another one.
func (tr *PartTracker) evictVerdict() {
	var all []Verdict
	for _, su := range tr.suspects {
		if su.verdict != nil {
			all = append(all, *su.verdict)
		}
	}
	if len(all) < maxVerdicts {
		return
	}
	tr.suspects[slices.MaxFunc(all, CompareVerdicts).Part].verdict = nil
}

func (tr *PartTracker) suspect(id string) *partSuspect {
	su := tr.suspects[id]
	if su == nil {
		tr.evictSuspects()
		su = &partSuspect{crashes: make(map[string]*partCrash)}
		tr.suspects[id] = su
		tr.suspectCount.Store(int64(len(tr.suspects)))
	}
	return su
}

func (tr *PartTracker) deleteSuspect(id string) {
	delete(tr.suspects, id)
	tr.suspectCount.Store(int64(len(tr.suspects)))
}

// evictSuspects makes room for a part if there is none.
func (tr *PartTracker) evictSuspects() {
	if len(tr.suspects) < maxSuspects {
		return
	}
	ids := slices.SortedFunc(maps.Keys(tr.suspects), func(a, b string) int {
		return cmp.Or(cmp.Compare(tr.suspects[a].rank(), tr.suspects[b].rank()), cmp.Compare(a, b))
	})
	for _, id := range ids[:maxSuspects/4] {
		tr.deleteSuspect(id)
	}
}

// sweep removes what has expired, at most once per sweepInterval.
func (tr *PartTracker) sweep(now time.Time) {
	if now.Sub(tr.sweptAt) < sweepInterval {
		return
	}
	tr.sweptAt = now
	for _, cr := range tr.crashes {
		if now.Sub(cr.detectedAt) > suspicionRetention {
			tr.dropCrash(cr)
		}
	}
	for id, su := range tr.suspects {
		if su.verdict != nil && su.verdict.IsExpired(now) {
			su.verdict = nil
		}
		if su.verdict == nil && len(su.crashes) == 0 && !su.trying && now.Sub(su.clearedAt) > clearedRetention {
			tr.deleteSuspect(id)
		}
	}
	if len(tr.suspects) == 0 {
		clear(tr.lastSuccess)
	}
}

func (tr *PartTracker) dropCrash(cr *partCrash) {
	delete(tr.crashes, cr.id)
	for part := range cr.parts {
		if su := tr.suspects[part]; su != nil {
			delete(su.crashes, cr.id)
		}
	}
}

func (tr *PartTracker) oldestCrash() *partCrash {
	var oldest *partCrash
	for _, cr := range tr.crashes {
		if oldest == nil || cr.detectedAt.Before(oldest.detectedAt) {
			oldest = cr
		}
	}
	return oldest
}
