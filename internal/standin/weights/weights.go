// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
)

// Store answers a load after its load time, longer while more than its limit load at once. It is
// safe for concurrent use.
type Store struct {
	clk   clock.Clock
	time  time.Duration
	limit int

	mu      sync.Mutex
	loading int
	peak    int
}

// New returns a store; limit is how many loads at once take the plain load time.
func New(clk clock.Clock, loadTime time.Duration, limit int) *Store {
	return &Store{clk: clk, time: loadTime, limit: limit}
}

// Load waits as long as a load takes.
func (st *Store) Load() {
	st.mu.Lock()
	st.loading++
	st.peak = max(st.peak, st.loading)
	factor := max(1, (st.loading+st.limit-1)/st.limit)
	st.mu.Unlock()
	<-st.clk.After(time.Duration(factor) * st.time)
	st.mu.Lock()
	st.loading--
	st.mu.Unlock()
}

// Peak returns the most loads at once so far.
func (st *Store) Peak() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.peak
}

// Handle serves POST /v1/load and GET /v1/peak.
func (st *Store) Handle(fc *fasthttp.RequestCtx) {
	if string(fc.Path()) == "/v1/peak" {
		fc.SetBodyString(strconv.Itoa(st.Peak()))
		return
	}
	st.Load()
}
