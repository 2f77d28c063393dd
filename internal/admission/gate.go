// Package admission bounds how many requests a host serves at a time and shares the places
// between classes and teams.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

type (
	// Request asks for one place.
	Request struct {
		// Class is the class of work.
		Class string
		// Priority orders classes; a lower number goes first.
		Priority int
		// Team is the customer.
		Team string
		// Weight is the team's fair share relative to others; zero means 1.
		Weight float64
		// QueueLimit is the most requests of the class that wait.
		QueueLimit int
		// Patience is the longest wait.
		Patience time.Duration
	}

	// Gate hands out places. It is safe for concurrent use.
	Gate struct {
		clk      clock.Clock
		capacity int

		mu      sync.Mutex
		running int
		byTeam  map[string]int
		queues  map[string][]*waiter
	}

	waiter struct {
		req    Request
		since  time.Time
		placed chan struct{}
	}
)

// agingStep is the wait that lifts a request by one priority, so that a loose class is served too.
const agingStep = 2 * time.Second

// NewGate returns a gate with the given number of places.
func NewGate(clk clock.Clock, capacity int) *Gate {
	return &Gate{clk: clk, capacity: capacity, byTeam: make(map[string]int), queues: make(map[string][]*waiter)}
}

// Running returns how many places are taken.
func (ga *Gate) Running() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.running
}

// Enter waits for a place and returns the function that gives it back, to be called once. A
// refusal is a *refusal.Error: the class's queue is full, the team has more than half of it, or
// the wait passed the request's patience.
func (ga *Gate) Enter(ctx context.Context, req Request) (func(), error) {
	if req.Weight == 0 {
		req.Weight = 1
	}
	wt, err := ga.enqueue(req)
	if err != nil {
		return nil, err
	}
	select {
	case <-wt.placed:
		return func() { ga.leave(req) }, nil
	default:
	}
	select {
	case <-wt.placed:
		return func() { ga.leave(req) }, nil
	case <-ga.clk.After(req.Patience):
		err = refusal.New(refusal.QueueDeadline, "no place within %v", req.Patience).WithRetryAfter(req.Patience)
	case <-ctx.Done():
		err = refusal.New(refusal.QueueDeadline, "the caller left the queue")
	}
	if ga.withdraw(wt) {
		return nil, err
	}
	return func() { ga.leave(req) }, nil
}

func (ga *Gate) enqueue(req Request) (*waiter, error) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	wt := &waiter{req: req, since: ga.clk.Now(), placed: make(chan struct{})}
	queue := ga.queues[req.Class]
	if ga.running < ga.capacity && len(queue) == 0 {
		ga.place(wt)
		return wt, nil
	}
	if len(queue) >= req.QueueLimit {
		return nil, refusal.New(refusal.QueueFull, "class %s has %d waiting requests", req.Class, len(queue)).
			WithRetryAfter(req.Patience)
	}
	own := 0
	for _, other := range queue {
		if other.req.Team == req.Team {
			own++
		}
	}
	if own > 0 && own >= (req.QueueLimit+1)/2 {
		return nil, refusal.New(refusal.TeamLimit, "the team has %d waiting requests in class %s", own, req.Class).
			WithRetryAfter(req.Patience)
	}
	ga.queues[req.Class] = append(queue, wt)
	return wt, nil
}

func (ga *Gate) leave(req Request) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.running--
	ga.byTeam[req.Team]--
	if ga.byTeam[req.Team] == 0 {
		delete(ga.byTeam, req.Team)
	}
	for ga.running < ga.capacity {
		wt := ga.next()
		if wt == nil {
			return
		}
		ga.remove(wt)
		ga.place(wt)
	}
}

func (ga *Gate) place(wt *waiter) {
	ga.running++
	ga.byTeam[wt.req.Team]++
	close(wt.placed)
}

// next returns the waiter to place: the class with the lowest priority after aging, and in it
// the team with the fewest places for its weight.
func (ga *Gate) next() *waiter {
	now := ga.clk.Now()
	var best *waiter
	for _, queue := range ga.queues {
		for _, wt := range queue {
			if best == nil || ga.isBefore(wt, best, now) {
				best = wt
			}
		}
	}
	return best
}

func (ga *Gate) isBefore(a, b *waiter, now time.Time) bool {
	pa, pb := a.urgency(now), b.urgency(now)
	if pa != pb {
		return pa < pb
	}
	sa := float64(ga.byTeam[a.req.Team]) / a.req.Weight
	sb := float64(ga.byTeam[b.req.Team]) / b.req.Weight
	if sa != sb {
		return sa < sb
	}
	return a.since.Before(b.since)
}

func (ga *Gate) withdraw(wt *waiter) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	select {
	case <-wt.placed:
		return false
	default:
	}
	ga.remove(wt)
	return true
}

func (ga *Gate) remove(wt *waiter) {
	queue := ga.queues[wt.req.Class]
	for i, other := range queue {
		if other == wt {
			ga.queues[wt.req.Class] = append(queue[:i:i], queue[i+1:]...)
			return
		}
	}
}

func (wt *waiter) urgency(now time.Time) int {
	return wt.req.Priority - int(now.Sub(wt.since)/agingStep)
}
