package routing

import (
	"math"
	"slices"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/route"
)

type (
	// firstCome is a policy without priorities on links.
	firstCome struct{}

	roundRobin struct {
		firstCome
		next int
	}

	leastOutstanding struct{ firstCome }

	// boundedAffinity prefers the same workers for one history, with a bound on their load.
	boundedAffinity struct {
		firstCome
		isImporting bool
	}

	// bergamotway is the daemon's decision: one estimate for each endpoint and way, taken from what
	// this host knows, and then from the answer of the endpoint's owner.
	bergamotway struct {
		known   map[int]map[*worker]knowledge
		warming prewarm
	}

	// knowledge is what one host has heard of a worker.
	knowledge struct {
		at      float64
		backlog float64
		running int
	}
)

// loadBound is how far above the mean a worker's load may be.
const loadBound = 1.25

func (firstCome) linkPriority(class) int { return 0 }

func (firstCome) exportPriority() int { return 0 }

func (firstCome) prewarm() prewarm { return prewarmNone }

func (*roundRobin) name() string { return "round-robin" }

func (*roundRobin) keeps() bool { return false }

func (rr *roundRobin) choose(sm *simulation, _ *request) decision {
	workers := sm.eligible()
	if len(workers) == 0 {
		return decision{}
	}
	rr.next++
	return decision{worker: workers[rr.next%len(workers)]}
}

func (leastOutstanding) name() string { return "least-outstanding" }

func (leastOutstanding) keeps() bool { return false }

func (leastOutstanding) choose(sm *simulation, rq *request) decision {
	workers := sm.eligible()
	if len(workers) == 0 {
		return decision{}
	}
	offset := int(rq.random % uint64(len(workers)))
	best := workers[offset]
	for i := range workers {
		wk := workers[(i+offset)%len(workers)]
		if wk.outstanding() < best.outstanding() {
			best = wk
		}
	}
	return decision{worker: best}
}

func (ba boundedAffinity) name() string {
	if ba.isImporting {
		return "bounded-affinity"
	}
	return "affinity-recompute"
}

func (ba boundedAffinity) keeps() bool { return ba.isImporting }

func (ba boundedAffinity) choose(sm *simulation, rq *request) decision {
	workers := preferred(sm.eligible(), rq.history)
	total := 1
	for _, wk := range workers {
		total += wk.outstanding()
	}
	bound := int(math.Ceil(loadBound * float64(total) / float64(max(1, len(workers)))))
	for _, wk := range workers {
		if wk.outstanding() >= bound {
			continue
		}
		d := decision{worker: wk}
		if ba.isImporting {
			d.store = sm.storeOf(rq.history)
			key := sm.key(rq.history)
			d.importTokens = max(0, min(whole(rq.tokens), d.store.kept.get(key))-wk.memory.get(key))
		}
		return d
	}
	return decision{}
}

func newBergamotway(warming prewarm) *bergamotway {
	return &bergamotway{warming: warming, known: make(map[int]map[*worker]knowledge)}
}

func (bw *bergamotway) name() string {
	return [...]string{"bergamotway", "bergamotway-warm-after", "bergamotway-warm-early"}[bw.warming]
}

func (bw *bergamotway) prewarm() prewarm { return bw.warming }

func (*bergamotway) keeps() bool { return true }

// linkPriority lets a tight class go before a loose one.
func (*bergamotway) linkPriority(cl class) int { return cl.priority }

// exportPriority lets every import go before an export.
func (*bergamotway) exportPriority() int { return 100 }

func (bw *bergamotway) choose(sm *simulation, rq *request) decision {
	workers := preferred(sm.ramped(rq), rq.history)
	cl := sm.wl.classes[rq.class]
	work := route.Work{
		Tokens:        rq.tokens + rq.question,
		PieceTokens:   pieceTokens,
		BytesPerToken: bytesPerToken,
		Target:        cl.target,
		CanSplit:      true,
	}
	st := sm.storeOf(rq.history)
	lk := route.Link{Rate: st.link.rate, Backlog: st.link.ahead(bw.linkPriority(cl)), Stored: min(rq.tokens, st.kept.get(sm.key(rq.history)))}
	if st.isDead || st.zone == sm.zoneOut {
		lk = route.Link{}
	}
	eps := make([]route.Endpoint, len(workers))
	for i, wk := range workers {
		eps[i] = bw.guess(sm, rq, wk, i, lk)
	}
	for range len(workers) {
		plan, ok := route.Choose(eps, work, rq.random)
		if !ok {
			return decision{}
		}
		wk := workers[plan.Endpoint]
		if wk.coldUntil > sm.now && wk.placed >= coldLimit {
			// The owner of a cold endpoint gives no place above its limit.
			eps[plan.Endpoint].PrefillRate = 0
			continue
		}
		eps[plan.Endpoint] = bw.ask(sm, rq, wk, lk)
		exact, ok := route.Estimate(eps[plan.Endpoint], work)
		if !ok {
			return decision{}
		}
		if exact.FirstToken > cl.target {
			if other, ok := bw.reconsider(sm, rq, workers, eps, work, exact, plan.Endpoint, lk); ok {
				return other
			}
		}
		return decide(wk, st, exact)
	}
	return decision{}
}

// reconsider asks one more owner if the first one's answer shows that its endpoint is busy.
func (bw *bergamotway) reconsider(sm *simulation, rq *request, workers []*worker, eps []route.Endpoint, work route.Work, first route.Plan, asked int, lk route.Link) (decision, bool) {
	rest := slices.Clone(eps)
	rest[asked].PrefillRate = 0
	plan, ok := route.Choose(rest, work, rq.random)
	if !ok || plan.FirstToken > 0.6*first.FirstToken {
		return decision{}, false
	}
	wk := workers[plan.Endpoint]
	if wk.coldUntil > sm.now && wk.placed >= coldLimit {
		return decision{}, false
	}
	exact, ok := route.Estimate(bw.ask(sm, rq, wk, lk), work)
	if !ok || exact.FirstToken >= first.FirstToken {
		return decision{}, false
	}
	return decide(wk, sm.storeOf(rq.history), exact), true
}

// guess is what the host knows without asking.
func (bw *bergamotway) guess(sm *simulation, rq *request, wk *worker, rank int, lk route.Link) route.Endpoint {
	kn := bw.known[rq.host][wk]
	ep := route.Endpoint{
		Backlog:     max(0, kn.backlog-(sm.now-kn.at)*prefillRate),
		Running:     kn.running,
		PrefillRate: prefillRate,
		Link:        lk,
	}
	if rank == 0 {
		ep.Resident = int(believedShare * float64(rq.tokens))
	}
	return ep
}

// ask takes the owner's answer, which counts what all hosts have sent.
func (bw *bergamotway) ask(sm *simulation, rq *request, wk *worker, lk route.Link) route.Endpoint {
	if bw.known[rq.host] == nil {
		bw.known[rq.host] = make(map[*worker]knowledge)
	}
	backlog := wk.ahead(sm.wl.classes[rq.class].priority)
	bw.known[rq.host][wk] = knowledge{at: sm.now, backlog: backlog, running: wk.running}
	return route.Endpoint{
		Resident:    min(whole(rq.tokens), wk.memory.get(sm.key(rq.history))),
		Backlog:     backlog,
		Running:     wk.running,
		PrefillRate: prefillRate,
		Link:        lk,
	}
}

// believedShare is the share of a history that the preferred worker is believed to have.
const believedShare = 0.3

func decide(wk *worker, st *storeHost, plan route.Plan) decision {
	d := decision{worker: wk}
	if plan.Way != route.Recompute {
		d.store = st
		d.importTokens = plan.Import
		d.isSplit = plan.Way == route.Split
	}
	return d
}

// ramped returns the eligible workers, with a growing share of a zone that came back.
func (sm *simulation) ramped(rq *request) []*worker {
	const rampTime, rampStart = 40.0, 0.1
	share := 1.0
	if sm.zoneIn > 0 {
		share = min(1, max(rampStart, (sm.now-sm.zoneIn)/rampTime))
	}
	point := float64(rendezvous.Score(uint64(rq.history), 1)%1000) / 1000
	return slices.DeleteFunc(sm.eligible(), func(wk *worker) bool {
		return sm.ev == eventZone && wk.zone == 0 && point >= share
	})
}

func preferred(workers []*worker, history int) []*worker {
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
