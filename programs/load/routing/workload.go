// Package routing measures the routing decision against baselines, on fakes whose speeds are the
// constants of this file. It runs the decision of internal/route itself.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

type (
	// workload is a firm at its size of today.
	workload struct {
		name    string
		workers int
		zones   int
		stores  int
		// rate is the arrivals at the peak hour, in requests/s.
		rate float64
		// histories is how many customers return.
		histories int
		classes   []class
		// storeZone is the availability zone of the first store host. Zone 0 is the one taken out.
		storeZone int
		// ranks lists the customers, the most popular first.
		ranks []int
	}

	class struct {
		name     string
		target   float64
		priority int
		share    float64
	}

	// request is one arrival. All policies get the same ones.
	request struct {
		at       float64
		history  int
		class    int
		tokens   int
		question int
		answer   int
		host     int
		random   uint64
	}

	event string
)

const (
	entryHosts = 6
	// duration is the simulated part of the peak hour, in seconds.
	duration = 900.0
	// warmUp is the first part, which is not measured, in seconds.
	warmUp = 150.0
	// eventAt and eventEnd bound an event, in seconds.
	eventAt  = 300.0
	eventEnd = 600.0

	// prefillRate is the speed of reading, in tokens/s.
	prefillRate = 20_000.0
	// chunkTokens is how many tokens an engine reads before it looks at priorities again.
	chunkTokens = 2_000
	// decodeTime is the time between two tokens of an answer, in seconds.
	decodeTime = 0.03
	// decodeLoad is the share of reading speed that one running answer takes.
	decodeLoad = 0.003
	// memoryTokens is how many tokens of KV cache a worker keeps.
	memoryTokens = 300_000
	pieceTokens  = 4_000
	// bytesPerToken is the size of KV cache, in bytes.
	bytesPerToken = 40_000.0
	// linkRate is the budget of a store host's link, in bytes/s.
	linkRate = 8e9
	// storeShare is the space of all store hosts as a share of all histories.
	storeShare = 0.97

	// coldTime and coldLimit are the length of a cold start, in seconds, and the most runs in it.
	coldTime  = 30.0
	coldLimit = 2
	// crashTime is how long an engine that fell over stays away, in seconds.
	crashTime = 5.0

	medianTokens  = 14_000.0
	sigmaTokens   = 0.7
	minTokens     = 2_000
	maxTokens     = 64_000
	popularSkew   = 0.9
	questionMean  = 150
	answerMean    = 120
	requestGrowth = 300
)

const (
	eventNone        event = "none"
	eventZone        event = "zone-out-and-back"
	eventStoreDead   event = "store-host-dead"
	eventSlowLink    event = "slow-link"
	eventCold        event = "cold-endpoint"
	eventWeightsSwap event = "weights-swapped"
)

var (
	events = []event{eventNone, eventZone, eventStoreDead, eventSlowLink, eventCold, eventWeightsSwap}

	hartlebury = workload{
		name: "hartlebury", workers: 12, zones: 3, stores: 1, rate: 5.5, histories: 3000, storeZone: 1,
		classes: []class{
			{name: "crew", target: 0.55, priority: 0, share: 0.45},
			{name: "desk", target: 1, priority: 1, share: 0.15},
			{name: "draft", target: 10, priority: 5, share: 0.40},
		},
	}
	cascade = workload{
		name: "cascade", workers: 20, zones: 3, stores: 2, rate: 9.5, histories: 5000,
		classes: []class{
			{name: "crew", target: 0.55, priority: 0, share: 0.45},
			{name: "desk", target: 1, priority: 1, share: 0.20},
			{name: "draft", target: 10, priority: 5, share: 0.35},
		},
	}
	workloads = []workload{hartlebury, cascade}
)

// trace returns the arrivals of a workload for a seed, and sets the ranks.
func (wl *workload) trace(seed uint64) []request {
	rnd := rand.New(rand.NewPCG(seed, 77))
	lengths := make([]int, wl.histories)
	for i := range lengths {
		n := medianTokens * math.Exp(sigmaTokens*rnd.NormFloat64())
		lengths[i] = max(minTokens, min(maxTokens, int(n)))
	}
	pick := wl.popularity(rnd)
	var out []request
	for at := 0.0; at < duration; at += rnd.ExpFloat64() / wl.rate {
		h := pick()
		rq := request{
			at:       at,
			history:  h,
			class:    wl.drawClass(rnd.Float64()),
			tokens:   lengths[h],
			question: 20 + int(rnd.ExpFloat64()*questionMean),
			answer:   10 + int(rnd.ExpFloat64()*answerMean),
			host:     rnd.IntN(entryHosts),
			random:   rnd.Uint64(),
		}
		lengths[h] = min(maxTokens, lengths[h]+requestGrowth)
		out = append(out, rq)
	}
	return out
}

// popularity returns a function that draws a customer: few return often, most seldom.
func (wl *workload) popularity(rnd *rand.Rand) func() int {
	sums := make([]float64, wl.histories)
	total := 0.0
	for i := range sums {
		total += 1 / math.Pow(float64(i+20), popularSkew)
		sums[i] = total
	}
	names := rnd.Perm(wl.histories)
	wl.ranks = names
	return func() int {
		i, _ := slices.BinarySearchFunc(sums, rnd.Float64()*total, cmp.Compare[float64])
		return names[min(i, len(names)-1)]
	}
}

func (wl workload) drawClass(x float64) int {
	for i, c := range wl.classes {
		if x < c.share {
			return i
		}
		x -= c.share
	}
	return len(wl.classes) - 1
}
