package routing

import (
	"container/heap"
	"container/list"
)

type (
	// worker is a simulated engine. It prefills in chunks by priority and keeps the KV cache of histories.
	worker struct {
		name           string
		hash           uint64
		zone           int
		cache          *lru
		queue          jobHeap
		isPrefilling   bool
		runningAnswers int
		// backlogTokens is the number of tokens to prefill, by priority.
		backlogTokens map[int]float64
		// availableAt is when the worker serves again after a restart, and coldUntil when its cold start
		// ends.
		availableAt float64
		coldUntil   float64
		// epoch counts the restarts. Callbacks of an earlier epoch are ignored.
		epoch        int
		crashes      int
		isPrewarming bool
		// grantedSlots is the number of slots that the owner of the endpoint has granted.
		grantedSlots int
	}

	// job is the prefill of a part of a request, or of a history to prewarm, in which case rq is nil.
	job struct {
		rq              *request
		priority        int
		serial          int
		remainingTokens int
		epoch           int
		onDone          func(now float64)
		onLost          func(now float64)
	}

	jobHeap []*job

	// lru is a least-recently-used cache of histories, bounded by their total number of tokens.
	lru struct {
		capacityTokens int
		usedTokens     int
		order          *list.List
		byKey          map[int]*list.Element
	}

	lruItem struct {
		key    int
		tokens int
	}

	// link transfers one piece at a time at its rate, in bytes/s, by priority.
	link struct {
		rate           float64
		queue          transferHeap
		isTransferring bool
		pendingBytes   map[int]float64
		bytesBySecond  map[int]float64
		totalBytes     float64
	}

	// transfer is an import or export in progress.
	transfer struct {
		priority       int
		serial         int
		remainingBytes float64
		onDone         func()
	}

	transferHeap []*transfer

	// storeHost is a cache store, which is reached over its link.
	storeHost struct {
		name      string
		hash      uint64
		zone      int
		link      *link
		histories *lru
		isDead    bool
	}
)

// Len returns the number of waiting jobs.
func (jh jobHeap) Len() int { return len(jh) }

// Less orders jobs by priority and then by arrival.
func (jh jobHeap) Less(i, j int) bool {
	if jh[i].priority != jh[j].priority {
		return jh[i].priority < jh[j].priority
	}
	return jh[i].serial < jh[j].serial
}

// Swap exchanges two jobs.
func (jh jobHeap) Swap(i, j int) { jh[i], jh[j] = jh[j], jh[i] }

// Push adds a job.
func (jh *jobHeap) Push(x any) {
	if jb, ok := x.(*job); ok {
		*jh = append(*jh, jb)
	}
}

// Pop removes the last job.
func (jh *jobHeap) Pop() any {
	old := *jh
	last := old[len(old)-1]
	*jh = old[:len(old)-1]
	return last
}

// tokensAhead returns the expected number of tokens that are prefilled before a new job of the
// priority.
func (wk *worker) tokensAhead(priority int) float64 {
	sum := 0.0
	for p, tokens := range wk.backlogTokens {
		if p <= priority {
			sum += tokens
		} else {
			// A chunk of a job of lower priority may be in progress; half of it remains on average.
			sum += min(tokens, chunkTokens) / 2
		}
	}
	return sum
}

// outstandingRequests returns the number of requests that wait for prefill or generate an answer.
func (wk *worker) outstandingRequests() int {
	n := wk.runningAnswers
	for _, jb := range wk.queue {
		if jb.rq != nil {
			n++
		}
	}
	return n
}

// currentPrefillRate returns the prefill speed next to the running answers, in tokens/s.
func (wk *worker) currentPrefillRate() float64 {
	return prefillRate / (1 + decodeSlowdown*float64(wk.runningAnswers))
}

// enqueue adds a job and starts prefilling if the worker is idle. A request above the limit of a cold
// worker crashes it.
func (sm *simulation) enqueue(wk *worker, jb *job) {
	jb.epoch = wk.epoch
	wk.backlogTokens[jb.priority] += float64(jb.remainingTokens)
	if wk.coldUntil > sm.now && jb.rq != nil && wk.outstandingRequests() >= coldRequestLimit {
		sm.crash(wk)
		jb.onLost(sm.now)
		return
	}
	heap.Push(&wk.queue, jb)
	if !wk.isPrefilling {
		sm.prefillChunk(wk)
	}
}

// prefillChunk prefills one chunk of the first job in the queue and then continues with the next.
func (sm *simulation) prefillChunk(wk *worker) {
	if wk.queue.Len() == 0 {
		wk.isPrefilling = false
		return
	}
	wk.isPrefilling = true
	jb := wk.queue[0]
	chunk := min(jb.remainingTokens, chunkTokens)
	epoch := wk.epoch
	sm.after(float64(chunk)/wk.currentPrefillRate(), func() {
		if wk.epoch != epoch {
			return
		}
		jb.remainingTokens -= chunk
		wk.backlogTokens[jb.priority] -= float64(chunk)
		if jb.remainingTokens <= 0 {
			for i := range wk.queue {
				if wk.queue[i] == jb {
					heap.Remove(&wk.queue, i)
					break
				}
			}
			jb.onDone(sm.now)
		}
		sm.prefillChunk(wk)
	})
}

// crash ends all jobs of a worker. After crashDowntime it serves again, cold and with an empty cache.
func (sm *simulation) crash(wk *worker) {
	wk.crashes++
	sm.restart(wk, crashDowntime)
	wk.coldUntil = wk.availableAt + coldTime
}

// restart clears the state of a worker, fails its jobs, and makes it available after the downtime in
// seconds.
func (sm *simulation) restart(wk *worker, downtime float64) {
	lostJobs := wk.queue
	wk.queue = nil
	wk.epoch++
	wk.isPrefilling = false
	wk.runningAnswers = 0
	wk.grantedSlots = 0
	wk.backlogTokens = make(map[int]float64)
	wk.cache = newLRU(cacheTokens)
	wk.availableAt = sm.now + downtime
	for _, jb := range lostJobs {
		jb.onLost(sm.now)
	}
}

func newLRU(capacityTokens int) *lru {
	return &lru{capacityTokens: capacityTokens, order: list.New(), byKey: make(map[int]*list.Element)}
}

// get returns the number of tokens that are cached for a key, and does not mark it as used.
func (lu *lru) get(key int) int {
	el, ok := lu.byKey[key]
	if !ok {
		return 0
	}
	return itemOf(el).tokens
}

// touch marks a key as used.
func (lu *lru) touch(key int) {
	if el, ok := lu.byKey[key]; ok {
		lu.order.MoveToFront(el)
	}
}

// put caches a number of tokens for a key, and evicts the least recently used keys over capacity. The last remaining
// key is never evicted.
func (lu *lru) put(key, tokens int) {
	if el, ok := lu.byKey[key]; ok {
		lu.usedTokens += tokens - itemOf(el).tokens
		itemOf(el).tokens = tokens
		lu.order.MoveToFront(el)
	} else {
		lu.byKey[key] = lu.order.PushFront(&lruItem{key: key, tokens: tokens})
		lu.usedTokens += tokens
	}
	for lu.usedTokens > lu.capacityTokens && lu.order.Len() > 1 {
		last := lu.order.Back()
		lu.usedTokens -= itemOf(last).tokens
		delete(lu.byKey, itemOf(last).key)
		lu.order.Remove(last)
	}
}

func itemOf(el *list.Element) *lruItem {
	it, ok := el.Value.(*lruItem)
	if !ok {
		return &lruItem{}
	}
	return it
}

// Len returns the number of waiting transfers.
func (th transferHeap) Len() int { return len(th) }

// Less orders transfers by priority and then by arrival.
func (th transferHeap) Less(i, j int) bool {
	if th[i].priority != th[j].priority {
		return th[i].priority < th[j].priority
	}
	return th[i].serial < th[j].serial
}

// Swap exchanges two transfers.
func (th transferHeap) Swap(i, j int) { th[i], th[j] = th[j], th[i] }

// Push adds a transfer.
func (th *transferHeap) Push(x any) {
	if tr, ok := x.(*transfer); ok {
		*th = append(*th, tr)
	}
}

// Pop removes the last transfer.
func (th *transferHeap) Pop() any {
	old := *th
	last := old[len(old)-1]
	*th = old[:len(old)-1]
	return last
}

// enqueueTransfer adds a transfer to a link and calls onDone when it has ended.
func (sm *simulation) enqueueTransfer(lk *link, priority int, bytes float64, onDone func()) {
	sm.lastSerial++
	lk.totalBytes += bytes
	lk.pendingBytes[priority] += bytes
	heap.Push(&lk.queue, &transfer{priority: priority, serial: sm.lastSerial, remainingBytes: bytes, onDone: onDone})
	if !lk.isTransferring {
		sm.transferPiece(lk)
	}
}

// transferPiece transfers one piece of the first transfer in the queue and then continues with the next.
func (sm *simulation) transferPiece(lk *link) {
	if lk.queue.Len() == 0 {
		lk.isTransferring = false
		return
	}
	lk.isTransferring = true
	tr := lk.queue[0]
	bytes := min(tr.remainingBytes, pieceTokens*bytesPerToken)
	transferTime := bytes / lk.rate
	for at := sm.now; at < sm.now+transferTime; {
		end := min(sm.now+transferTime, float64(int(at)+1))
		lk.bytesBySecond[int(at)] += (end - at) * lk.rate
		at = end
	}
	sm.after(transferTime, func() {
		tr.remainingBytes -= bytes
		lk.pendingBytes[tr.priority] -= bytes
		if tr.remainingBytes <= 0 {
			for i := range lk.queue {
				if lk.queue[i] == tr {
					heap.Remove(&lk.queue, i)
					break
				}
			}
			tr.onDone()
		}
		sm.transferPiece(lk)
	})
}

// bytesAhead returns the expected number of bytes that are transferred before a new transfer of the
// priority.
func (lk *link) bytesAhead(priority int) float64 {
	sum := 0.0
	for p, bytes := range lk.pendingBytes {
		if p <= priority {
			sum += bytes
		} else {
			sum += min(bytes, pieceTokens*bytesPerToken) / 2
		}
	}
	return sum
}
