package routing

import "container/heap"

// Len returns how many timers run.
func (th timerHeap) Len() int { return len(th) }

// Less orders timers by time.
func (th timerHeap) Less(i, j int) bool {
	if th[i].at != th[j].at {
		return th[i].at < th[j].at
	}
	return th[i].serial < th[j].serial
}

// Swap swaps two timers.
func (th timerHeap) Swap(i, j int) { th[i], th[j] = th[j], th[i] }

// Push adds a timer.
func (th *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
		*th = append(*th, t)
	}
}

// Pop removes the last timer.
func (th *timerHeap) Pop() any {
	old := *th
	last := old[len(old)-1]
	*th = old[:len(old)-1]
	return last
}

func (sm *simulation) after(d float64, f func()) {
	sm.serial++
	heap.Push(&sm.pending, timer{at: sm.now + d, serial: sm.serial, f: f})
}

func (sm *simulation) schedule() {
	at := func(t float64, f func()) { sm.after(t, f) }
	switch sm.ev {
	case eventZone:
		at(eventAt, func() { sm.zoneOut = 0 })
		at(eventEnd, func() {
			sm.zoneOut, sm.zoneIn = -1, sm.now
			for _, wk := range sm.workers {
				if wk.zone == 0 {
					wk.memory = newLRU(memoryTokens)
					wk.coldUntil = sm.now + coldTime
				}
			}
		})
	case eventStoreDead:
		at(eventAt, func() { sm.stores[0].isDead = true })
	case eventSlowLink:
		at(eventAt, func() { sm.stores[0].link.rate = linkRate / 10 })
		at(eventEnd, func() { sm.stores[0].link.rate = linkRate })
	case eventCold:
		at(eventAt, func() {
			sm.restart(sm.workers[1], 0)
			sm.workers[1].coldUntil = sm.now + coldTime
		})
	case eventWeightsSwap:
		at(eventAt, func() { sm.swapWeights() })
		if sm.policy.prewarm() == prewarmEarly {
			at(eventAt-earlyTime, func() { sm.swapEarly() })
		}
	case eventNone:
	}
}

// swapWeights makes all kept and resident histories of the old version worthless.
func (sm *simulation) swapWeights() {
	sm.version++
	for _, wk := range sm.workers {
		wk.memory = newLRU(memoryTokens)
		wk.isEarly = false
	}
	if sm.policy.prewarm() != prewarmNone {
		for _, wk := range sm.workers {
			sm.warmNext(wk, sm.version)
		}
	}
}

// swapEarly gives the new weights to a few workers before the others; they serve no request until
// the swap, and read the hottest histories for the new version.
func (sm *simulation) swapEarly() {
	for _, wk := range sm.workers[:earlyWorkers] {
		wk.isEarly = true
		sm.warmNext(wk, sm.version+1)
	}
}

// warmNext reads the hottest history that the new version lacks, behind all other work.
func (sm *simulation) warmNext(wk *worker, version int) {
	for sm.warmed < len(sm.wl.ranks) && sm.now < duration {
		id := sm.wl.ranks[sm.warmed]
		sm.warmed++
		tokens := whole(sm.lengths[id])
		key := id*1000 + version
		st := sm.storeOf(id)
		if tokens == 0 || st.kept.get(key) >= tokens {
			continue
		}
		sm.serial++
		next := func(float64) {
			sm.stats.warmed += float64(tokens)
			sm.send(st.link, sm.policy.exportPriority(), float64(tokens)*bytesPerToken, func() { st.kept.put(key, tokens) })
			sm.warmNext(wk, version)
		}
		sm.enqueue(wk, &job{priority: warmPriority, serial: sm.serial, left: tokens, done: next, lost: func(float64) {}})
		return
	}
}
