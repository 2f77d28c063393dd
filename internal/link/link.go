// Package link gives out turns on the links of store hosts, over all entry hosts together.
//
// Each store host's link has one owner among the entry hosts. A transfer asks the owner for a turn
// before it moves a few pieces. Turns go by priority, and each one occupies the link as long as
// its bytes take, so the sum of all hosts stays inside the budget.
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
	// Ask asks for a turn. The same ticket is asked for again until its turn comes.
	Ask struct {
		Store    string  `json:"s"`
		Ticket   string  `json:"t"`
		Priority int     `json:"p"`
		Bytes    float64 `json:"b"`
		// Seen is the rate that the asking host last saw, in bytes/s; zero means unknown.
		Seen float64 `json:"r,omitempty"`
	}

	// Answer is the owner's answer.
	Answer struct {
		// IsTurn means that the transfer may begin now.
		IsTurn bool `json:"y,omitempty"`
		// Wait is after how long to ask again.
		Wait time.Duration `json:"w,omitempty"`
		// Rate is the owner's estimate of the link, in bytes/s.
		Rate float64 `json:"r,omitempty"`
		// Ahead is how many bytes go before a new transfer of the same priority.
		Ahead float64 `json:"a,omitempty"`
	}

	// BudgetOf returns the budget of a store host's link, in bytes/s.
	BudgetOf func(store string) float64

	// Table is the owner's side. It is safe for concurrent use.
	Table struct {
		clk    clock.Clock
		budget BudgetOf

		mu    sync.Mutex
		links map[string]*state
	}

	state struct {
		rate    float64
		freeAt  time.Time
		waiting map[string]ticket
		serial  int
	}

	ticket struct {
		ask    Ask
		serial int
		seen   time.Time
	}

	// Caller calls a method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Owners finds the host that owns a name. An empty address means this host.
	Owners interface {
		OwnerOf(name string) (address string)
	}

	// Desk asks the owners of links for turns, and answers for the links that this host owns. It is
	// safe for concurrent use.
	Desk struct {
		clk    clock.Clock
		table  *Table
		owners Owners
		caller Caller
	}
)

const (
	// MethodTurn asks the owner of a link for a turn.
	MethodTurn = "link-turn"

	minWait = time.Millisecond
	maxWait = 50 * time.Millisecond
	// ticketTerm is how long a ticket is kept that is not asked for again.
	ticketTerm = 4 * maxWait
	// seenWeight is the weight of a newly seen rate.
	seenWeight = 0.3
)

// NewTable returns a table of idle links.
func NewTable(clk clock.Clock, budget BudgetOf) *Table {
	return &Table{clk: clk, budget: budget, links: make(map[string]*state)}
}

// Turn gives a turn if the link is free and no ticket with a lower priority number, or an earlier
// one of the same, waits.
func (tb *Table) Turn(ask Ask) Answer {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	st := tb.state(ask.Store)
	st.see(ask.Seen, tb.budget(ask.Store))
	own := st.keep(ask, now)
	ans := Answer{Rate: st.rate, Ahead: st.ahead(own, now)}
	if now.Before(st.freeAt) || !st.isFirst(own) {
		ans.Wait = min(maxWait, max(minWait, st.freeAt.Sub(now)))
		return ans
	}
	delete(st.waiting, ask.Ticket)
	st.freeAt = now.Add(time.Duration(ask.Bytes / st.rate * float64(time.Second)))
	ans.IsTurn = true
	return ans
}

func (tb *Table) state(store string) *state {
	st := tb.links[store]
	if st == nil {
		st = &state{rate: tb.budget(store), waiting: make(map[string]ticket)}
		tb.links[store] = st
	}
	return st
}

func (st *state) see(rate, budget float64) {
	if rate > 0 {
		st.rate += seenWeight * (min(rate, budget) - st.rate)
	}
}

func (st *state) keep(ask Ask, now time.Time) ticket {
	own, ok := st.waiting[ask.Ticket]
	if !ok {
		st.serial++
		own.serial = st.serial
	}
	own.ask, own.seen = ask, now
	st.waiting[ask.Ticket] = own
	for name, tk := range st.waiting {
		if now.Sub(tk.seen) > ticketTerm {
			delete(st.waiting, name)
		}
	}
	return own
}

func (st *state) isFirst(own ticket) bool {
	for _, tk := range st.waiting {
		if tk.isBefore(own) {
			return false
		}
	}
	return true
}

func (st *state) ahead(own ticket, now time.Time) float64 {
	sum := max(0, st.freeAt.Sub(now).Seconds()) * st.rate
	for _, tk := range st.waiting {
		if tk.isBefore(own) {
			sum += tk.ask.Bytes
		}
	}
	return sum
}

func (tk ticket) isBefore(other ticket) bool {
	if tk.ask.Priority != other.ask.Priority {
		return tk.ask.Priority < other.ask.Priority
	}
	return tk.serial < other.serial
}

// NewDesk returns a desk over this host's own table.
func NewDesk(clk clock.Clock, table *Table, owners Owners, caller Caller) *Desk {
	return &Desk{clk: clk, table: table, owners: owners, caller: caller}
}

// Wait waits for a turn. It returns the error of ctx if ctx ends before, or that of the call if
// the owner gives no answer: then the transfer must not begin.
func (dk *Desk) Wait(ctx context.Context, ask Ask) (Answer, error) {
	for {
		ans, err := dk.ask(ctx, ask)
		if err != nil || ans.IsTurn {
			return ans, err
		}
		ask.Seen = 0
		select {
		case <-ctx.Done():
			return ans, ctx.Err()
		case <-dk.clk.After(ans.Wait):
		}
	}
}

// HandleTurn answers another host.
func (dk *Desk) HandleTurn(_ context.Context, params json.RawMessage) (any, error) {
	var ask Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "link: turn")
	}
	return dk.table.Turn(ask), nil
}

func (dk *Desk) ask(ctx context.Context, ask Ask) (Answer, error) {
	address := dk.owners.OwnerOf("link/" + ask.Store)
	if address == "" {
		return dk.table.Turn(ask), nil
	}
	var ans Answer
	err := dk.caller.Call(ctx, address, MethodTurn, ask, &ans)
	return ans, err
}
