package modelengine

import (
	"container/heap"
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// pieceCache is an LRU cache of the names of the pieces in accelerator memory.
	pieceCache struct {
		capacity int
		lru      *list.List
		byName   map[string]*list.Element
	}

	// prefillQueue runs one prefill at a time, ordered by priority and then by arrival.
	prefillQueue struct {
		clk  clock.Clock
		rate float64

		mu            sync.Mutex
		isBusy        bool
		waiting       waiterHeap
		nextArrival   int
		pendingTokens int
	}

	waiter struct {
		priority int
		arrival  int
		ready    chan struct{}
	}

	waiterHeap []*waiter
)

func newPieceCache(capacity int) *pieceCache {
	return &pieceCache{capacity: capacity, lru: list.New(), byName: make(map[string]*list.Element)}
}

// cachedPrefix returns the number of leading names that are in the cache, and marks them as used.
func (ca *pieceCache) cachedPrefix(names []string) int {
	for i, name := range names {
		el, ok := ca.byName[name]
		if !ok {
			return i
		}
		ca.lru.MoveToFront(el)
	}
	return len(names)
}

// add inserts name or marks it as used, and evicts the least recently used names over capacity.
func (ca *pieceCache) add(name string) {
	if el, ok := ca.byName[name]; ok {
		ca.lru.MoveToFront(el)
		return
	}
	ca.byName[name] = ca.lru.PushFront(name)
	for ca.lru.Len() > ca.capacity {
		last := ca.lru.Back()
		if key, ok := last.Value.(string); ok {
			delete(ca.byName, key)
		}
		ca.lru.Remove(last)
	}
}

func newPrefillQueue(clk clock.Clock, rate float64) *prefillQueue {
	return &prefillQueue{clk: clk, rate: rate}
}

// prefill waits for its turn in the queue, even if ctx ends, and then until the prefill is complete or ctx ends.
func (pq *prefillQueue) prefill(ctx context.Context, tokens, priority int) error {
	pq.mu.Lock()
	pq.pendingTokens += tokens
	wt := &waiter{priority: priority, arrival: pq.nextArrival, ready: make(chan struct{})}
	pq.nextArrival++
	if pq.isBusy {
		heap.Push(&pq.waiting, wt)
	} else {
		pq.isBusy = true
		close(wt.ready)
	}
	pq.mu.Unlock()
	<-wt.ready
	prefillTime := time.Duration(float64(tokens) / pq.rate * float64(time.Second))
	select {
	case <-ctx.Done():
	case <-pq.clk.After(prefillTime):
	}
	pq.mu.Lock()
	defer pq.mu.Unlock()
	pq.pendingTokens -= tokens
	pq.isBusy = false
	if pq.waiting.Len() > 0 {
		pq.isBusy = true
		if next, ok := heap.Pop(&pq.waiting).(*waiter); ok {
			close(next.ready)
		}
	}
	return ctx.Err()
}

// queuedTokens returns the number of tokens of all waiting prefills and the running one.
func (pq *prefillQueue) queuedTokens() int {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	return pq.pendingTokens
}

// Len returns the number of waiters.
func (wh waiterHeap) Len() int { return len(wh) }

// Less orders waiters by priority and then by arrival.
func (wh waiterHeap) Less(i, j int) bool {
	if wh[i].priority != wh[j].priority {
		return wh[i].priority < wh[j].priority
	}
	return wh[i].arrival < wh[j].arrival
}

// Swap swaps two waiters.
func (wh waiterHeap) Swap(i, j int) { wh[i], wh[j] = wh[j], wh[i] }

// Push appends a waiter.
func (wh *waiterHeap) Push(x any) {
	if wt, ok := x.(*waiter); ok {
		*wh = append(*wh, wt)
	}
}

// Pop removes and returns the last waiter.
func (wh *waiterHeap) Pop() any {
	old := *wh
	last := old[len(old)-1]
	*wh = old[:len(old)-1]
	return last
}
