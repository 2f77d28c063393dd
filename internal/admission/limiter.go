// Package admission limits the requests that a host serves at a time, and shares the permits between
// classes and teams.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

type (
	// Request describes a request for one permit.
	Request struct {
		// Class is the class of the request; each class has its own queue.
		Class string
		// Priority orders classes; the lowest number goes first.
		Priority int
		// Team is the team that the permit counts for.
		Team string
		// Weight is the team's fair share relative to others; zero means 1.
		Weight float64
		// QueueLimit is the maximum number of waiting requests of the class.
		QueueLimit int
		// MaxWait is the maximum wait.
		MaxWait time.Duration
	}

	// Limiter grants permits up to its capacity and queues further requests. It is safe for concurrent use.
	Limiter struct {
		clk      clock.Clock
		capacity int

		mu            sync.Mutex
		running       int
		runningByTeam map[string]int
		queues        map[string][]*waiter
	}

	// waiter is a queued request; granted is closed when it gets its permit.
	waiter struct {
		req      Request
		queuedAt time.Time
		granted  chan struct{}
	}
)

// agingInterval is the wait that raises a request by one priority, so that classes of low priority are
// not starved.
const agingInterval = 2 * time.Second

// NewLimiter returns a limiter that grants at most capacity permits at a time.
func NewLimiter(clk clock.Clock, capacity int) *Limiter {
	return &Limiter{clk: clk, capacity: capacity, runningByTeam: make(map[string]int), queues: make(map[string][]*waiter)}
}

// Running returns the number of permits in use.
func (li *Limiter) Running() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.running
}

// Acquire waits for a permit and returns the function that releases it, to be called once. It fails with a
// *refusal.Error if the queue of the class is full, the team fills half of it, the wait exceeds
// req.MaxWait, or ctx ends.
func (li *Limiter) Acquire(ctx context.Context, req Request) (func(), error) {
	if req.Weight == 0 {
		req.Weight = 1
	}
	wt, err := li.enqueue(req)
	if err != nil {
		return nil, err
	}
	select {
	case <-wt.granted:
		return func() { li.release(req) }, nil
	default:
	}
	select {
	case <-wt.granted:
		return func() { li.release(req) }, nil
	case <-li.clk.After(req.MaxWait):
		err = refusal.New(refusal.QueueDeadline, "no place within %v", req.MaxWait).WithRetryAfter(req.MaxWait)
	case <-ctx.Done():
		err = refusal.New(refusal.QueueDeadline, "the caller left the queue")
	}
	if li.cancelWait(wt) {
		return nil, err
	}
	return func() { li.release(req) }, nil
}

// enqueue grants a permit at once if one is free and no request of the class waits, and queues the
// request otherwise.
func (li *Limiter) enqueue(req Request) (*waiter, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	wt := &waiter{req: req, queuedAt: li.clk.Now(), granted: make(chan struct{})}
	queue := li.queues[req.Class]
	if li.running < li.capacity && len(queue) == 0 {
		li.grant(wt)
		return wt, nil
	}
	if len(queue) >= req.QueueLimit {
		return nil, refusal.New(refusal.QueueFull, "class %s has %d waiting requests", req.Class, len(queue)).
			WithRetryAfter(req.MaxWait)
	}
	waitingOfTeam := 0
	for _, other := range queue {
		if other.req.Team == req.Team {
			waitingOfTeam++
		}
	}
	if waitingOfTeam > 0 && waitingOfTeam >= (req.QueueLimit+1)/2 {
		return nil, refusal.New(refusal.TeamLimit, "the team has %d waiting requests in class %s", waitingOfTeam, req.Class).
			WithRetryAfter(req.MaxWait)
	}
	li.queues[req.Class] = append(queue, wt)
	return wt, nil
}

func (li *Limiter) release(req Request) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.running--
	li.runningByTeam[req.Team]--
	if li.runningByTeam[req.Team] == 0 {
		delete(li.runningByTeam, req.Team)
	}
	for li.running < li.capacity {
		wt := li.nextWaiter()
		if wt == nil {
			return
		}
		li.dequeue(wt)
		li.grant(wt)
	}
}

func (li *Limiter) grant(wt *waiter) {
	li.running++
	li.runningByTeam[wt.req.Team]++
	close(wt.granted)
}

// nextWaiter returns the waiter that gets the next permit, nil if none waits: the one with the lowest
// priority number after aging and, among equals, of the team with the fewest permits for its weight.
func (li *Limiter) nextWaiter() *waiter {
	now := li.clk.Now()
	var best *waiter
	for _, queue := range li.queues {
		for _, wt := range queue {
			if best == nil || li.precedes(wt, best, now) {
				best = wt
			}
		}
	}
	return best
}

// precedes reports whether a gets a permit before b.
func (li *Limiter) precedes(a, b *waiter, now time.Time) bool {
	prioA, prioB := a.effectivePriority(now), b.effectivePriority(now)
	if prioA != prioB {
		return prioA < prioB
	}
	shareA := float64(li.runningByTeam[a.req.Team]) / a.req.Weight
	shareB := float64(li.runningByTeam[b.req.Team]) / b.req.Weight
	if shareA != shareB {
		return shareA < shareB
	}
	return a.queuedAt.Before(b.queuedAt)
}

// cancelWait removes a waiter from its queue. It reports false if the waiter already has a permit.
func (li *Limiter) cancelWait(wt *waiter) bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	select {
	case <-wt.granted:
		return false
	default:
	}
	li.dequeue(wt)
	return true
}

func (li *Limiter) dequeue(wt *waiter) {
	queue := li.queues[wt.req.Class]
	for i, other := range queue {
		if other == wt {
			li.queues[wt.req.Class] = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

// effectivePriority returns the priority after aging.
func (wt *waiter) effectivePriority(now time.Time) int {
	return wt.req.Priority - int(now.Sub(wt.queuedAt)/agingInterval)
}
