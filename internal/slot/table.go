package slot

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/engine"
)

const (
	// grantTerm is after how long a place counts as given back, should its host have died.
	grantTerm = 10 * time.Minute
	// downAfter is how many reports in a row must fail before an endpoint counts as down.
	downAfter = 2

	defaultMemoryTokens = 400_000
)

type (
	// Authority tells whether this host holds the lease for an endpoint in cold start.
	Authority interface {
		// IsSettled reports whether the lease is held and the holder before has ended.
		IsSettled(endpoint string) bool
	}

	// Table is the owner's side: the places given for the endpoints that this host owns. It is
	// safe for concurrent use.
	Table struct {
		clk       clock.Clock
		authority Authority

		mu        sync.Mutex
		endpoints map[string]*state
		serial    uint64
	}

	state struct {
		startID   string
		past      []string
		version   string
		started   time.Time
		isLeaving bool
		failures  int
		// reported is how many runs the endpoint last reported.
		reported int
		// orphans is how many of them belong to places that an earlier owner gave.
		orphans   int
		isSettled bool
		// confirmed is when the start identifier was last seen, and unconfirmed how many places
		// were given since.
		confirmed   time.Time
		unconfirmed int
		grants      map[string]grant
		backlog     float64
		drained     time.Time
		memory      *memory
	}

	grant struct {
		host      string
		tokens    int
		isSuspect bool
		since     time.Time
	}
)

// NewTable returns an empty table.
func NewTable(clk clock.Clock, authority Authority) *Table {
	return &Table{clk: clk, authority: authority, endpoints: make(map[string]*state)}
}

// Observe takes in an endpoint's report of itself. It returns whether the endpoint has started
// anew since the last report.
func (tb *Table) Observe(endpoint string, ld engine.Load) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.state(endpoint)
	st.failures = 0
	st.version = ld.Version
	st.isLeaving = ld.Leaving
	st.reported = ld.Running
	st.orphans = min(st.orphans, ld.Running)
	return tb.seen(st, ld.StartID, time.Duration(ld.UptimeMs)*time.Millisecond)
}

// ObserveFailure counts a report that did not come.
func (tb *Table) ObserveFailure(endpoint string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.state(endpoint).failures++
}

// IsCold reports whether the endpoint is in cold start or has not been seen yet.
func (tb *Table) IsCold(endpoint string, lm Limits) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.state(endpoint).isCold(tb.clk.Now(), lm)
}

// Take gives a place or says why not.
func (tb *Table) Take(ask Ask, lm Limits) Answer {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	st := tb.state(ask.Endpoint)
	st.settle(now, lm)
	ans := Answer{
		Running:  len(st.grants),
		Backlog:  math.Round(st.backlog),
		Resident: st.memory.tokens(ask.Root),
		StartID:  st.startID,
		Version:  st.version,
		IsCold:   st.isCold(now, lm),
	}
	ans.Reason = tb.judge(st, ask, lm, now)
	if ans.Reason != Granted {
		return ans
	}
	tb.serial++
	st.unconfirmed++
	ans.Grant = strconv.FormatUint(tb.serial, 36)
	read := max(0, ask.Tokens-ans.Resident)
	st.grants[ans.Grant] = grant{host: ask.Host, tokens: read, isSuspect: ask.IsSuspect, since: now}
	st.backlog += float64(read)
	return ans
}

// Release takes a place back. An unknown place is ignored.
func (tb *Table) Release(rl Release, lm Limits) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.state(rl.Endpoint)
	delete(st.grants, rl.Grant)
	if rl.StartID != "" {
		tb.seen(st, rl.StartID, 0)
	}
	if rl.Resident > 0 {
		limit := lm.MemoryTokens
		if limit == 0 {
			limit = defaultMemoryTokens
		}
		st.memory.put(rl.Root, rl.Resident, limit)
	}
}

// DropHost takes back all places of a host that died: its connections are gone, and the
// endpoint ends the runs behind them.
func (tb *Table) DropHost(host string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, st := range tb.endpoints {
		for id, gr := range st.grants {
			if gr.host == host {
				delete(st.grants, id)
			}
		}
	}
}

// Keep forgets the endpoints for which keep returns false.
func (tb *Table) Keep(keep func(endpoint string) bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for name := range tb.endpoints {
		if !keep(name) {
			delete(tb.endpoints, name)
		}
	}
}

func (tb *Table) judge(st *state, ask Ask, lm Limits, now time.Time) Reason {
	if st.failures >= downAfter {
		return Down
	}
	if st.isLeaving {
		return Leaving
	}
	if ask.IsSuspect && st.hasSuspect() {
		return SuspectRunning
	}
	if st.isCold(now, lm) {
		return tb.judgeCold(st, ask, lm)
	}
	// An endpoint may turn cold without warning: until it is seen again, it gets no more than a
	// cold one bears.
	if st.unconfirmed >= max(lm.ColdLimit, 1) {
		return Unconfirmed
	}
	if len(st.grants) >= st.rampLimit(now, lm) {
		return ColdFull
	}
	return Granted
}

// judgeCold gives places under the lease. A new holder first counts the runs that the endpoint
// still reports from the holder before.
func (tb *Table) judgeCold(st *state, ask Ask, lm Limits) Reason {
	if !tb.authority.IsSettled(ask.Endpoint) {
		st.isSettled = false
		return NoAuthority
	}
	if !st.isSettled {
		st.isSettled = true
		st.orphans = max(0, st.reported-len(st.grants))
	}
	if len(st.grants)+st.orphans >= lm.ColdLimit {
		return ColdFull
	}
	return Granted
}

func (tb *Table) state(endpoint string) *state {
	st := tb.endpoints[endpoint]
	if st == nil {
		st = &state{grants: make(map[string]grant), drained: tb.clk.Now(), memory: newMemory()}
		tb.endpoints[endpoint] = st
	}
	return st
}

// seen takes in a start identifier. A new one empties the endpoint's memory and takes back the
// places that were given before the endpoint was last seen; later ones may run on the new start.
func (tb *Table) seen(st *state, startID string, uptime time.Duration) bool {
	if slices.Contains(st.past, startID) {
		return false
	}
	now := tb.clk.Now()
	before := st.confirmed
	st.confirmed = now
	if st.startID == startID {
		st.unconfirmed = 0
		return false
	}
	isRestart := st.startID != ""
	if isRestart {
		// News of an earlier start may arrive late.
		st.past = append(st.past[max(0, len(st.past)-startsKept+1):], st.startID)
	}
	st.startID = startID
	st.started = now.Add(-uptime)
	if isRestart {
		for id, gr := range st.grants {
			if gr.since.Before(before) {
				delete(st.grants, id)
			}
		}
		st.backlog = 0
		st.orphans = 0
		st.memory = newMemory()
	}
	st.unconfirmed = 0
	return isRestart
}

func (st *state) settle(now time.Time, lm Limits) {
	st.backlog = max(0, st.backlog-now.Sub(st.drained).Seconds()*lm.PrefillRate)
	st.drained = now
	for id, gr := range st.grants {
		if now.Sub(gr.since) > grantTerm {
			delete(st.grants, id)
		}
	}
}

func (st *state) isCold(now time.Time, lm Limits) bool {
	return st.startID == "" || now.Sub(st.started) < lm.ColdTime
}

// rampLimit doubles the places in each quarter of a cold time after the cold start, so that the
// load of a whole fleet does not arrive at one moment.
func (st *state) rampLimit(now time.Time, lm Limits) int {
	past := now.Sub(st.started) - lm.ColdTime
	if lm.ColdTime <= 0 || past >= lm.ColdTime {
		return int(^uint(0) >> 1)
	}
	quarter := lm.ColdTime / rampSteps
	return lm.ColdLimit << (1 + int(past/max(quarter, 1)))
}

func (st *state) hasSuspect() bool {
	for _, gr := range st.grants {
		if gr.isSuspect {
			return true
		}
	}
	return false
}

const (
	rampSteps  = 4
	startsKept = 16
)
