package routing

import (
	"math"
	"slices"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/route"
)

type (
	// fifoLinks is embedded by policies that do not prioritise transfers and do not prewarm.
	fifoLinks struct{}

	// roundRobin sends requests to the workers in turn.
	roundRobin struct {
		fifoLinks
		next int
	}

	// leastOutstanding chooses the worker with the fewest outstanding requests.
	leastOutstanding struct{ fifoLinks }

	// boundedAffinity is rendezvous hashing on the history, with a bound on the load of a worker.
	boundedAffinity struct {
		fifoLinks
		importsHistories bool
	}

	// bergamotway is the decision of the product: it estimates the time to first token for each
	// endpoint and strategy from what the entry host knows, and estimates again with the current
	// state of the chosen endpoint, which its owner reports.
	bergamotway struct {
		// reports holds the last report of each worker, by entry host.
		reports map[int]map[*worker]loadReport
		mode    prewarmMode
	}

	// loadReport is the load of a worker as its owner last reported it to an entry host.
	loadReport struct {
		receivedAt    float64
		backlogTokens float64
		running       int
	}
)

// loadBoundFactor bounds the load of a worker, as a multiple of the mean load.
const loadBoundFactor = 1.25

func (fifoLinks) importPriority(class) int { return 0 }

func (fifoLinks) exportPriority() int { return 0 }

func (fifoLinks) prewarmMode() prewarmMode { return prewarmNone }

func (*roundRobin) name() string { return "round-robin" }

func (*roundRobin) exportsHistories() bool { return false }

func (rr *roundRobin) choose(sm *simulation, _ *request) decision {
	workers := sm.eligibleWorkers()
	if len(workers) == 0 {
		return decision{}
	}
	rr.next++
	return decision{worker: workers[rr.next%len(workers)]}
}

func (leastOutstanding) name() string { return "least-outstanding" }

func (leastOutstanding) exportsHistories() bool { return false }

func (leastOutstanding) choose(sm *simulation, rq *request) decision {
	workers := sm.eligibleWorkers()
	if len(workers) == 0 {
		return decision{}
	}
	offset := int(rq.random % uint64(len(workers)))
	best := workers[offset]
	for i := range workers {
		wk := workers[(i+offset)%len(workers)]
		if wk.outstandingRequests() < best.outstandingRequests() {
			best = wk
		}
	}
	return decision{worker: best}
}

func (ba boundedAffinity) name() string {
	if ba.importsHistories {
		return "bounded-affinity"
	}
	return "affinity-recompute"
}

func (ba boundedAffinity) exportsHistories() bool { return ba.importsHistories }

func (ba boundedAffinity) choose(sm *simulation, rq *request) decision {
	workers := sortByPreference(sm.eligibleWorkers(), rq.historyID)
	totalOutstanding := 1
	for _, wk := range workers {
		totalOutstanding += wk.outstandingRequests()
	}
	maxOutstanding := int(math.Ceil(loadBoundFactor * float64(totalOutstanding) / float64(max(1, len(workers)))))
	for _, wk := range workers {
		if wk.outstandingRequests() >= maxOutstanding {
			continue
		}
		d := decision{worker: wk}
		if ba.importsHistories {
			d.store = sm.storeOf(rq.historyID)
			key := sm.historyKey(rq.historyID)
			d.importTokens = max(0, min(floorToPieces(rq.historyTokens), d.store.histories.get(key))-wk.cache.get(key))
		}
		return d
	}
	return decision{}
}

func newBergamotway(mode prewarmMode) *bergamotway {
	return &bergamotway{mode: mode, reports: make(map[int]map[*worker]loadReport)}
}

func (bw *bergamotway) name() string {
	return [...]string{"bergamotway", "bergamotway-warm-after", "bergamotway-warm-early"}[bw.mode]
}

func (bw *bergamotway) prewarmMode() prewarmMode { return bw.mode }

func (*bergamotway) exportsHistories() bool { return true }

// importPriority orders imports by the priority of the class.
func (*bergamotway) importPriority(cl class) int { return cl.priority }

// exportPriority puts exports behind all imports.
func (*bergamotway) exportPriority() int { return 100 }

func (bw *bergamotway) choose(sm *simulation, rq *request) decision {
	workers := sortByPreference(sm.rampedWorkers(rq), rq.historyID)
	cl := sm.wl.classes[rq.classIndex]
	work := route.Work{
		Tokens:           rq.historyTokens + rq.questionTokens,
		PieceTokens:      pieceTokens,
		BytesPerToken:    bytesPerToken,
		FirstTokenTarget: cl.ttftTarget,
		CanSplit:         true,
	}
	st := sm.storeOf(rq.historyID)
	lk := route.Link{Rate: st.link.rate, BacklogBytes: st.link.bytesAhead(bw.importPriority(cl)), StoredTokens: min(rq.historyTokens, st.histories.get(sm.historyKey(rq.historyID)))}
	if st.isDead || st.zone == sm.excludedZone {
		lk = route.Link{}
	}
	eps := make([]route.Endpoint, len(workers))
	for i, wk := range workers {
		eps[i] = bw.estimateEndpoint(sm, rq, wk, i, lk)
	}
	for range len(workers) {
		plan, ok := route.Choose(eps, work, rq.random)
		if !ok {
			return decision{}
		}
		wk := workers[plan.Endpoint]
		if wk.coldUntil > sm.now && wk.grantedSlots >= coldRequestLimit {
			// The owner grants no slot above the limit of a cold endpoint.
			eps[plan.Endpoint].PrefillRate = 0
			continue
		}
		eps[plan.Endpoint] = bw.queryOwner(sm, rq, wk, lk)
		exact, ok := route.Estimate(eps[plan.Endpoint], work)
		if !ok {
			return decision{}
		}
		if exact.FirstToken > cl.ttftTarget {
			if other, ok := bw.querySecondOwner(sm, rq, workers, eps, work, exact, plan.Endpoint, lk); ok {
				return other
			}
		}
		return newDecision(wk, st, exact)
	}
	return decision{}
}

// querySecondOwner asks the owner of a second endpoint after the first has reported a load with which
// the target is missed. It does so only if the second endpoint is estimated to take at most 0.6 of the
// time, and returns a decision only if it is faster by the report of its owner, too.
func (bw *bergamotway) querySecondOwner(sm *simulation, rq *request, workers []*worker, eps []route.Endpoint, work route.Work, first route.Plan, firstIndex int, lk route.Link) (decision, bool) {
	others := slices.Clone(eps)
	// An endpoint without a prefill rate is not chosen.
	others[firstIndex].PrefillRate = 0
	plan, ok := route.Choose(others, work, rq.random)
	if !ok || plan.FirstToken > 0.6*first.FirstToken {
		return decision{}, false
	}
	wk := workers[plan.Endpoint]
	if wk.coldUntil > sm.now && wk.grantedSlots >= coldRequestLimit {
		return decision{}, false
	}
	second, ok := route.Estimate(bw.queryOwner(sm, rq, wk, lk), work)
	if !ok || second.FirstToken >= first.FirstToken {
		return decision{}, false
	}
	return newDecision(wk, sm.storeOf(rq.historyID), second), true
}

// estimateEndpoint returns the state of an endpoint as the entry host knows it without asking the owner.
// rank is the position of the worker in the order of preference.
func (bw *bergamotway) estimateEndpoint(sm *simulation, rq *request, wk *worker, rank int, lk route.Link) route.Endpoint {
	rp := bw.reports[rq.entryHost][wk]
	ep := route.Endpoint{
		BacklogTokens: max(0, rp.backlogTokens-(sm.now-rp.receivedAt)*prefillRate),
		Running:       rp.running,
		PrefillRate:   prefillRate,
		Link:          lk,
	}
	if rank == 0 {
		ep.ResidentTokens = int(assumedResidentShare * float64(rq.historyTokens))
	}
	return ep
}

// queryOwner returns the state of an endpoint as its owner knows it, which includes the requests of
// all entry hosts, and stores the reported load for later estimates.
func (bw *bergamotway) queryOwner(sm *simulation, rq *request, wk *worker, lk route.Link) route.Endpoint {
	if bw.reports[rq.entryHost] == nil {
		bw.reports[rq.entryHost] = make(map[*worker]loadReport)
	}
	backlogTokens := wk.tokensAhead(sm.wl.classes[rq.classIndex].priority)
	bw.reports[rq.entryHost][wk] = loadReport{receivedAt: sm.now, backlogTokens: backlogTokens, running: wk.runningAnswers}
	return route.Endpoint{
		ResidentTokens: min(floorToPieces(rq.historyTokens), wk.cache.get(sm.historyKey(rq.historyID))),
		BacklogTokens:  backlogTokens,
		Running:        wk.runningAnswers,
		PrefillRate:    prefillRate,
		Link:           lk,
	}
}

// assumedResidentShare is the share of a history that the preferred worker is assumed to hold in its
// KV cache.
const assumedResidentShare = 0.3

// newDecision returns the decision that carries out a plan on a worker.
func newDecision(wk *worker, st *storeHost, plan route.Plan) decision {
	d := decision{worker: wk}
	if plan.Strategy != route.Recompute {
		d.store = st
		d.importTokens = plan.ImportTokens
		d.isSplit = plan.Strategy == route.Split
	}
	return d
}

// rampedWorkers returns the eligible workers. After an availability zone has come back, its workers
// are included for a growing share of the histories.
func (sm *simulation) rampedWorkers(rq *request) []*worker {
	// rampTime is in seconds; rampStart is the initial share.
	const rampTime, rampStart = 40.0, 0.1
	share := 1.0
	if sm.zoneBackAt > 0 {
		share = min(1, max(rampStart, (sm.now-sm.zoneBackAt)/rampTime))
	}
	point := float64(rendezvous.Score(uint64(rq.historyID), 1)%1000) / 1000
	return slices.DeleteFunc(sm.eligibleWorkers(), func(wk *worker) bool {
		return sm.ev == eventZoneOutage && wk.zone == 0 && point >= share
	})
}

// sortByPreference sorts the workers in place by rendezvous hashing on the history.
func sortByPreference(workers []*worker, history int) []*worker {
	key := uint64(history) * 0x9e3779b97f4a7c15
	slices.SortFunc(workers, func(a, b *worker) int {
		sa, sb := rendezvous.Score(key, a.hash), rendezvous.Score(key, b.hash)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
	return workers
}
