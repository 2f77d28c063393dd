// Package placement chooses the endpoint for a request. It consists of pure functions over copies of
// what the host knows about the endpoints: no clock, no network, no state.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/timing"
)

const (
	// crossZonePenaltyMs is the cost of an endpoint in another availability zone: the round trip of
	// about 2 ms, and the traffic.
	crossZonePenaltyMs = 6.0
	// oldWeightsPenaltyMs is the cost of an engine with older weights. It is less than a repeated
	// prefill of a long prompt, so that conversations stay where their KV cache is during a rollout.
	oldWeightsPenaltyMs = 40.0
	// limitedPenaltyMs is the cost of an endpoint that names a limit of requests. It is less than a repeated prefill of a
	// long prompt, so that the limit is used for conversations whose KV cache is there.
	limitedPenaltyMs = 40.0
	// failurePenaltyMs is the cost of an endpoint that fails every request.
	failurePenaltyMs = 1500.0
	// memoryOverflowWaitMs is the expected wait for an engine's memory when the demand exceeds the
	// available memory by the engine's whole capacity.
	memoryOverflowWaitMs = 1200.0
	// lastSlotWaitMs is the expected wait at an engine when the request takes its last free slot. With
	// free slots left, the wait falls with the power slotWaitExponent of the share of slots taken. Without
	// a free slot it grows by slotExcessFactor times lastSlotWaitMs for each further request per slot.
	// Requests run for some 600 ms, so that one of 12 slots is free again after 50 ms.
	lastSlotWaitMs   = 40.0
	slotWaitExponent = 6
	slotExcessFactor = 15
	// memoryCostWeight weighs the time for which a request takes memory from others, on a full engine.
	memoryCostWeight = 2.0
	// memoryFullShare is the share of an engine's memory above which requests wait.
	memoryFullShare = 0.9
	// overdueTargetShare is the share of the target above which an expected wait is too long. Waits are
	// underestimated about as often as overestimated.
	overdueTargetShare = 1.0
	// waitUncertainty is how many times an expected wait may be exceeded where a late start is not allowed.
	waitUncertainty = 2.0
	// minRetryAfter is the shortest time after which a refused client may retry, and maxRetryAfterShare
	// the largest share of the client's remaining time.
	minRetryAfter      = 300 * time.Millisecond
	maxRetryAfterShare = 0.3
	// tieBreakMs is the range of the hash, different for each request, that separates equal candidates.
	tieBreakMs = 2.0
)

type (
	// Job describes a request for a placement decision.
	Job struct {
		// ID is the request's identifier; its hash separates equal candidates.
		ID string
		// Zone is the availability zone of the host.
		Zone string
		// MemoryTokens is the KV cache memory that the request needs; zero for services without a model.
		MemoryTokens int
		// OutputTokens is the number of tokens that the request generates at most.
		OutputTokens int
		// Tried lists endpoints that must not be chosen again.
		Tried []string
		// Model and Version identify the wanted weights. Engines with an older version are allowed but cost
		// more; version zero means that any version will do.
		Model   string
		Version uint64
		// VersionRequired restricts the choice to Version, for streams that are resumed.
		VersionRequired bool
	}

	// Candidate is an endpoint together with the estimated work of the request there.
	Candidate struct {
		fleet.View
		// CapacityTokens is the KV cache memory of the engine in tokens.
		CapacityTokens int
		// PrefillTokens is the number of prompt tokens that the endpoint would have to prefill.
		PrefillTokens int
		// FetchTime is the time to fetch the other prompt tokens from cache stores.
		FetchTime time.Duration
		// Timing holds the times of the engine; the zero value is an engine of which nothing is known.
		Timing timing.Engine
		// Unrecorded marks an endpoint whose software version a host that starts later may not know of.
		Unrecorded bool
		// Expired marks an engine whose weights may no longer be used.
		Expired bool
		// TimeLeft is how long requests may still begin on the engine's weights; zero means without a limit.
		TimeLeft time.Duration
	}

	// Choice is the result of a placement decision.
	Choice struct {
		// Index is the position of the chosen candidate.
		Index int
		// FirstTokenEstimate is the expected time to first token.
		FirstTokenEstimate time.Duration
		// LeastEstimate is FirstTokenEstimate or what it would be with the default times of an engine, whichever is less.
		LeastEstimate time.Duration
		// EngineEstimate is the part of FirstTokenEstimate for the engine itself, without waits for memory, slots and fetches.
		EngineEstimate time.Duration
		// DurationEstimate is the expected time to the last token, if the request generates as many as it may.
		DurationEstimate time.Duration
	}
)

// Choose returns the candidate with the lowest expected cost; ok is false if no candidate is allowed.
// Endpoints that failed recently come after all others, and engines that load new weights and those of an unrecorded software version come last.
func Choose(job Job, cands []Candidate) (ch Choice, ok bool) {
	bestCost := 0.0
	bestRank := 0
	seed := rendezvous.Hash(job.ID)
	for i := range cands {
		ca := &cands[i]
		if !job.allows(ca) {
			continue
		}
		version, _ := ca.Version(job.Model)
		cost, wait := job.cost(ca, version)
		load := ca.TotalLoad()
		engineMs := ca.engineMs()
		excess := max(0, engineMs-timing.Engine{}.FirstTokenMs(ca.PrefillTokens, load.PrefillTokens, load.Requests))
		if left := float64(ca.TimeLeft) / float64(time.Millisecond); left > 0 && (wait-excess)*waitUncertainty > left {
			continue
		}
		cost += tieBreakMs * float64(rendezvous.Score(seed, rendezvous.Hash(ca.ID))>>40) / (1 << 24)
		rank := 0
		if ca.Loading || ca.Unrecorded {
			rank = 2
		} else if ca.Avoided {
			rank = 1
		}
		if !ok || rank < bestRank || (rank == bestRank && cost < bestCost) {
			bestCost, bestRank, ok = cost, rank, true
			step := ca.Timing.StepMs(load.Requests, float64(load.PrefillTokens+ca.PrefillTokens))
			ch = Choice{
				Index: i, FirstTokenEstimate: toDuration(wait), DurationEstimate: toDuration(wait + float64(job.OutputTokens)*step),
				LeastEstimate: toDuration(wait - excess), EngineEstimate: toDuration(engineMs),
			}
		}
	}
	return ch, ok
}

// allows reports whether a candidate may run the request.
func (job Job) allows(ca *Candidate) bool {
	if ca.Expired || slices.Contains(job.Tried, ca.ID) {
		return false
	}
	version, serves := ca.Version(job.Model)
	return job.Model == "" || (serves && (!job.VersionRequired || version == job.Version))
}

// IsOverdue reports whether a request with the given expected time to first token must be refused
// instead of sent: it would be late, and would delay requests that can still be on time. An answer is
// on time within target; remaining is the time until the client gives up. A target of zero is no target.
func IsOverdue(wait, target, remaining time.Duration) bool {
	return wait >= remaining || (target > 0 && wait > time.Duration(float64(target)*overdueTargetShare))
}

// RetryAfter returns the time after which a refused client should retry: when the excess load has been
// worked off, spread by a hash of the request's identifier so that clients do not retry all at once,
// and early enough for the answer to be of use.
func RetryAfter(id string, wait, target, remaining time.Duration) time.Duration {
	latest := time.Duration(float64(remaining) * maxRetryAfterShare)
	return RetryAfterWait(id, max(latest/2, wait-target), remaining)
}

// RetryAfterWait returns the time after which a refused client should retry if the request can be served after about wait,
// spread by a hash of the request's identifier, and early enough for the answer to be of use.
func RetryAfterWait(id string, wait, remaining time.Duration) time.Duration {
	unit := float64(rendezvous.Hash(id)>>11) / (1 << 53)
	latest := time.Duration(float64(remaining) * maxRetryAfterShare)
	return min(max(time.Duration(float64(wait)*(0.6+0.8*unit)), minRetryAfter), latest)
}

// slotWaitFactor returns the expected wait for a slot, as a multiple of lastSlotWaitMs, at an engine
// of whose slots the given share is taken. Loads are known with a delay, so that an engine that looks
// nearly full may already be full.
func slotWaitFactor(share float64) float64 {
	return math.Pow(min(share, 1), slotWaitExponent) + slotExcessFactor*max(0, share-1)
}

func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// engineMs returns the expected time to first token at the engine itself, in milliseconds.
func (ca *Candidate) engineMs() float64 {
	load := ca.TotalLoad()
	return ca.Timing.FirstTokenMs(ca.PrefillTokens, load.PrefillTokens, load.Requests)
}

// cost returns the cost of a candidate and the part of it that the client waits, both in milliseconds.
func (job Job) cost(ca *Candidate, version uint64) (cost, wait float64) {
	load := ca.TotalLoad()
	if job.Model == "" {
		slots := float64(max(1, ca.Slots))
		wait = ca.Timing.PlainMs() * float64(load.Requests) / slots
		cost = wait
	} else {
		capacity := float64(max(1, ca.CapacityTokens))
		prefillTokens := float64(load.PrefillTokens + ca.PrefillTokens)
		wait = ca.engineMs() + float64(ca.FetchTime)/float64(time.Millisecond)
		usedShare := float64(load.Tokens+job.MemoryTokens) / capacity
		wait += memoryOverflowWaitMs * max(0, usedShare-memoryFullShare)
		if ca.Slots > 0 {
			wait += lastSlotWaitMs * slotWaitFactor(float64(load.Requests+1)/float64(ca.Slots))
		}
		duration := wait + float64(job.OutputTokens)*ca.Timing.StepMs(load.Requests, prefillTokens)
		cost = wait + memoryCostWeight*usedShare*duration*float64(job.MemoryTokens)/capacity
		if version < job.Version {
			cost += oldWeightsPenaltyMs
		}
	}
	if ca.Limited {
		cost += limitedPenaltyMs
	}
	cost += failurePenaltyMs * ca.FailureShare
	if ca.Zone != job.Zone {
		cost += crossZonePenaltyMs
	}
	return cost, wait
}
