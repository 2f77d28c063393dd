package routing

import (
	"container/heap"
	"fmt"
	"math"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// simulation is one run of a policy over a trace.
	simulation struct {
		wl      workload
		ev      event
		policy  policy
		now     float64
		serial  int
		pending timerHeap
		workers []*worker
		stores  []*storeHost
		zoneOut int
		zoneIn  float64
		version int
		stats   stats
		// lengths are the histories' last known lengths, warmed how many ranks have been warmed.
		lengths map[int]int
		warmed  int
	}

	timer struct {
		at     float64
		serial int
		f      func()
	}

	timerHeap []timer

	// stats is what a run measured.
	stats struct {
		ttft       map[string][]float64
		bound      map[string][]float64
		recomputed float64
		history    float64
		imported   float64
		refused    int
		requests   int
		crashes    int
		wasted     float64
		linkPeak   float64
		warmed     float64
		afterEvent []float64
		lateBySec  map[int][2]int
	}

	// decision is where a policy sends a request and how the history gets there.
	decision struct {
		worker *worker
		// importTokens come from store; headTokens are read meanwhile.
		store        *storeHost
		importTokens int
		isSplit      bool
		refuse       bool
	}

	// prewarm says how hot histories are read for new weights.
	prewarm int

	policy interface {
		name() string
		choose(sm *simulation, rq *request) decision
		// keeps reports whether finished histories are exported.
		keeps() bool
		// linkPriority and exportPriority order transfers on a link; a lower number goes first.
		linkPriority(cl class) int
		// prewarm says whether hot histories are read for new weights before they return.
		prewarm() prewarm
		exportPriority() int
	}
)

const (
	// prewarmNone leaves each history to its first return.
	prewarmNone prewarm = iota
	// prewarmAfter reads hot histories after the swap, on spare capacity.
	prewarmAfter
	// prewarmEarly does so before the swap on a few workers, and after it on spare capacity.
	prewarmEarly

	earlyWorkers = 2
	earlyTime    = 100.0
	warmPriority = 50
)

// simulate runs a policy over a trace with an event.
func simulate(wl workload, ev event, po policy, trace []request) stats {
	sm := &simulation{wl: wl, ev: ev, policy: po, zoneOut: -1}
	sm.stats = stats{
		ttft: make(map[string][]float64), bound: make(map[string][]float64), lateBySec: make(map[int][2]int),
	}
	sm.build(trace)
	for i := range trace {
		rq := &trace[i]
		sm.after(rq.at, func() { sm.arrive(rq, rq.at, 0) })
	}
	sm.schedule()
	for sm.pending.Len() > 0 {
		t, ok := heap.Pop(&sm.pending).(timer)
		if !ok {
			break
		}
		sm.now = t.at
		t.f()
	}
	for _, wk := range sm.workers {
		sm.stats.crashes += wk.crashes
	}
	for _, st := range sm.stores {
		for _, bytes := range st.link.perSec {
			sm.stats.linkPeak = max(sm.stats.linkPeak, bytes/linkRate)
		}
	}
	return sm.stats
}

func (sm *simulation) build(trace []request) {
	for i := range sm.wl.workers {
		name := fmt.Sprintf("engine-%d", i+1)
		sm.workers = append(sm.workers, &worker{
			name: name, hash: rendezvous.Hash(name), zone: i % sm.wl.zones,
			memory: newLRU(memoryTokens), backlog: make(map[int]float64),
		})
	}
	total := 0
	first := make(map[int]int)
	for _, rq := range trace {
		if _, ok := first[rq.history]; !ok {
			first[rq.history] = rq.tokens
			total += rq.tokens
		}
	}
	sm.lengths = first
	space := int(storeShare * float64(total) / float64(sm.wl.stores))
	for i := range sm.wl.stores {
		name := fmt.Sprintf("store-%d", i+1)
		sm.stores = append(sm.stores, &storeHost{
			name: name, hash: rendezvous.Hash(name), zone: (i + sm.wl.storeZone) % sm.wl.zones, kept: newLRU(space),
			link: &link{rate: linkRate, perSec: make(map[int]float64), pending: make(map[int]float64)},
		})
	}
	if !sm.policy.keeps() {
		return
	}
	// The day before has filled the stores, the least popular customers first.
	for i := len(sm.wl.ranks) - 1; i >= 0; i-- {
		id := sm.wl.ranks[i]
		if tokens, ok := first[id]; ok {
			sm.storeOf(id).kept.put(sm.key(id), whole(tokens))
		}
	}
}

// key names a history of the weight version in force, so that no version reads another's.
func (sm *simulation) key(history int) int { return history*1000 + sm.version }

func (sm *simulation) storeOf(history int) *storeHost {
	var best *storeHost
	var bestScore uint64
	for _, st := range sm.stores {
		sc := rendezvous.Score(uint64(history)*0x9e3779b97f4a7c15, st.hash)
		if !st.isDead && st.zone != sm.zoneOut && (best == nil || sc > bestScore) {
			best, bestScore = st, sc
		}
	}
	if best == nil {
		return sm.stores[0]
	}
	return best
}

// eligible returns the workers that may get new work.
func (sm *simulation) eligible() []*worker {
	var out []*worker
	for _, wk := range sm.workers {
		if wk.zone != sm.zoneOut && wk.upAt <= sm.now && !wk.isEarly {
			out = append(out, wk)
		}
	}
	return out
}

func (sm *simulation) arrive(rq *request, arrived float64, tries int) {
	cl := sm.wl.classes[rq.class]
	isMeasured := arrived >= warmUp
	if tries == 0 && isMeasured {
		sm.stats.requests++
		sm.stats.bound[cl.name] = append(sm.stats.bound[cl.name], sm.lowerBound(rq))
	}
	d := sm.policy.choose(sm, rq)
	if d.refuse || d.worker == nil {
		if d.refuse || tries > 20 {
			sm.stats.refused++
			return
		}
		sm.after(0.25, func() { sm.arrive(rq, arrived, tries+1) })
		return
	}
	sm.dispatch(rq, d, arrived, tries)
}

func (sm *simulation) dispatch(rq *request, d decision, arrived float64, tries int) {
	wk := d.worker
	wk.placed++
	cl := sm.wl.classes[rq.class]
	key := sm.key(rq.history)
	resident := min(whole(rq.tokens), wk.memory.get(key))
	wk.memory.touch(key)
	imported := 0
	// The question is read once both the import and the reading of the head have ended.
	waiting := 1
	if d.store != nil && d.importTokens > 0 && !d.store.isDead {
		imported = min(d.importTokens, rq.tokens-resident)
		d.store.kept.touch(key)
	}
	read := rq.tokens + rq.question - resident - imported
	if arrived >= warmUp {
		sm.stats.recomputed += float64(rq.tokens - resident - imported)
		sm.stats.history += float64(rq.tokens)
		sm.stats.imported += float64(imported)
	}
	// The tail comes over the link while the head is read; the question is read when both are there.
	first, rest := read-rq.question, rq.question
	if imported > 0 && !d.isSplit {
		first, rest = 0, read
	}
	lost := func(float64) {
		sm.stats.wasted += float64(read)
		sm.after(0.05, func() { sm.arrive(rq, arrived, tries+1) })
	}
	sm.serial++
	finish := func(now float64) { sm.firstToken(rq, wk, cl, now, arrived) }
	part := func(float64) {
		if waiting--; waiting == 0 {
			sm.enqueue(wk, &job{rq: rq, priority: cl.priority, serial: sm.serial, left: rest, done: finish, lost: lost})
		}
	}
	if imported > 0 {
		waiting++
		epoch := wk.epoch
		sm.send(d.store.link, sm.policy.linkPriority(cl), float64(imported)*bytesPerToken, func() {
			if wk.epoch == epoch {
				part(sm.now)
			} else if first == 0 {
				lost(sm.now)
			}
		})
	}
	if first > 0 {
		sm.enqueue(wk, &job{rq: rq, priority: cl.priority, serial: sm.serial, left: first, done: part, lost: lost})
		return
	}
	part(sm.now)
}

func (sm *simulation) firstToken(rq *request, wk *worker, cl class, now, arrived float64) {
	took := now - arrived
	if arrived >= warmUp {
		sm.stats.ttft[cl.name] = append(sm.stats.ttft[cl.name], took)
		if cl.name == "crew" && arrived >= eventAt && arrived < eventEnd {
			sm.stats.afterEvent = append(sm.stats.afterEvent, took)
		}
		late := sm.stats.lateBySec[int(arrived)]
		late[1]++
		if took > 2*cl.target {
			late[0]++
		}
		sm.stats.lateBySec[int(arrived)] = late
	}
	wk.running++
	epoch := wk.epoch
	key := sm.key(rq.history)
	wk.memory.put(key, whole(rq.tokens+rq.question))
	sm.after(float64(rq.answer)*decodeTime, func() {
		if wk.epoch != epoch {
			return
		}
		wk.running--
		wk.placed--
		wk.memory.put(key, whole(rq.tokens+rq.question+rq.answer))
		sm.export(rq, key)
	})
}

func (sm *simulation) export(rq *request, key int) {
	st := sm.storeOf(rq.history)
	if !sm.policy.keeps() || st.isDead {
		return
	}
	tokens := whole(rq.tokens + rq.question + rq.answer)
	missing := tokens - st.kept.get(key)
	if missing <= 0 {
		return
	}
	sm.send(st.link, sm.policy.exportPriority(), float64(missing)*bytesPerToken, func() { st.kept.put(key, tokens) })
}

// lowerBound returns the time to first token of a request that is alone, on the best endpoint.
func (sm *simulation) lowerBound(rq *request) float64 {
	key := sm.key(rq.history)
	best := math.Inf(1)
	st := sm.storeOf(rq.history)
	kept := min(rq.tokens, st.kept.get(key))
	if st.isDead {
		kept = 0
	}
	for _, wk := range sm.eligible() {
		resident := min(rq.tokens, wk.memory.get(key))
		need := rq.tokens - resident
		t := float64(need+rq.question) / prefillRate
		if kept > resident {
			available := float64(kept - resident)
			head := available * bytesPerToken / st.link.rate / (1/prefillRate + bytesPerToken/st.link.rate)
			split := (head + float64(need) - available + float64(rq.question)) / prefillRate
			t = min(t, split)
		}
		best = min(best, t)
	}
	return best
}

// whole rounds down to whole pieces.
func whole(tokens int) int { return tokens - tokens%pieceTokens }
