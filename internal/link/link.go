// Package link schedules transfers on the links of store hosts, across all entry hosts.
//
// Each link is owned by one of the entry hosts. Before a transfer moves a few pieces, it requests a turn
// from the owner. Turns are granted by priority, and each one occupies the link for the time that its bytes
// take, so that all hosts together stay within the budget of the link.
package link

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// TurnRequest is a request for a turn. It is repeated with the same ticket until the turn is granted.
	TurnRequest struct {
		Store    string  `json:"s"`
		Ticket   string  `json:"t"`
		Priority int     `json:"p"`
		Bytes    float64 `json:"b"`
		// ObservedRate is the rate that the requesting host observed last, in bytes/s; zero means unknown.
		ObservedRate float64 `json:"r,omitempty"`
	}

	// TurnResponse is the owner's reply to a request for a turn.
	TurnResponse struct {
		// Granted reports that the transfer may begin now.
		Granted bool `json:"y,omitempty"`
		// RetryAfter is the time after which to repeat the request.
		RetryAfter time.Duration `json:"w,omitempty"`
		// Rate is the owner's estimate of the link's rate, in bytes/s.
		Rate float64 `json:"r,omitempty"`
		// BytesAhead is the number of bytes that are sent before this transfer: those of the turn in progress
		// and of the tickets that go first.
		BytesAhead float64 `json:"a,omitempty"`
	}

	// BudgetFunc returns the budget of a store host's link, in bytes/s.
	BudgetFunc func(store string) float64

	// Scheduler schedules the links that this host owns. It is safe for concurrent use.
	Scheduler struct {
		clk    clock.Clock
		budget BudgetFunc

		mu    sync.Mutex
		links map[string]*linkState
	}

	// linkState holds the estimated rate of a link in bytes/s, the end of its last granted turn, and the
	// waiting requests by ticket. Serials number the tickets in the order of their arrival.
	linkState struct {
		rate       float64
		freeAt     time.Time
		waiting    map[string]queuedRequest
		lastSerial int
	}

	// queuedRequest is a waiting request for a turn with the time of its last repetition.
	queuedRequest struct {
		request     TurnRequest
		serial      int
		requestedAt time.Time
	}

	// Caller calls a method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// OwnerFinder finds the host that owns a name. An empty address means this host.
	OwnerFinder interface {
		OwnerOf(name string) (address string)
	}

	// Broker requests turns from the owners of links, and handles the requests for links that this host owns.
	// It is safe for concurrent use.
	Broker struct {
		clk       clock.Clock
		scheduler *Scheduler
		owners    OwnerFinder
		caller    Caller
	}
)

const (
	// MethodTurn is the name of the method that requests a turn from the owner of a link.
	MethodTurn = "link-turn"

	// minRetryAfter and maxRetryAfter bound the time after which a request for a turn is repeated.
	minRetryAfter = time.Millisecond
	maxRetryAfter = 50 * time.Millisecond
	// ticketTimeout is the time after which a ticket expires if its request is not repeated.
	ticketTimeout = 4 * maxRetryAfter
	// observedRateWeight is the weight of the newest observed rate in the moving average.
	observedRateWeight = 0.3
)

// NewScheduler returns a scheduler whose links are all idle.
func NewScheduler(clk clock.Clock, budget BudgetFunc) *Scheduler {
	return &Scheduler{clk: clk, budget: budget, links: make(map[string]*linkState)}
}

// RequestTurn grants a turn if the link is free and no other ticket goes first: tickets go in order of their
// priority number, lowest first, and of their arrival.
func (sr *Scheduler) RequestTurn(rq TurnRequest) TurnResponse {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	now := sr.clk.Now()
	st := sr.link(rq.Store)
	st.observeRate(rq.ObservedRate, sr.budget(rq.Store))
	own := st.enqueue(rq, now)
	res := TurnResponse{Rate: st.rate, BytesAhead: st.bytesAhead(own, now)}
	if now.Before(st.freeAt) || !st.isFirst(own) {
		res.RetryAfter = min(maxRetryAfter, max(minRetryAfter, st.freeAt.Sub(now)))
		return res
	}
	delete(st.waiting, rq.Ticket)
	st.freeAt = now.Add(time.Duration(rq.Bytes / st.rate * float64(time.Second)))
	res.Granted = true
	return res
}

// link returns the state of the link of a store host, which it creates on first use.
func (sr *Scheduler) link(store string) *linkState {
	st := sr.links[store]
	if st == nil {
		st = &linkState{rate: sr.budget(store), waiting: make(map[string]queuedRequest)}
		sr.links[store] = st
	}
	return st
}

// observeRate updates the moving average of the link's rate; an observed rate counts up to the budget.
func (st *linkState) observeRate(rate, budget float64) {
	if rate > 0 {
		st.rate += observedRateWeight * (min(rate, budget) - st.rate)
	}
}

// enqueue adds a request, or refreshes it if its ticket waits already, and drops expired tickets.
func (st *linkState) enqueue(rq TurnRequest, now time.Time) queuedRequest {
	own, ok := st.waiting[rq.Ticket]
	if !ok {
		st.lastSerial++
		own.serial = st.lastSerial
	}
	own.request, own.requestedAt = rq, now
	st.waiting[rq.Ticket] = own
	for ticket, qr := range st.waiting {
		if now.Sub(qr.requestedAt) > ticketTimeout {
			delete(st.waiting, ticket)
		}
	}
	return own
}

func (st *linkState) isFirst(own queuedRequest) bool {
	for _, qr := range st.waiting {
		if qr.isBefore(own) {
			return false
		}
	}
	return true
}

// bytesAhead returns the bytes left of the turn in progress and those of the tickets that go before own.
func (st *linkState) bytesAhead(own queuedRequest, now time.Time) float64 {
	sum := max(0, st.freeAt.Sub(now).Seconds()) * st.rate
	for _, qr := range st.waiting {
		if qr.isBefore(own) {
			sum += qr.request.Bytes
		}
	}
	return sum
}

// isBefore reports whether the request goes before the other one.
func (qr queuedRequest) isBefore(other queuedRequest) bool {
	if qr.request.Priority != other.request.Priority {
		return qr.request.Priority < other.request.Priority
	}
	return qr.serial < other.serial
}

// NewBroker returns a broker that schedules the links of this host with scheduler, and requests turns on
// other links from their owners through caller.
func NewBroker(clk clock.Clock, scheduler *Scheduler, owners OwnerFinder, caller Caller) *Broker {
	return &Broker{clk: clk, scheduler: scheduler, owners: owners, caller: caller}
}

// Wait waits for a turn. It fails if ctx ends before the turn is granted or if the call to the owner fails;
// the transfer must not begin then.
func (br *Broker) Wait(ctx context.Context, rq TurnRequest) (TurnResponse, error) {
	for {
		res, err := br.requestTurn(ctx, rq)
		if err != nil || res.Granted {
			return res, err
		}
		// Each observed rate is reported once.
		rq.ObservedRate = 0
		select {
		case <-ctx.Done():
			return res, ctx.Err()
		case <-br.clk.After(res.RetryAfter):
		}
	}
}

// HandleTurn handles the request of another host for a turn.
func (br *Broker) HandleTurn(_ context.Context, params json.RawMessage) (any, error) {
	var rq TurnRequest
	if err := json.Unmarshal(params, &rq); err != nil {
		return nil, errors.Wrap(err, "link: turn")
	}
	return br.scheduler.RequestTurn(rq), nil
}

func (br *Broker) requestTurn(ctx context.Context, rq TurnRequest) (TurnResponse, error) {
	address := br.owners.OwnerOf("link/" + rq.Store)
	if address == "" {
		return br.scheduler.RequestTurn(rq), nil
	}
	var res TurnResponse
	err := br.caller.Call(ctx, address, MethodTurn, rq, &res)
	return res, err
}
