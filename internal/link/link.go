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
	// Ask is a request for a turn. It is repeated with the same ticket until the turn is granted.
	Ask struct {
		Store    string  `json:"s"`
		Ticket   string  `json:"t"`
		Priority int     `json:"p"`
		Bytes    float64 `json:"b"`
		// Seen is the rate that the requesting host observed last, in bytes/s; zero means unknown.
		Seen float64 `json:"r,omitempty"`
	}

	// Answer is the owner's reply to a request for a turn.
	Answer struct {
		// IsTurn reports that the transfer may begin now.
		IsTurn bool `json:"y,omitempty"`
		// Wait is the time after which to repeat the request.
		Wait time.Duration `json:"w,omitempty"`
		// Rate is the owner's estimate of the link's rate, in bytes/s.
		Rate float64 `json:"r,omitempty"`
		// Ahead is the number of bytes that are sent before a new transfer of the same priority.
		Ahead float64 `json:"a,omitempty"`
	}

	// BudgetOf returns the budget of a store host's link, in bytes/s.
	BudgetOf func(store string) float64

	// Table schedules the links that this host owns. It is safe for concurrent use.
	Table struct {
		clk    clock.Clock
		budget BudgetOf

		mu    sync.Mutex
		links map[string]*linkState
	}

	linkState struct {
		rate       float64
		freeAt     time.Time
		waiting    map[string]queuedRequest
		lastSerial int
	}

	queuedRequest struct {
		request Ask
		serial  int
		askedAt time.Time
	}

	// Caller calls a method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Owners finds the host that owns a name. An empty address means this host.
	Owners interface {
		OwnerOf(name string) (address string)
	}

	// Desk requests turns from the owners of links, and handles the requests for links that this host owns. It
	// is safe for concurrent use.
	Desk struct {
		clk    clock.Clock
		table  *Table
		owners Owners
		caller Caller
	}
)

const (
	// MethodTurn is the name of the method that requests a turn from the owner of a link.
	MethodTurn = "link-turn"

	// minWait and maxWait bound the time after which a request for a turn is repeated.
	minWait = time.Millisecond
	maxWait = 50 * time.Millisecond
	// ticketTimeout is the time after which a ticket expires that is not requested again.
	ticketTimeout = 4 * maxWait
	// observedRateWeight is the weight of the newest observed rate in the moving average.
	observedRateWeight = 0.3
)

// NewTable starts with all links idle.
func NewTable(clk clock.Clock, budget BudgetOf) *Table {
	return &Table{clk: clk, budget: budget, links: make(map[string]*linkState)}
}

// Turn grants a turn if the link is free and no other ticket goes first: tickets go in order of their
// priority number, lowest first, and of their arrival.
func (tb *Table) Turn(rq Ask) Answer {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	st := tb.linkState(rq.Store)
	st.observeRate(rq.Seen, tb.budget(rq.Store))
	own := st.enqueue(rq, now)
	rp := Answer{Rate: st.rate, Ahead: st.bytesAhead(own, now)}
	if now.Before(st.freeAt) || !st.isFirst(own) {
		rp.Wait = min(maxWait, max(minWait, st.freeAt.Sub(now)))
		return rp
	}
	delete(st.waiting, rq.Ticket)
	st.freeAt = now.Add(time.Duration(rq.Bytes / st.rate * float64(time.Second)))
	rp.IsTurn = true
	return rp
}

func (tb *Table) linkState(store string) *linkState {
	st := tb.links[store]
	if st == nil {
		st = &linkState{rate: tb.budget(store), waiting: make(map[string]queuedRequest)}
		tb.links[store] = st
	}
	return st
}

func (st *linkState) observeRate(rate, budget float64) {
	if rate > 0 {
		st.rate += observedRateWeight * (min(rate, budget) - st.rate)
	}
}

func (st *linkState) enqueue(rq Ask, now time.Time) queuedRequest {
	own, ok := st.waiting[rq.Ticket]
	if !ok {
		st.lastSerial++
		own.serial = st.lastSerial
	}
	own.request, own.askedAt = rq, now
	st.waiting[rq.Ticket] = own
	for name, qr := range st.waiting {
		if now.Sub(qr.askedAt) > ticketTimeout {
			delete(st.waiting, name)
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

func (st *linkState) bytesAhead(own queuedRequest, now time.Time) float64 {
	sum := max(0, st.freeAt.Sub(now).Seconds()) * st.rate
	for _, qr := range st.waiting {
		if qr.isBefore(own) {
			sum += qr.request.Bytes
		}
	}
	return sum
}

func (qr queuedRequest) isBefore(other queuedRequest) bool {
	if qr.request.Priority != other.request.Priority {
		return qr.request.Priority < other.request.Priority
	}
	return qr.serial < other.serial
}

// NewDesk combines the links that this host owns, in table, with those of other hosts.
func NewDesk(clk clock.Clock, table *Table, owners Owners, caller Caller) *Desk {
	return &Desk{clk: clk, table: table, owners: owners, caller: caller}
}

// Wait waits for a turn. It returns an error if ctx ends before the turn is granted or the call to the owner
// fails; the transfer must not begin then.
func (dk *Desk) Wait(ctx context.Context, rq Ask) (Answer, error) {
	for {
		rp, err := dk.requestTurn(ctx, rq)
		if err != nil || rp.IsTurn {
			return rp, err
		}
		// Each observed rate is reported once.
		rq.Seen = 0
		select {
		case <-ctx.Done():
			return rp, ctx.Err()
		case <-dk.clk.After(rp.Wait):
		}
	}
}

// HandleTurn handles the request of another host for a turn.
func (dk *Desk) HandleTurn(_ context.Context, params json.RawMessage) (any, error) {
	var rq Ask
	if err := json.Unmarshal(params, &rq); err != nil {
		return nil, errors.Wrap(err, "link: turn")
	}
	return dk.table.Turn(rq), nil
}

func (dk *Desk) requestTurn(ctx context.Context, rq Ask) (Answer, error) {
	address := dk.owners.OwnerOf("link/" + rq.Store)
	if address == "" {
		return dk.table.Turn(rq), nil
	}
	var rp Answer
	err := dk.caller.Call(ctx, address, MethodTurn, rq, &rp)
	return rp, err
}
