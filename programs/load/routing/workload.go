// Package routing compares the routing decision with baseline policies in a simulation. The speeds of
// the simulated engines and links are the constants of this file; the decision is that of the package
// internal/route.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

type (
	// workload describes the fleet and the requests of one simulated installation.
	workload struct {
		name        string
		workerCount int
		zoneCount   int
		storeCount  int
		// arrivalRate is the arrival rate in the peak hour, in requests/s.
		arrivalRate float64
		// historyCount is the number of histories. Each belongs to one returning customer.
		historyCount int
		classes      []class
		// firstStoreZone is the availability zone of the first store host. The zone outage is in zone 0.
		firstStoreZone int
		// historiesByPopularity lists the history IDs in falling order of popularity.
		historiesByPopularity []int
	}

	// class is a request class. A lower priority goes first.
	class struct {
		name string
		// ttftTarget is the target for the time to first token, in seconds.
		ttftTarget   float64
		priority     int
		requestShare float64
	}

	// request is one request of a trace. All policies are simulated with the same trace.
	request struct {
		arrivesAt      float64
		historyID      int
		classIndex     int
		historyTokens  int
		questionTokens int
		answerTokens   int
		// entryHost is the index of the entry host.
		entryHost int
		// random is the number from which a policy derives its random choices.
		random uint64
	}

	// event is a failure or change that happens during a simulation.
	event string
)

const (
	entryHostCount = 6
	// simulatedTime is the length of the simulated part of the peak hour, in seconds.
	simulatedTime = 900.0
	// warmUpTime is the length of the first part, which is not measured, in seconds.
	warmUpTime = 150.0
	// eventStart and eventEnd are the start and the end of an event, in seconds.
	eventStart = 300.0
	eventEnd   = 600.0

	// prefillRate is the prefill speed of an engine without running answers, in tokens/s.
	prefillRate = 20_000.0
	// chunkTokens is the number of tokens that an engine prefills before it checks priorities again.
	chunkTokens = 2_000
	// decodeTokenTime is the time between two tokens of an answer, in seconds.
	decodeTokenTime = 0.03
	// decodeSlowdown is the share of the prefill speed that each running answer costs.
	decodeSlowdown = 0.003
	// cacheTokens is the capacity of the KV cache of a worker, in tokens.
	cacheTokens = 300_000
	// pieceTokens is the size of the pieces in which KV cache is stored and transferred, in tokens.
	pieceTokens = 4_000
	// bytesPerToken is the size of the KV cache of one token, in bytes.
	bytesPerToken = 40_000.0
	// linkRate is the bandwidth budget of the link of a store host, in bytes/s.
	linkRate = 8e9
	// storeCapacityShare is the capacity of all store hosts together, as a share of the initial size of
	// all histories in the trace.
	storeCapacityShare = 0.97

	// coldTime is the length of a cold start, in seconds.
	coldTime = 30.0
	// coldRequestLimit is the number of concurrent requests above which a cold worker crashes.
	coldRequestLimit = 2
	// crashDowntime is the time from the crash of an engine until it serves again, in seconds.
	crashDowntime = 5.0

	// The initial length of a history has a log-normal distribution, in tokens. historyTokensSigma is
	// the standard deviation of its logarithm.
	medianHistoryTokens = 14_000.0
	historyTokensSigma  = 0.7
	minHistoryTokens    = 2_000
	maxHistoryTokens    = 64_000
	// popularityExponent is the exponent of the Zipf-Mandelbrot distribution of requests over histories.
	popularityExponent = 0.9
	// The lengths of questions and answers are a minimum plus an exponential with these means, in tokens.
	questionTokensMean = 150
	answerTokensMean   = 120
	// historyGrowthTokens is the number of tokens by which each request extends its history.
	historyGrowthTokens = 300
)

const (
	eventNone          event = "none"
	eventZoneOutage    event = "zone-out-and-back"
	eventStoreHostDead event = "store-host-dead"
	eventSlowLink      event = "slow-link"
	eventColdEndpoint  event = "cold-endpoint"
	eventWeightsSwap   event = "weights-swapped"
)

var (
	events = []event{eventNone, eventZoneOutage, eventStoreHostDead, eventSlowLink, eventColdEndpoint, eventWeightsSwap}

	hartlebury = workload{
		name: "hartlebury", workerCount: 12, zoneCount: 3, storeCount: 1, arrivalRate: 5.5, historyCount: 3000, firstStoreZone: 1,
		classes: []class{
			{name: "crew", ttftTarget: 0.55, priority: 0, requestShare: 0.45},
			{name: "desk", ttftTarget: 1, priority: 1, requestShare: 0.15},
			{name: "draft", ttftTarget: 10, priority: 5, requestShare: 0.40},
		},
	}
	cascade = workload{
		name: "cascade", workerCount: 20, zoneCount: 3, storeCount: 2, arrivalRate: 9.5, historyCount: 5000,
		classes: []class{
			{name: "crew", ttftTarget: 0.55, priority: 0, requestShare: 0.45},
			{name: "desk", ttftTarget: 1, priority: 1, requestShare: 0.20},
			{name: "draft", ttftTarget: 10, priority: 5, requestShare: 0.35},
		},
	}
	workloads = []workload{hartlebury, cascade}
)

// generateTrace returns the requests of a workload for a seed, and sets historiesByPopularity.
func (wl *workload) generateTrace(seed uint64) []request {
	rnd := rand.New(rand.NewPCG(seed, 77))
	historyTokens := make([]int, wl.historyCount)
	for i := range historyTokens {
		n := medianHistoryTokens * math.Exp(historyTokensSigma*rnd.NormFloat64())
		historyTokens[i] = max(minHistoryTokens, min(maxHistoryTokens, int(n)))
	}
	drawHistory := wl.historySampler(rnd)
	var requests []request
	for at := 0.0; at < simulatedTime; at += rnd.ExpFloat64() / wl.arrivalRate {
		historyID := drawHistory()
		rq := request{
			arrivesAt:      at,
			historyID:      historyID,
			classIndex:     wl.drawClass(rnd.Float64()),
			historyTokens:  historyTokens[historyID],
			questionTokens: 20 + int(rnd.ExpFloat64()*questionTokensMean),
			answerTokens:   10 + int(rnd.ExpFloat64()*answerTokensMean),
			entryHost:      rnd.IntN(entryHostCount),
			random:         rnd.Uint64(),
		}
		historyTokens[historyID] = min(maxHistoryTokens, historyTokens[historyID]+historyGrowthTokens)
		requests = append(requests, rq)
	}
	return requests
}

// historySampler sets historiesByPopularity and returns a function that draws a history ID, with few
// popular histories and many that are rarely used.
func (wl *workload) historySampler(rnd *rand.Rand) func() int {
	cumulativeWeights := make([]float64, wl.historyCount)
	totalWeight := 0.0
	for i := range cumulativeWeights {
		totalWeight += 1 / math.Pow(float64(i+20), popularityExponent)
		cumulativeWeights[i] = totalWeight
	}
	historyIDs := rnd.Perm(wl.historyCount)
	wl.historiesByPopularity = historyIDs
	return func() int {
		i, _ := slices.BinarySearchFunc(cumulativeWeights, rnd.Float64()*totalWeight, cmp.Compare[float64])
		return historyIDs[min(i, len(historyIDs)-1)]
	}
}

// drawClass returns the index of the class to which x, in [0, 1), belongs by the request shares.
func (wl workload) drawClass(x float64) int {
	for i, c := range wl.classes {
		if x < c.requestShare {
			return i
		}
		x -= c.requestShare
	}
	return len(wl.classes) - 1
}
