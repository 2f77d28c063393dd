// Package lane divides the engines of a service between classes of requests that disturb each other. An engine prefills long
// prompts in chunks between the tokens of its other requests, so that a short urgent prompt waits for the chunks of the long
// ones before it, and the responses that run take several times as long and hold their memory for longer.
package lane

import (
	"math"
	"time"
)

// Lane is a part of the engines of a service. The zero value is all of them.
type Lane int

const (
	// Shared is the lane of services whose classes are not divided.
	Shared Lane = iota
	// Urgent is the lane of the urgent classes, and of all that are not in bulk.
	Urgent
	// Bulk is the lane of less urgent classes with long prompts.
	Bulk
)

const (
	// minPromptRatio is how many times as long as an urgent prompt one in bulk is, and minMemoryRatio how many times as much
	// memory it takes. Classes that are divided remain so down to the kept ratios.
	minPromptRatio  = 4.0
	keptPromptRatio = 3.0
	minMemoryRatio  = 2.0
	keptMemoryRatio = 1.5
	// minTargetRatio is how many times as long as that of an urgent class the target of one in bulk is: only one that can wait gives
	// engines away.
	minTargetRatio = 2
	// fillShare is the share of the memory and of the slots of an engine that its requests may take before the lane
	// needs another engine. A lane in three availability zones can lose one of them.
	fillShare = 2.0 / 3
	// minShare is the smallest share of the engines that a lane has.
	minShare = 0.125
	// keptBulkShare is the share of the engines that their part of the demand would give them which requests in bulk
	// keep however large the urgent demand is.
	keptBulkShare = 0.5
	// minEngines is the number of engines from which they are divided.
	minEngines = 6
)

type (
	// Class is what is known of the requests of one route.
	Class struct {
		// Urgency is the priority of the route; 0 is the highest.
		Urgency int
		// Target is the time to the first event within which a response is on time; zero means none.
		Target time.Duration
		// PromptTokens is the mean length of prompts.
		PromptTokens float64
		// MemoryTokens is the mean KV cache memory that is set aside for a request, and UsedTokens what it takes on average while
		// it runs.
		MemoryTokens, UsedTokens float64
		// Weight is the number of requests seen lately.
		Weight float64
		// Lane is the lane that the class has been in so far.
		Lane Lane
	}

	// Load is the load on the engines of a service.
	Load struct {
		// Engines is the number of engines, each with Slots and memory for CapacityTokens, and Unusable the number of those that
		// serve nothing at the moment.
		Engines, Unusable, Slots, CapacityTokens int
		// Requests and Tokens are the in-flight requests at all engines and the KV cache memory that they take.
		Requests, Tokens float64
	}
)

// String returns the name of the lane for logs and metrics.
func (ln Lane) String() string {
	switch ln {
	case Urgent:
		return "urgent"
	case Bulk:
		return "bulk"
	default:
		return "shared"
	}
}

// isDelayedBy reports whether requests of the class are delayed by those of a less urgent class that could wait longer.
func (cl Class) isDelayedBy(other Class) bool {
	promptRatio, memoryRatio := minPromptRatio, minMemoryRatio
	if cl.Lane == Urgent && other.Lane == Bulk {
		promptRatio, memoryRatio = keptPromptRatio, keptMemoryRatio
	}
	return cl.Urgency < other.Urgency && cl.Target > 0 && (other.Target == 0 || minTargetRatio*cl.Target <= other.Target) &&
		other.PromptTokens >= promptRatio*cl.PromptTokens && other.MemoryTokens >= memoryRatio*cl.MemoryTokens
}

// Of returns the lane of a class among all classes of its service.
func Of(cl Class, all []Class) Lane {
	ln := Shared
	for _, other := range all {
		if other.isDelayedBy(cl) {
			return Bulk
		}
		for _, third := range all {
			if other.isDelayedBy(third) {
				ln = Urgent
			}
		}
	}
	return ln
}

// BulkShare returns the share of the engines that belong to the lane Bulk; ok is false if the engines are not divided.
//
// Loads are known by engine and not by class, so the numbers of in-flight requests of both lanes follow from the sums of requests
// and memory and from the mean sizes. The lanes get engines in proportion to the memory and slots that their requests take. Where
// that is more than there is, the urgent requests get what they need, and those in bulk the rest.
func BulkShare(lo Load, all []Class) (share float64, ok bool) {
	urgent, bulk := mean(all, Urgent), mean(all, Bulk)
	if lo.Engines < minEngines || lo.Requests <= 0 || urgent.MemoryTokens <= 0 || bulk.MemoryTokens <= urgent.MemoryTokens {
		return 0, false
	}
	bulkRequests := max(0, (lo.Tokens-urgent.MemoryTokens*lo.Requests)/(bulk.MemoryTokens-urgent.MemoryTokens))
	bulkRequests = min(bulkRequests, lo.Requests)
	urgentNeed, bulkNeed := lo.enginesFor(lo.Requests-bulkRequests, urgent), lo.enginesFor(bulkRequests, bulk)
	need := urgentNeed + bulkNeed
	// The sizes come from clients, so that the needs may be zero, or no numbers.
	if !(need > 0) || math.IsInf(need, 0) {
		return 0, false
	}
	share = bulkNeed / need
	if engines := float64(max(1, lo.Engines-lo.Unusable)); need > engines {
		share = max(1-urgentNeed/engines, share*keptBulkShare)
	}
	return min(max(share, minShare), 1-minShare), true
}

// enginesFor returns the number of engines that requests of a mean size need.
func (lo Load) enginesFor(requests float64, size Class) float64 {
	need := requests * size.UsedTokens / float64(max(1, lo.CapacityTokens))
	if lo.Slots > 0 {
		need = max(need, requests/float64(lo.Slots))
	}
	return need / fillShare
}

// mean returns the mean memory of the requests in a lane; zero if there are none.
func mean(all []Class, ln Lane) (out Class) {
	for _, cl := range all {
		if Of(cl, all) == ln {
			out.Weight += cl.Weight
			out.MemoryTokens += (cl.MemoryTokens - out.MemoryTokens) * cl.Weight / out.Weight
			out.UsedTokens += (cl.UsedTokens - out.UsedTokens) * cl.Weight / out.Weight
		}
	}
	return out
}
