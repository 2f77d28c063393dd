package routing

import (
	"container/heap"
	"container/list"
)

type (
	// worker is a fake engine: it reads in chunks by priority and keeps histories in memory.
	worker struct {
		name    string
		hash    uint64
		zone    int
		memory  *lru
		queue   jobHeap
		isBusy  bool
		running int
		// backlog is how many tokens wait to be read, by priority.
		backlog map[int]float64
		// upAt is when it serves again, coldUntil when its cold start ends.
		upAt      float64
		coldUntil float64
		epoch     int
		crashes   int
		isEarly   bool
		// placed is how many runs its owner has given a place to.
		placed int
	}

	// job is a request at a worker.
	job struct {
		rq       *request
		priority int
		serial   int
		left     int
		epoch    int
		done     func(now float64)
		lost     func(now float64)
	}

	jobHeap []*job

	// lru keeps how many tokens of which history fit in a space.
	lru struct {
		space int
		used  int
		order *list.List
		byKey map[int]*list.Element
	}

	lruItem struct {
		key    int
		tokens int
	}

	// link carries pieces, one after another at its rate, by priority.
	link struct {
		rate    float64
		queue   transferHeap
		isBusy  bool
		pending map[int]float64
		perSec  map[int]float64
		total   float64
	}

	// transfer is what is left of one import or export.
	transfer struct {
		priority int
		serial   int
		left     float64
		done     func()
	}

	transferHeap []*transfer

	// storeHost keeps histories behind a link.
	storeHost struct {
		name   string
		hash   uint64
		zone   int
		link   *link
		kept   *lru
		isDead bool
	}
)

// Len returns how many jobs wait.
func (jh jobHeap) Len() int { return len(jh) }

// Less orders jobs by priority and then by arrival.
func (jh jobHeap) Less(i, j int) bool {
	if jh[i].priority != jh[j].priority {
		return jh[i].priority < jh[j].priority
	}
	return jh[i].serial < jh[j].serial
}

// Swap swaps two jobs.
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

// ahead returns how many tokens are read before a new job of the priority.
func (wk *worker) ahead(priority int) float64 {
	sum := 0.0
	for p, tokens := range wk.backlog {
		if p <= priority {
			sum += tokens
		} else {
			// One chunk of a looser job may be under way.
			sum += min(tokens, chunkTokens) / 2
		}
	}
	return sum
}

func (wk *worker) outstanding() int {
	n := wk.running
	for _, jb := range wk.queue {
		if jb.rq != nil {
			n++
		}
	}
	return n
}

func (wk *worker) rate() float64 {
	return prefillRate / (1 + decodeLoad*float64(wk.running))
}

// enqueue adds a job and starts reading if the worker is idle.
func (sm *simulation) enqueue(wk *worker, jb *job) {
	jb.epoch = wk.epoch
	wk.backlog[jb.priority] += float64(jb.left)
	if wk.coldUntil > sm.now && jb.rq != nil && wk.outstanding() >= coldLimit {
		sm.crash(wk)
		jb.lost(sm.now)
		return
	}
	heap.Push(&wk.queue, jb)
	if !wk.isBusy {
		sm.readChunk(wk)
	}
}

func (sm *simulation) readChunk(wk *worker) {
	if wk.queue.Len() == 0 {
		wk.isBusy = false
		return
	}
	wk.isBusy = true
	jb := wk.queue[0]
	chunk := min(jb.left, chunkTokens)
	epoch := wk.epoch
	sm.after(float64(chunk)/wk.rate(), func() {
		if wk.epoch != epoch {
			return
		}
		jb.left -= chunk
		wk.backlog[jb.priority] -= float64(chunk)
		if jb.left <= 0 {
			for i := range wk.queue {
				if wk.queue[i] == jb {
					heap.Remove(&wk.queue, i)
					break
				}
			}
			jb.done(sm.now)
		}
		sm.readChunk(wk)
	})
}

// crash ends all work of a worker; it comes back cold and empty.
func (sm *simulation) crash(wk *worker) {
	wk.crashes++
	sm.restart(wk, crashTime)
	wk.coldUntil = wk.upAt + coldTime
}

func (sm *simulation) restart(wk *worker, away float64) {
	lost := wk.queue
	wk.queue = nil
	wk.epoch++
	wk.isBusy = false
	wk.running = 0
	wk.placed = 0
	wk.backlog = make(map[int]float64)
	wk.memory = newLRU(memoryTokens)
	wk.upAt = sm.now + away
	for _, jb := range lost {
		jb.lost(sm.now)
	}
}

func newLRU(space int) *lru {
	return &lru{space: space, order: list.New(), byKey: make(map[int]*list.Element)}
}

func (lu *lru) get(key int) int {
	el, ok := lu.byKey[key]
	if !ok {
		return 0
	}
	return item(el).tokens
}

func (lu *lru) touch(key int) {
	if el, ok := lu.byKey[key]; ok {
		lu.order.MoveToFront(el)
	}
}

func (lu *lru) put(key, tokens int) {
	if el, ok := lu.byKey[key]; ok {
		lu.used += tokens - item(el).tokens
		item(el).tokens = tokens
		lu.order.MoveToFront(el)
	} else {
		lu.byKey[key] = lu.order.PushFront(&lruItem{key: key, tokens: tokens})
		lu.used += tokens
	}
	for lu.used > lu.space && lu.order.Len() > 1 {
		last := lu.order.Back()
		lu.used -= item(last).tokens
		delete(lu.byKey, item(last).key)
		lu.order.Remove(last)
	}
}

func item(el *list.Element) *lruItem {
	it, ok := el.Value.(*lruItem)
	if !ok {
		return &lruItem{}
	}
	return it
}

// Len returns how many transfers wait.
func (th transferHeap) Len() int { return len(th) }

// Less orders transfers by priority and then by arrival.
func (th transferHeap) Less(i, j int) bool {
	if th[i].priority != th[j].priority {
		return th[i].priority < th[j].priority
	}
	return th[i].serial < th[j].serial
}

// Swap swaps two transfers.
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

// send queues a transfer; done is called at its end.
func (sm *simulation) send(lk *link, priority int, bytes float64, done func()) {
	sm.serial++
	lk.total += bytes
	lk.pending[priority] += bytes
	heap.Push(&lk.queue, &transfer{priority: priority, serial: sm.serial, left: bytes, done: done})
	if !lk.isBusy {
		sm.carry(lk)
	}
}

// carry carries the next piece.
func (sm *simulation) carry(lk *link) {
	if lk.queue.Len() == 0 {
		lk.isBusy = false
		return
	}
	lk.isBusy = true
	tr := lk.queue[0]
	bytes := min(tr.left, pieceTokens*bytesPerToken)
	took := bytes / lk.rate
	for at := sm.now; at < sm.now+took; {
		end := min(sm.now+took, float64(int(at)+1))
		lk.perSec[int(at)] += (end - at) * lk.rate
		at = end
	}
	sm.after(took, func() {
		tr.left -= bytes
		lk.pending[tr.priority] -= bytes
		if tr.left <= 0 {
			for i := range lk.queue {
				if lk.queue[i] == tr {
					heap.Remove(&lk.queue, i)
					break
				}
			}
			tr.done()
		}
		sm.carry(lk)
	})
}

// ahead returns how many bytes go before a new transfer of the priority.
func (lk *link) ahead(priority int) float64 {
	sum := 0.0
	for p, bytes := range lk.pending {
		if p <= priority {
			sum += bytes
		} else {
			sum += min(bytes, pieceTokens*bytesPerToken) / 2
		}
	}
	return sum
}
