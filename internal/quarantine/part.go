package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// maxPartIDBytes bounds the identifier of a part; a hash replaces longer ones.
	maxPartIDBytes = 32
	// maxReporters bounds the hosts that a verdict names.
	maxReporters = 4

	// suspicionIncidents is the number of incidents from which a host sends only one request with the part at a time.
	suspicionIncidents = 2
	// simultaneousPeriod is the period within which crashes count as one incident. It covers the different delays
	// of reports: a zone that loses power ends many endpoints at once.
	simultaneousPeriod = 300 * time.Millisecond
	// settlePeriod is how old a crash must be to count towards a block. By then a response at any host has cleared
	// the part here.
	settlePeriod = 300 * time.Millisecond
	// blockIncidents is the number of incidents after which a part is blocked. With blockCrashes crashes,
	// blockIncidentsOfMany are enough.
	blockIncidents       = 3
	blockIncidentsOfMany = 2
	blockCrashes         = 5
	// blockCrashesAlone is the number of crashes after which a part is blocked although the service has responded to
	// no other request since the first: nearly all its requests may hold the part.
	blockCrashesAlone = 8

	// firstBlock is how long a part is blocked at first. Each trial that crashes an endpoint multiplies it by
	// blockGrowth, up to maxBlock.
	firstBlock  = 30 * time.Second
	blockGrowth = 4
	maxBlock    = time.Hour
	maxStrikes  = 5
	// verdictRetention is how long a verdict remains after its block has ended without a trial.
	verdictRetention = time.Hour
	// trialSlot is the period for which a host is selected to try a part. No trial starts in the last trialPause of it,
	// so that the next host knows the result.
	trialSlot  = 10 * time.Second
	trialPause = 3 * time.Second
	// minTrialAge is the least age of the last crash for a trial before the end of a block. By then all hosts agree on
	// the companions.
	minTrialAge = time.Second
	// trialHostsDoubling is the time since the last crash after which twice as many hosts may try a part before the end of its
	// block. It is longer than the first token of a trial takes to be known to all hosts.
	trialHostsDoubling     = time.Second
	maxTrialHostsDoublings = 16
	// maxEarlyTrialCrashes is the number of trials before the end of a block that may crash an endpoint. The companions that
	// they leave are told apart when the block has ended.
	maxEarlyTrialCrashes = 2
	// maxCompanions bounds the companions of a verdict.
	maxCompanions = 4
	// maxVerdictSkew bounds the difference between the times at which two hosts place a crash.
	maxVerdictSkew = 2 * time.Second
)

type (
	// Verdict states that a part of prompts is blocked, because endpoints that began a response to it crashed.
	Verdict struct {
		// Part identifies the part.
		Part string
		// Crashes is the number of crashes that the part explains.
		Crashes int
		// Strikes is one more than the number of trials that crashed an endpoint.
		Strikes int
		// LastCrash is when the last crash was detected.
		LastCrash time.Time
		// Reporters names up to four hosts that detected crashes.
		Reporters []string
		// Companions are the parts that were present in all of the crashes as well, so that the evidence does not tell
		// which of them is the cause.
		Companions []string
		// ByOperator is set if an operator has set the verdict. Until the block ends, responses do not clear the part.
		ByOperator bool
	}

	// PartCrash reports the parts of the requests that waited for their first event at an endpoint when it crashed.
	PartCrash struct {
		// ID identifies the crash.
		ID string
		// Reporter is the host that detected the crash.
		Reporter string
		// Scope is the service of the endpoint.
		Scope string
		// DetectedAt is when the reporter detected the crash.
		DetectedAt time.Time
		// Parts identifies the parts.
		Parts []string
	}

	// Cleared states that a response showed a part to be sound.
	Cleared struct {
		Part string
		// At is when the response began.
		At time.Time
	}

	// BlockedError reports a request that must not be sent because of one of its parts.
	BlockedError struct {
		part      string
		crashes   int
		age       time.Duration
		reporters []string
		isTrial   bool
	}

	// partCrash merges the reports of a crash.
	partCrash struct {
		id, scope  string
		detectedAt time.Time
		parts      map[string]bool
		reporters  map[string]bool
		// ownParts holds the parts that this host reports.
		ownParts map[string]bool
	}

	// partSuspect holds what is known about a part that was running during crashes.
	partSuspect struct {
		// crashes holds the crashes since the last success, by ID.
		crashes map[string]*partCrash
		// verdict is nil while the part is not blocked.
		verdict *Verdict
		// trying is set while this host tries the part.
		trying bool
		// triedSlot is one more than the last slot in which this host tried the blocked part.
		triedSlot int64
		// clearedAt is when a response showed last that the part is sound, announcedAt when this host last began to
		// tell the others again.
		clearedAt, announcedAt time.Time
	}
)

// Error returns a message with the part and the reports about it.
func (e *BlockedError) Error() string {
	text := fmt.Sprintf("quarantine: part %s was running during %d crashes, the last %d ms ago (reported by %s)",
		e.part, e.crashes, e.age.Milliseconds(), strings.Join(e.reporters, " "))
	if e.isTrial {
		return text + "; another request tries it"
	}
	return text
}

// Part returns the identifier of the part.
func (e *BlockedError) Part() string { return e.part }

// Crashes returns the number of crashes.
func (e *BlockedError) Crashes() int { return e.crashes }

// Age returns the time since the last crash.
func (e *BlockedError) Age() time.Duration { return e.age }

// Reporters returns up to four hosts that detected the crashes.
func (e *BlockedError) Reporters() []string { return e.reporters }

// IsTransient reports that the request was refused only because another one is trying the part at this host.
func (e *BlockedError) IsTransient() bool { return e.isTrial }

// BlockedUntil returns when the part may be tried again.
func (ve Verdict) BlockedUntil() time.Time { return ve.LastCrash.Add(blockDuration(ve.Strikes)) }

// NewOperatorVerdict returns the verdict with which an operator blocks a part: for an hour, unless it is released.
func NewOperatorVerdict(part string, now time.Time) Verdict {
	return Verdict{Part: PartID(part), Strikes: maxStrikes, LastCrash: now, ByOperator: true}
}

// IsExpired reports whether a verdict is no longer kept: its block ended long ago without a trial.
func (ve Verdict) IsExpired(now time.Time) bool {
	return now.Sub(ve.BlockedUntil()) > verdictRetention
}

func blockDuration(strikes int) time.Duration {
	d := firstBlock
	for i := 1; i < strikes && d < maxBlock; i++ {
		d *= blockGrowth
	}
	return min(d, maxBlock)
}

// CompareVerdicts orders verdicts by strength, the strongest first.
func CompareVerdicts(a, b Verdict) int {
	return cmp.Or(cmp.Compare(b.Strikes, a.Strikes), cmp.Compare(b.Crashes, a.Crashes), b.LastCrash.Compare(a.LastCrash), cmp.Compare(a.Part, b.Part))
}

// isTrialTurn reports whether a host may try the part now, and in which slot since the last crash. A request
// without some of the companions is tried before the block ends, as its answer tells the parts apart.
func (ve Verdict) isTrialTurn(now time.Time, parts []string, host string, hosts []string) (slot int64, ok bool) {
	slot = int64(max(0, now.Sub(ve.LastCrash)) / trialSlot)
	if !ve.mayBeTried(now, parts) {
		return slot, false
	}
	group := append(slices.Clone(ve.Companions), ve.Part)
	if len(hosts) > 0 && !slices.Contains(hosts, host) {
		return slot, false
	}
	key := rendezvous.Hash(fmt.Sprintf("%s/%d/%d", slices.Min(group), ve.Strikes, slot))
	return slot, rendezvous.IsAmongFirst(key, host, hosts, ve.trialHosts(now))
}

// trialHosts returns how many hosts may try the part now. Before the end of a block there are more and more: in a large fleet
// one host may get none of the few sound requests.
func (ve Verdict) trialHosts(now time.Time) int {
	if !now.Before(ve.BlockedUntil()) {
		return 1
	}
	return 1 << min(now.Sub(ve.LastCrash)/trialHostsDoubling, maxTrialHostsDoublings)
}

// mayBeTried reports whether some host may try the part now with a request that has the given parts.
func (ve Verdict) mayBeTried(now time.Time, parts []string) bool {
	elapsed := now.Sub(ve.LastCrash)
	if elapsed%trialSlot > trialSlot-trialPause {
		return false
	}
	return !now.Before(ve.BlockedUntil()) || (ve.Strikes <= maxEarlyTrialCrashes && !ve.holdsCompanions(parts) && elapsed >= minTrialAge)
}

// holdsCompanions reports whether a request has all parts that were present in all of the crashes.
func (ve Verdict) holdsCompanions(parts []string) bool {
	for _, companion := range ve.Companions {
		if !slices.Contains(parts, companion) {
			return false
		}
	}
	return true
}

// removeCompanions removes the companions for which keep returns false.
func (ve *Verdict) removeCompanions(keep func(string) bool) {
	ve.Companions = slices.DeleteFunc(slices.Clone(ve.Companions), func(part string) bool { return !keep(part) })
}

// rank returns the strength of the evidence against a part.
func (su *partSuspect) rank() int {
	switch {
	case su == nil:
		return 0
	case su.verdict != nil:
		return max(blockCrashes, len(su.crashes)) + maxCrashes
	default:
		return len(su.crashes)
	}
}

// countIncidents returns the number of crashes, counting those within simultaneousPeriod as one.
func countIncidents(crashes []*partCrash) int {
	slices.SortFunc(crashes, func(a, b *partCrash) int { return a.detectedAt.Compare(b.detectedAt) })
	count := 0
	var last time.Time
	for _, cr := range crashes {
		if count == 0 || cr.detectedAt.Sub(last) >= simultaneousPeriod {
			count++
			last = cr.detectedAt
		}
	}
	return count
}

// reportersOf returns up to maxReporters hosts that detected the crashes.
func reportersOf(crashes []*partCrash) []string {
	names := make(map[string]bool)
	for _, cr := range crashes {
		maps.Copy(names, cr.reporters)
	}
	out := slices.Sorted(maps.Keys(names))
	return out[:min(len(out), maxReporters)]
}

// mergeReporters returns the union of two lists of hosts, cut to maxReporters.
func mergeReporters(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxReporters)]
}
