package quarantine

import (
	"maps"
	"slices"
	"time"
)

// RecordCrash adds a report of another host.
func (tr *PartTracker) RecordCrash(pc PartCrash) {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.addCrash(pc, tr.opts.Clock.Now())
}

// recordOwnCrash adds a crash that this host has detected.
func (tr *PartTracker) recordOwnCrash(id string, detectedAt time.Time, ru *Run) {
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	keys := partKeys(ru.parts)
	for _, part := range ru.trials {
		su := tr.suspects[part]
		if su == nil || su.verdict == nil {
			continue
		}
		su.verdict.removeCompanions(func(id string) bool { return slices.Contains(keys, id) })
		if slices.Contains(ru.blockedTrials, part) || detectedAt.After(su.verdict.BlockedUntil()) {
			su.verdict.Strikes = min(su.verdict.Strikes+1, maxStrikes)
			su.verdict.LastCrash = later(su.verdict.LastCrash, detectedAt)
			su.triedSlot = 0
			tr.noteChange(PartBlocked, *su.verdict, now)
		}
	}
	cr := tr.addCrash(PartCrash{ID: id, Reporter: tr.opts.Host, Scope: ru.scope, DetectedAt: detectedAt, Parts: ru.parts}, now)
	for _, part := range keys {
		if cr.parts[part] && len(cr.ownParts) < maxCrashParts {
			cr.ownParts[part] = true
		}
	}
}

// addCrash adds a report to its crash. Of several times it keeps the earliest.
func (tr *PartTracker) addCrash(pc PartCrash, now time.Time) *partCrash {
	tr.sweep(now)
	cr := tr.crashes[pc.ID]
	if cr == nil {
		if len(tr.crashes) >= maxCrashes {
			tr.dropCrash(tr.oldestCrash())
		}
		cr = &partCrash{
			id: pc.ID, scope: pc.Scope, detectedAt: pc.DetectedAt,
			parts: make(map[string]bool), reporters: make(map[string]bool), ownParts: make(map[string]bool),
		}
		tr.crashes[pc.ID] = cr
	}
	if pc.DetectedAt.Before(cr.detectedAt) {
		cr.detectedAt = pc.DetectedAt
	}
	cr.reporters[pc.Reporter] = true
	isNew := false
	for _, part := range pc.Parts {
		part = PartID(part)
		if cr.parts[part] || len(cr.parts) >= maxCrashParts && tr.suspects[part].rank() < suspicionIncidents {
			continue
		}
		cr.parts[part] = true
		isNew = true
		tr.accuse(part, cr, now)
	}
	if !isNew {
		return cr
	}
	for _, part := range slices.Sorted(maps.Keys(cr.parts)) {
		if su := tr.suspects[part]; su != nil {
			tr.judge(part, su, now)
		}
	}
	return cr
}

// accuse counts a crash against a part unless a response has cleared the part since.
func (tr *PartTracker) accuse(part string, cr *partCrash, now time.Time) {
	su := tr.suspect(part)
	if !su.clearedAt.IsZero() && !cr.detectedAt.After(su.clearedAt) {
		return
	}
	su.crashes[cr.id] = cr
	if ve := su.verdict; ve != nil {
		ve.Crashes++
		ve.Reporters = mergeReporters(ve.Reporters, reportersOf([]*partCrash{cr}))
		if cr.detectedAt.After(ve.LastCrash) && cr.detectedAt.Before(now.Add(maxVerdictSkew)) {
			ve.LastCrash = cr.detectedAt
			su.triedSlot = 0
		}
	}
}

// judge blocks a part if there is enough evidence against it. Without a response to other requests of the service
// since the first crash, the service as a whole may be the cause, so that more crashes are needed.
func (tr *PartTracker) judge(id string, su *partSuspect, now time.Time) {
	if su.verdict != nil || len(su.crashes) < blockIncidents {
		return
	}
	crashes := slices.DeleteFunc(tr.unexplained(id, su), func(cr *partCrash) bool { return now.Sub(cr.detectedAt) < settlePeriod })
	incidents := countIncidents(crashes)
	if incidents < blockIncidents && (incidents < blockIncidentsOfMany || len(crashes) < blockCrashes) {
		return
	}
	if len(crashes) < blockCrashesAlone && !tr.lastSuccess[crashes[0].scope].After(crashes[0].detectedAt) {
		return
	}
	// All parts with the same evidence are blocked together; otherwise the first one would explain the others' crashes.
	group := append(tr.companions(id, crashes), id)
	for _, part := range group {
		others := slices.DeleteFunc(slices.Clone(group), func(other string) bool { return other == part })
		if member := tr.suspects[part]; member.verdict == nil {
			tr.setVerdict(member, Verdict{
				Part: part, Crashes: len(crashes), Strikes: 1, LastCrash: crashes[len(crashes)-1].detectedAt,
				Reporters: reportersOf(crashes), Companions: others,
			}, now)
		}
	}
}

// companions returns up to maxCompanions other parts that all of the crashes still accuse.
func (tr *PartTracker) companions(id string, crashes []*partCrash) []string {
	var out []string
	for _, part := range slices.Sorted(maps.Keys(crashes[0].parts)) {
		su := tr.suspects[part]
		if part == id || su == nil || len(out) == maxCompanions {
			continue
		}
		if !slices.ContainsFunc(crashes, func(cr *partCrash) bool { return su.crashes[cr.id] == nil }) {
			out = append(out, part)
		}
	}
	return out
}

// unexplained returns the crashes of a part without those that accuse a part with more crashes as well.
func (tr *PartTracker) unexplained(id string, su *partSuspect) []*partCrash {
	var out []*partCrash
	own := su.rank()
	for _, cr := range su.crashes {
		isExplained := false
		for other := range cr.parts {
			if other != id && tr.suspects[other].rank() > max(own, suspicionIncidents-1) {
				isExplained = true
				break
			}
		}
		if !isExplained {
			out = append(out, cr)
		}
	}
	return out
}

func (tr *PartTracker) recordSuccess(scope string, parts []string) {
	if tr.suspectCount.Load() == 0 {
		return
	}
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	if _, ok := tr.lastSuccess[scope]; ok || len(tr.lastSuccess) < maxScopes {
		tr.lastSuccess[scope] = now
	}
	for _, id := range parts {
		tr.clear(PartID(id), now)
	}
}

// clear removes the crashes of a part up to the time of a response, and its verdict if the last crash is older.
func (tr *PartTracker) clear(id string, at time.Time) {
	now := tr.opts.Clock.Now()
	su := tr.suspects[id]
	if su == nil || su.verdict != nil && su.verdict.ByOperator && now.Before(su.verdict.BlockedUntil()) {
		return
	}
	su.clearedAt = later(su.clearedAt, at)
	maps.DeleteFunc(su.crashes, func(_ string, cr *partCrash) bool { return !cr.detectedAt.After(at) })
	if su.verdict != nil && !su.verdict.LastCrash.After(at) {
		tr.noteChange(PartCleared, *su.verdict, now)
		su.verdict = nil
	}
}
