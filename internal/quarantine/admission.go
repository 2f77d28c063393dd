package quarantine

import (
	"slices"
	"time"
)

// Admit returns a run for an attempt with the given parts at a service, or a *BlockedError if a part is blocked. The
// caller ends the run.
func (tr *PartTracker) Admit(scope string, parts []string) (*Run, error) {
	ru := &Run{tr: tr, scope: scope, parts: parts}
	if tr.suspectCount.Load() == 0 {
		return ru, nil
	}
	defer tr.publishChanges()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.opts.Clock.Now()
	keys := partKeys(parts)
	for _, id := range keys {
		su := tr.suspects[id]
		if su == nil || slices.Contains(ru.trials, id) {
			continue
		}
		isTrial, err := tr.admitSuspect(id, su, keys, now)
		if err != nil {
			return nil, err
		}
		if isTrial {
			ru.trials = append(ru.trials, id)
		}
	}
	for _, id := range ru.trials {
		if tr.suspects[id].verdict != nil {
			ru.blockedTrials = append(ru.blockedTrials, id)
		}
		tr.beginTrial(tr.suspects[id], now)
	}
	return ru, nil
}

// admitSuspect reports whether a request with a suspected part is a trial, or why it is refused.
func (tr *PartTracker) admitSuspect(id string, su *partSuspect, parts []string, now time.Time) (isTrial bool, err error) {
	tr.judge(id, su, now)
	if su.verdict != nil {
		ve := *su.verdict
		ve.removeCompanions(func(id string) bool { return tr.suspects[id] != nil && tr.suspects[id].verdict != nil })
		if ve.mayBeTried(now, parts) && !su.trying {
			slot, ok := ve.isTrialTurn(now, parts, tr.opts.Host, tr.hosts())
			if ok && su.triedSlot != slot+1 {
				return true, nil
			}
		}
		return false, &BlockedError{part: id, crashes: ve.Crashes, age: now.Sub(ve.LastCrash), reporters: ve.Reporters}
	}
	if len(su.crashes) < suspicionIncidents {
		return false, nil
	}
	crashes := tr.unexplained(id, su)
	if countIncidents(crashes) < suspicionIncidents {
		return false, nil
	}
	if su.trying {
		last := crashes[len(crashes)-1]
		return false, &BlockedError{part: id, crashes: len(crashes), age: now.Sub(last.detectedAt), reporters: reportersOf(crashes), isTrial: true}
	}
	return true, nil
}

func (tr *PartTracker) beginTrial(su *partSuspect, now time.Time) {
	su.trying = true
	if su.verdict == nil {
		return
	}
	slot, _ := su.verdict.isTrialTurn(now, nil, tr.opts.Host, nil)
	su.triedSlot = slot + 1
	tr.noteChange(PartTried, *su.verdict, now)
}

func (tr *PartTracker) endTrials(ids []string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, id := range ids {
		if su := tr.suspects[id]; su != nil {
			su.trying = false
		}
	}
}
