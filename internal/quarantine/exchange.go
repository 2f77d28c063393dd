package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Clear clears a part after a response at another host. Crashes after that response still count.
func (tr *PartTracker) Clear(cl Cleared) {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if now := tr.opts.Clock.Now(); cl.At.After(now) {
		cl.At = now
	}
	tr.clear(PartID(cl.Part), cl.At)
}

// Release clears a part by an operator's order.
func (tr *PartTracker) Release(part string) {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	id := PartID(part)
	if su := tr.suspects[id]; su != nil && su.verdict != nil {
		su.verdict.ByOperator = false
	}
	tr.clear(id, tr.opts.Clock.Now())
}

// Block blocks a part by an operator's order, for an hour unless it is cleared.
func (tr *PartTracker) Block(part string) {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	id := PartID(part)
	su := tr.suspect(id)
	ve := NewOperatorVerdict(id, now)
	ve.Crashes, ve.Reporters = len(su.crashes), []string{tr.opts.Host}
	tr.setVerdict(su, ve, now)
}

// Merge adopts the verdict of another host, or of a store, if it is stronger or newer than the one that is known and
// no response has cleared the part since; in that case it returns false. What an operator has set is always adopted.
func (tr *PartTracker) Merge(ve Verdict) bool {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	ve.Part = PartID(ve.Part)
	ve.Strikes = min(max(ve.Strikes, 1), maxStrikes)
	if ve.LastCrash.After(now) {
		ve.LastCrash = now
	}
	if ve.IsExpired(now) {
		return true
	}
	su := tr.suspect(ve.Part)
	if !ve.ByOperator && !su.clearedAt.IsZero() && su.clearedAt.Add(maxVerdictSkew).After(ve.LastCrash) {
		if now.Sub(su.announcedAt) > recentChangePeriod {
			su.announcedAt = now
		}
		return false
	}
	if su.verdict == nil {
		tr.setVerdict(su, ve, now)
		return true
	}
	known := su.verdict
	known.ByOperator = known.ByOperator || ve.ByOperator
	known.Crashes = max(known.Crashes, ve.Crashes)
	known.Reporters = mergeReporters(known.Reporters, ve.Reporters)
	known.removeCompanions(func(id string) bool { return slices.Contains(ve.Companions, id) })
	// Each relay makes a crash seem a little newer, so only a clear difference counts.
	if ve.Strikes > known.Strikes || ve.LastCrash.After(known.LastCrash.Add(maxVerdictSkew)) {
		known.Strikes = max(known.Strikes, ve.Strikes)
		known.LastCrash = ve.LastCrash
		su.triedSlot = 0
	}
	return true
}

func (tr *PartTracker) setVerdict(su *partSuspect, ve Verdict, now time.Time) {
	if su.verdict == nil {
		tr.evictVerdict()
	}
	su.verdict = &ve
	su.triedSlot = 0
	tr.noteChange(PartBlocked, ve, now)
}

// Verdicts returns the blocked parts, the strongest first.
func (tr *PartTracker) Verdicts() []Verdict {
	if tr.suspectCount.Load() == 0 {
		return nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	var out []Verdict
	for _, su := range tr.suspects {
		if su.verdict != nil && !su.verdict.IsExpired(now) {
			ve := *su.verdict
			ve.Reporters, ve.Companions = slices.Clone(ve.Reporters), slices.Clone(ve.Companions)
			out = append(out, ve)
		}
	}
	slices.SortFunc(out, CompareVerdicts)
	return out
}

// RecentChanges returns what this host tells the others: the crashes that it detected in the last seconds, the
// newest first, the parts that were cleared lately, and the strongest verdicts.
func (tr *PartTracker) RecentChanges() (crashes []PartCrash, cleared []Cleared, verdicts []Verdict) {
	verdicts = tr.Verdicts()
	if tr.suspectCount.Load() == 0 {
		return nil, nil, nil
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	tr.sweep(now)
	for _, cr := range tr.crashes {
		if len(cr.ownParts) > 0 && now.Sub(cr.detectedAt) < partReportPeriod {
			crashes = append(crashes, PartCrash{
				ID: cr.id, Reporter: tr.opts.Host, Scope: cr.scope, DetectedAt: cr.detectedAt, Parts: slices.Sorted(maps.Keys(cr.ownParts)),
			})
		}
	}
	slices.SortFunc(crashes, func(a, b PartCrash) int { return b.DetectedAt.Compare(a.DetectedAt) })
	for id, su := range tr.suspects {
		if !su.clearedAt.IsZero() && now.Sub(later(su.clearedAt, su.announcedAt)) < recentChangePeriod {
			cleared = append(cleared, Cleared{Part: id, At: su.clearedAt})
		}
	}
	slices.SortFunc(cleared, func(a, b Cleared) int { return b.At.Compare(a.At) })
	return boundParts(crashes), cleared[:min(len(cleared), maxRecentChanges)],
		verdicts[:min(len(verdicts), maxSentVerdicts)]
}

// boundParts returns the first crashes, with maxSentParts parts or a few more.
func boundParts(crashes []PartCrash) []PartCrash {
	parts := 0
	for i, pc := range crashes {
		if parts >= maxSentParts || i >= maxRecentChanges {
			return crashes[:i]
		}
		parts += len(pc.Parts)
	}
	return crashes
}
