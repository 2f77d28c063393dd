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
	// memory keeps the names of the pieces that are in accelerator memory, the last used first.
	memory struct {
		capacity int
		order    *list.List
		byName   map[string]*list.Element
	}

	// prefillQueue reads one prompt at a time, in the order of priority.
	prefillQueue struct {
		clk  clock.Clock
		rate float64

		mu      sync.Mutex
		isBusy  bool
		waiting turnHeap
		serial  int
		tokens  int
	}

	turn struct {
		priority int
		serial   int
		ready    chan struct{}
	}

	turnHeap []*turn
)

func newMemory(capacity int) *memory {
	return &memory{capacity: capacity, order: list.New(), byName: make(map[string]*list.Element)}
}

// prefix returns how many names from the first on are in memory.
func (me *memory) prefix(names []string) int {
	for i, name := range names {
		el, ok := me.byName[name]
		if !ok {
			return i
		}
		me.order.MoveToFront(el)
	}
	return len(names)
}

func (me *memory) put(name string) {
	if el, ok := me.byName[name]; ok {
		me.order.MoveToFront(el)
		return
	}
	me.byName[name] = me.order.PushFront(name)
	for me.order.Len() > me.capacity {
		last := me.order.Back()
		if key, ok := last.Value.(string); ok {
			delete(me.byName, key)
		}
		me.order.Remove(last)
	}
}

func newPrefillQueue(clk clock.Clock, rate float64) *prefillQueue {
	return &prefillQueue{clk: clk, rate: rate}
}

// read waits for its turn and then as long as reading takes.
func (pq *prefillQueue) read(ctx context.Context, tokens, priority int) error {
	pq.mu.Lock()
	pq.tokens += tokens
	tn := &turn{priority: priority, serial: pq.serial, ready: make(chan struct{})}
	pq.serial++
	if pq.isBusy {
		heap.Push(&pq.waiting, tn)
	} else {
		pq.isBusy = true
		close(tn.ready)
	}
	pq.mu.Unlock()
	<-tn.ready
	took := time.Duration(float64(tokens) / pq.rate * float64(time.Second))
	select {
	case <-ctx.Done():
	case <-pq.clk.After(took):
	}
	pq.mu.Lock()
	defer pq.mu.Unlock()
	pq.tokens -= tokens
	pq.isBusy = false
	if pq.waiting.Len() > 0 {
		pq.isBusy = true
		if next, ok := heap.Pop(&pq.waiting).(*turn); ok {
			close(next.ready)
		}
	}
	return ctx.Err()
}

func (pq *prefillQueue) queued() int {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	return pq.tokens
}

// Len returns how many turns wait.
func (th turnHeap) Len() int { return len(th) }

// Less orders turns by priority and then by arrival.
func (th turnHeap) Less(i, j int) bool {
	if th[i].priority != th[j].priority {
		return th[i].priority < th[j].priority
	}
	return th[i].serial < th[j].serial
}

// Swap swaps two turns.
func (th turnHeap) Swap(i, j int) { th[i], th[j] = th[j], th[i] }

// Push adds a turn.
func (th *turnHeap) Push(x any) {
	if tn, ok := x.(*turn); ok {
		*th = append(*th, tn)
	}
}

// Pop removes the last turn.
func (th *turnHeap) Pop() any {
	old := *th
	last := old[len(old)-1]
	*th = old[:len(old)-1]
	return last
}
