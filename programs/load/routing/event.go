package routing

import "container/heap"

// Len returns the number of pending timers.
func (th timerHeap) Len() int { return len(th) }

// Less orders timers by time and then by creation.
func (th timerHeap) Less(i, j int) bool {
	if th[i].time != th[j].time {
		return th[i].time < th[j].time
	}
	return th[i].serial < th[j].serial
}

// Swap exchanges two timers.
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

// after calls f after a delay in seconds of simulated time.
func (sm *simulation) after(delay float64, f func()) {
	sm.lastSerial++
	heap.Push(&sm.timers, timer{time: sm.now + delay, serial: sm.lastSerial, callback: f})
}

// scheduleEvent sets the timers of the event.
func (sm *simulation) scheduleEvent() {
	at := func(t float64, f func()) { sm.after(t, f) }
	switch sm.ev {
	case eventZoneOutage:
		at(eventStart, func() { sm.excludedZone = 0 })
		at(eventEnd, func() {
			sm.excludedZone, sm.zoneBackAt = -1, sm.now
			for _, wk := range sm.workers {
				if wk.zone == 0 {
					wk.cache = newLRU(cacheTokens)
					wk.coldUntil = sm.now + coldTime
				}
			}
		})
	case eventStoreHostDead:
		at(eventStart, func() { sm.stores[0].isDead = true })
	case eventSlowLink:
		at(eventStart, func() { sm.stores[0].link.rate = linkRate / 10 })
		at(eventEnd, func() { sm.stores[0].link.rate = linkRate })
	case eventColdEndpoint:
		at(eventStart, func() {
			sm.restart(sm.workers[1], 0)
			sm.workers[1].coldUntil = sm.now + coldTime
		})
	case eventWeightsSwap:
		at(eventStart, func() { sm.swapWeights() })
		if sm.policy.prewarmMode() == prewarmEarly {
			at(eventStart-earlyPrewarmTime, func() { sm.startEarlyPrewarm() })
		}
	case eventNone:
	}
}

// swapWeights changes the weight version on all workers. Stored and resident KV cache of the old
// version can no longer be used.
func (sm *simulation) swapWeights() {
	sm.weightVersion++
	for _, wk := range sm.workers {
		wk.cache = newLRU(cacheTokens)
		wk.isPrewarming = false
	}
	if sm.policy.prewarmMode() != prewarmNone {
		for _, wk := range sm.workers {
			sm.prewarmNext(wk, sm.weightVersion)
		}
	}
}

// startEarlyPrewarm loads the new weights on a few workers before the others. Until the swap they
// serve no requests and prefill the most popular histories with the new version.
func (sm *simulation) startEarlyPrewarm() {
	for _, wk := range sm.workers[:earlyWorkerCount] {
		wk.isPrewarming = true
		sm.prewarmNext(wk, sm.weightVersion+1)
	}
}

// prewarmNext prefills the most popular history that is not yet stored for the version, at a lower
// priority than all requests, and exports it.
func (sm *simulation) prewarmNext(wk *worker, version int) {
	for sm.nextPrewarmRank < len(sm.wl.historiesByPopularity) && sm.now < simulatedTime {
		id := sm.wl.historiesByPopularity[sm.nextPrewarmRank]
		sm.nextPrewarmRank++
		tokens := floorToPieces(sm.initialTokens[id])
		key := id*1000 + version
		st := sm.storeOf(id)
		if tokens == 0 || st.histories.get(key) >= tokens {
			continue
		}
		sm.lastSerial++
		done := func(float64) {
			sm.stats.prewarmedTokens += float64(tokens)
			sm.enqueueTransfer(st.link, sm.policy.exportPriority(), float64(tokens)*bytesPerToken, func() { st.histories.put(key, tokens) })
			sm.prewarmNext(wk, version)
		}
		sm.enqueue(wk, &job{priority: prewarmPriority, serial: sm.lastSerial, remainingTokens: tokens, onDone: done, onLost: func(float64) {}})
		return
	}
}
