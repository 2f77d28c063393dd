package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// maxCrashes and maxCrashParts bound the crashes that are kept and the parts accused by each, maxSentParts those
	// of all crashes in one digest.
	maxCrashes    = 512
	maxCrashParts = 64
	maxSentParts  = 512
	// maxSuspects bounds the parts that are kept; if it is reached, the quarter with the weakest evidence is removed.
	maxSuspects = 4096
	// maxVerdicts bounds the verdicts that are kept, maxSentVerdicts those in one digest.
	maxVerdicts     = 256
	maxSentVerdicts = 32
	// suspicionRetention is how long a crash counts against a part that is not blocked.
	suspicionRetention = 10 * time.Minute
	// clearedRetention is how long verdicts and reports from before a success are ignored.
	clearedRetention = 30 * time.Second
	// partReportPeriod is how long a crash is sent to other hosts; it covers the loss of an aggregator.
	partReportPeriod = 3 * time.Second
	sweepInterval    = time.Second
	// maxScopes bounds the services whose last success is kept.
	maxScopes = 1024
)

const (
	// PartBlocked is a part that becomes blocked.
	PartBlocked ChangeKind = iota
	// PartTried is a blocked part that this host tries again.
	PartTried
	// PartCleared is a blocked part that is no longer blocked.
	PartCleared
)

type (
	// ChangeKind is the kind of a change.
	ChangeKind int

	// Change is a change of a verdict.
	Change struct {
		Kind    ChangeKind
		Verdict Verdict
		// Age is the time since the last crash.
		Age time.Duration
	}

	// PartOptions configures a PartTracker.
	PartOptions struct {
		Clock clock.Clock
		// Host is the name of this host.
		Host string
		// Hosts returns the names of all hosts, which take turns in trying blocked parts; nil means only this one.
		Hosts func() []string
		// OnChange is called after each change of a verdict; nil ignores them.
		OnChange func(Change)
	}

	// PartTracker tracks which parts of prompts crash endpoints. A crash accuses the parts of all requests that
	// waited for their first event there; a response clears the parts of its request. A part that was running
	// during repeated crashes is blocked: for a growing time no host sends requests with it, and then one host at
	// a time tries it again. It is safe for concurrent use.
	PartTracker struct {
		opts PartOptions
		// suspectCount is the size of suspects, to be read without the lock.
		suspectCount atomic.Int64

		mu       sync.Mutex
		crashes  map[string]*partCrash
		suspects map[string]*partSuspect
		// lastSuccess holds, by service, when a response began last while there were suspects.
		lastSuccess map[string]time.Time
		sweptAt     time.Time
		changes     []Change
	}
)

// String returns the name of the kind.
func (ck ChangeKind) String() string {
	return [...]string{"blocked", "tried", "cleared"}[ck]
}

// NewPartTracker returns a tracker without suspects.
func NewPartTracker(opts PartOptions) *PartTracker {
	return &PartTracker{
		opts: opts, crashes: make(map[string]*partCrash), suspects: make(map[string]*partSuspect),
		lastSuccess: make(map[string]time.Time),
	}
}

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
		if detectedAt.After(su.verdict.BlockedUntil()) {
			su.verdict.Strikes = min(su.verdict.Strikes+1, maxStrikes)
			su.verdict.LastCrash = detectedAt
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

// SuspectCount returns the number of parts with a recorded crash or verdict, recently cleared ones included.
func (tr *PartTracker) SuspectCount() int { return int(tr.suspectCount.Load()) }

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

func (tr *PartTracker) hosts() []string {
	if tr.opts.Hosts == nil {
		return nil
	}
	return tr.opts.Hosts()
}

func (tr *PartTracker) noteChange(kind ChangeKind, ve Verdict, now time.Time) {
	if tr.opts.OnChange != nil {
		tr.changes = append(tr.changes, Change{Kind: kind, Verdict: ve, Age: now.Sub(ve.LastCrash)})
	}
}

// publishChanges calls OnChange without the lock.
func (tr *PartTracker) publishChanges() {
	if tr.opts.OnChange == nil {
		return
	}
	tr.mu.Lock()
	changes := tr.changes
	tr.changes = nil
	tr.mu.Unlock()
	for _, ch := range changes {
		tr.opts.OnChange(ch)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func partKeys(ids []string) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = PartID(id)
	}
	return out
}

// PartID returns the identifier of a part, or a hash of a long one.
func PartID(id string) string {
	if len(id) <= maxPartIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:maxPartIDBytes/2])
}
