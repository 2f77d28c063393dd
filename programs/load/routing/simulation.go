package routing

import (
	"container/heap"
	"fmt"
	"math"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// simulation is a discrete-event simulation of a policy over a trace. Times are in seconds.
	simulation struct {
		wl         workload
		ev         event
		policy     policy
		now        float64
		lastSerial int
		timers     timerHeap
		workers    []*worker
		stores     []*storeHost
		// excludedZone is the availability zone that gets no requests, or -1.
		excludedZone int
		// zoneBackAt is the time at which the excluded zone came back, or 0.
		zoneBackAt    float64
		weightVersion int
		stats         stats
		// initialTokens is the length of each history at its first request.
		initialTokens map[int]int
		// nextPrewarmRank is the index in historiesByPopularity of the next history to prewarm.
		nextPrewarmRank int
	}

	// timer calls callback at a time. serial orders the timers of the same time.
	timer struct {
		time     float64
		serial   int
		callback func()
	}

	timerHeap []timer

	// stats holds the measurements of one simulation. Times are in seconds.
	stats struct {
		ttft map[string][]float64
		// lowerBound holds a lower bound on the time to first token of each request, by class.
		lowerBound       map[string][]float64
		recomputedTokens float64
		historyTokens    float64
		importedTokens   float64
		refused          int
		requests         int
		crashes          int
		wastedTokens     float64
		// peakLinkUse is the highest use of a link in any second, as a share of linkRate.
		peakLinkUse     float64
		prewarmedTokens float64
		crewTTFTInEvent []float64
		// lateBySecond counts the late requests and all requests by second of arrival.
		lateBySecond map[int][2]int
	}

	// decision is the worker that a policy chooses for a request and how the history gets there.
	decision struct {
		worker *worker
		// importTokens are imported from store. If isSplit is set, the head of the history is
		// prefilled during the import.
		store        *storeHost
		importTokens int
		isSplit      bool
		isRefused    bool
	}

	// prewarmMode selects when popular histories are prefilled with new weights.
	prewarmMode int

	policy interface {
		name() string
		choose(sm *simulation, rq *request) decision
		// exportsHistories reports whether the histories of finished requests are exported to a store.
		exportsHistories() bool
		// importPriority and exportPriority order the transfers on a link; the lowest goes first.
		importPriority(cl class) int
		// prewarmMode returns when popular histories are prefilled with new weights.
		prewarmMode() prewarmMode
		exportPriority() int
	}
)

const (
	// prewarmNone prefills each history when its next request arrives.
	prewarmNone prewarmMode = iota
	// prewarmAfter prefills popular histories after the swap, on spare capacity.
	prewarmAfter
	// prewarmEarly prefills popular histories on a few workers before the swap, and then on spare
	// capacity.
	prewarmEarly

	// earlyWorkerCount is the number of workers that prewarmEarly takes out of service before the swap.
	earlyWorkerCount = 2
	// earlyPrewarmTime is the time from the start of prewarmEarly to the swap, in seconds.
	earlyPrewarmTime = 100.0
	// prewarmPriority is behind the priorities of all classes.
	prewarmPriority = 50
)

// simulate runs a policy over a trace with an event and returns the measurements.
func simulate(wl workload, ev event, po policy, trace []request) stats {
	sm := &simulation{wl: wl, ev: ev, policy: po, excludedZone: -1}
	sm.stats = stats{
		ttft: make(map[string][]float64), lowerBound: make(map[string][]float64), lateBySecond: make(map[int][2]int),
	}
	sm.buildFleet(trace)
	for i := range trace {
		rq := &trace[i]
		sm.after(rq.arrivesAt, func() { sm.handleArrival(rq, rq.arrivesAt, 0) })
	}
	sm.scheduleEvent()
	for sm.timers.Len() > 0 {
		t, ok := heap.Pop(&sm.timers).(timer)
		if !ok {
			break
		}
		sm.now = t.time
		t.callback()
	}
	for _, wk := range sm.workers {
		sm.stats.crashes += wk.crashes
	}
	for _, st := range sm.stores {
		for _, bytes := range st.link.bytesBySecond {
			sm.stats.peakLinkUse = max(sm.stats.peakLinkUse, bytes/linkRate)
		}
	}
	return sm.stats
}

// buildFleet creates the workers and the store hosts, and fills the stores if the policy exports
// histories.
func (sm *simulation) buildFleet(trace []request) {
	for i := range sm.wl.workerCount {
		name := fmt.Sprintf("engine-%d", i+1)
		sm.workers = append(sm.workers, &worker{
			name: name, hash: rendezvous.Hash(name), zone: i % sm.wl.zoneCount,
			cache: newLRU(cacheTokens), backlogTokens: make(map[int]float64),
		})
	}
	totalTokens := 0
	initialTokens := make(map[int]int)
	for _, rq := range trace {
		if _, ok := initialTokens[rq.historyID]; !ok {
			initialTokens[rq.historyID] = rq.historyTokens
			totalTokens += rq.historyTokens
		}
	}
	sm.initialTokens = initialTokens
	capacityTokens := int(storeCapacityShare * float64(totalTokens) / float64(sm.wl.storeCount))
	for i := range sm.wl.storeCount {
		name := fmt.Sprintf("store-%d", i+1)
		sm.stores = append(sm.stores, &storeHost{
			name: name, hash: rendezvous.Hash(name), zone: (i + sm.wl.firstStoreZone) % sm.wl.zoneCount, histories: newLRU(capacityTokens),
			link: &link{rate: linkRate, bytesBySecond: make(map[int]float64), pendingBytes: make(map[int]float64)},
		})
	}
	if !sm.policy.exportsHistories() {
		return
	}
	// The stores hold the histories of the previous day. The most popular ones are put last, so that
	// the least popular ones are evicted.
	for i := len(sm.wl.historiesByPopularity) - 1; i >= 0; i-- {
		id := sm.wl.historiesByPopularity[i]
		if tokens, ok := initialTokens[id]; ok {
			sm.storeOf(id).histories.put(sm.historyKey(id), floorToPieces(tokens))
		}
	}
}

// historyKey returns the cache key of a history for the current weight version. Versions do not share
// KV cache.
func (sm *simulation) historyKey(history int) int { return history*1000 + sm.weightVersion }

// storeOf returns the store host that owns a history by rendezvous hashing over the available ones, or
// the first store host if none is available.
func (sm *simulation) storeOf(history int) *storeHost {
	var best *storeHost
	var bestScore uint64
	for _, st := range sm.stores {
		sc := rendezvous.Score(uint64(history)*0x9e3779b97f4a7c15, st.hash)
		if !st.isDead && st.zone != sm.excludedZone && (best == nil || sc > bestScore) {
			best, bestScore = st, sc
		}
	}
	if best == nil {
		return sm.stores[0]
	}
	return best
}

// eligibleWorkers returns the workers that accept requests.
func (sm *simulation) eligibleWorkers() []*worker {
	var out []*worker
	for _, wk := range sm.workers {
		if wk.zone != sm.excludedZone && wk.availableAt <= sm.now && !wk.isPrewarming {
			out = append(out, wk)
		}
	}
	return out
}

// handleArrival lets the policy choose a worker. Without a choice it retries every 0.25 s and gives up
// after 21 retries.
func (sm *simulation) handleArrival(rq *request, arrivedAt float64, attempt int) {
	cl := sm.wl.classes[rq.classIndex]
	isMeasured := arrivedAt >= warmUpTime
	if attempt == 0 && isMeasured {
		sm.stats.requests++
		sm.stats.lowerBound[cl.name] = append(sm.stats.lowerBound[cl.name], sm.lowerBound(rq))
	}
	d := sm.policy.choose(sm, rq)
	if d.isRefused || d.worker == nil {
		if d.isRefused || attempt > 20 {
			sm.stats.refused++
			return
		}
		sm.after(0.25, func() { sm.handleArrival(rq, arrivedAt, attempt+1) })
		return
	}
	sm.dispatch(rq, d, arrivedAt, attempt)
}

// dispatch starts the import and the prefill of a request on the worker that was chosen. If the worker
// restarts, the request arrives again after 0.05 s.
func (sm *simulation) dispatch(rq *request, d decision, arrivedAt float64, attempt int) {
	wk := d.worker
	wk.grantedSlots++
	cl := sm.wl.classes[rq.classIndex]
	key := sm.historyKey(rq.historyID)
	residentTokens := min(floorToPieces(rq.historyTokens), wk.cache.get(key))
	wk.cache.touch(key)
	importedTokens := 0
	// The rest is prefilled once both the import and the prefill of the head have ended.
	pendingParts := 1
	if d.store != nil && d.importTokens > 0 && !d.store.isDead {
		importedTokens = min(d.importTokens, rq.historyTokens-residentTokens)
		d.store.histories.touch(key)
	}
	prefillTokens := rq.historyTokens + rq.questionTokens - residentTokens - importedTokens
	if arrivedAt >= warmUpTime {
		sm.stats.recomputedTokens += float64(rq.historyTokens - residentTokens - importedTokens)
		sm.stats.historyTokens += float64(rq.historyTokens)
		sm.stats.importedTokens += float64(importedTokens)
	}
	// With a split, the tail is imported while the head is prefilled, and the question is prefilled
	// when both are present.
	headTokens, restTokens := prefillTokens-rq.questionTokens, rq.questionTokens
	if importedTokens > 0 && !d.isSplit {
		headTokens, restTokens = 0, prefillTokens
	}
	onLost := func(float64) {
		sm.stats.wastedTokens += float64(prefillTokens)
		sm.after(0.05, func() { sm.handleArrival(rq, arrivedAt, attempt+1) })
	}
	sm.lastSerial++
	onDone := func(now float64) { sm.handleFirstToken(rq, wk, cl, now, arrivedAt) }
	partDone := func(float64) {
		if pendingParts--; pendingParts == 0 {
			sm.enqueue(wk, &job{rq: rq, priority: cl.priority, serial: sm.lastSerial, remainingTokens: restTokens, onDone: onDone, onLost: onLost})
		}
	}
	if importedTokens > 0 {
		pendingParts++
		epoch := wk.epoch
		sm.enqueueTransfer(d.store.link, sm.policy.importPriority(cl), float64(importedTokens)*bytesPerToken, func() {
			if wk.epoch == epoch {
				partDone(sm.now)
			} else if headTokens == 0 {
				onLost(sm.now)
			}
		})
	}
	if headTokens > 0 {
		sm.enqueue(wk, &job{rq: rq, priority: cl.priority, serial: sm.lastSerial, remainingTokens: headTokens, onDone: partDone, onLost: onLost})
		return
	}
	partDone(sm.now)
}

// handleFirstToken records the time to first token and generates the answer.
func (sm *simulation) handleFirstToken(rq *request, wk *worker, cl class, now, arrivedAt float64) {
	ttft := now - arrivedAt
	if arrivedAt >= warmUpTime {
		sm.stats.ttft[cl.name] = append(sm.stats.ttft[cl.name], ttft)
		if cl.name == "crew" && arrivedAt >= eventStart && arrivedAt < eventEnd {
			sm.stats.crewTTFTInEvent = append(sm.stats.crewTTFTInEvent, ttft)
		}
		counts := sm.stats.lateBySecond[int(arrivedAt)]
		counts[1]++
		if ttft > 2*cl.ttftTarget {
			counts[0]++
		}
		sm.stats.lateBySecond[int(arrivedAt)] = counts
	}
	wk.runningAnswers++
	epoch := wk.epoch
	key := sm.historyKey(rq.historyID)
	wk.cache.put(key, floorToPieces(rq.historyTokens+rq.questionTokens))
	sm.after(float64(rq.answerTokens)*decodeTokenTime, func() {
		if wk.epoch != epoch {
			return
		}
		wk.runningAnswers--
		wk.grantedSlots--
		wk.cache.put(key, floorToPieces(rq.historyTokens+rq.questionTokens+rq.answerTokens))
		sm.exportHistory(rq, key)
	})
}

// exportHistory exports the part of a finished request's history that the store does not have.
func (sm *simulation) exportHistory(rq *request, key int) {
	st := sm.storeOf(rq.historyID)
	if !sm.policy.exportsHistories() || st.isDead {
		return
	}
	tokens := floorToPieces(rq.historyTokens + rq.questionTokens + rq.answerTokens)
	missingTokens := tokens - st.histories.get(key)
	if missingTokens <= 0 {
		return
	}
	sm.enqueueTransfer(st.link, sm.policy.exportPriority(), float64(missingTokens)*bytesPerToken, func() { st.histories.put(key, tokens) })
}

// lowerBound returns the time to first token that the request would have on the best endpoint without
// any other load.
func (sm *simulation) lowerBound(rq *request) float64 {
	key := sm.historyKey(rq.historyID)
	best := math.Inf(1)
	st := sm.storeOf(rq.historyID)
	storedTokens := min(rq.historyTokens, st.histories.get(key))
	if st.isDead {
		storedTokens = 0
	}
	for _, wk := range sm.eligibleWorkers() {
		residentTokens := min(rq.historyTokens, wk.cache.get(key))
		missingTokens := rq.historyTokens - residentTokens
		ttft := float64(missingTokens+rq.questionTokens) / prefillRate
		if storedTokens > residentTokens {
			// With a split, the head is prefilled while the rest is imported, and both end at the same time.
			importableTokens := float64(storedTokens - residentTokens)
			headTokens := importableTokens * bytesPerToken / st.link.rate / (1/prefillRate + bytesPerToken/st.link.rate)
			splitTime := (headTokens + float64(missingTokens) - importableTokens + float64(rq.questionTokens)) / prefillRate
			ttft = min(ttft, splitTime)
		}
		best = min(best, ttft)
	}
	return best
}

// floorToPieces rounds a number of tokens down to a multiple of pieceTokens.
func floorToPieces(tokens int) int { return tokens - tokens%pieceTokens }
