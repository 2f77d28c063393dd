// Package weights emulates the rate-limited weight store.
package weights

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
)

// Store emulates loads from the weight store. A load takes loadTime for each loadLimit loads, or part of them, that
// are active when it starts, itself included. It is safe for concurrent use.
type Store struct {
	clk       clock.Clock
	loadTime  time.Duration
	loadLimit int

	mu          sync.Mutex
	activeLoads int
	peakLoads   int
}

// New returns a store. Up to loadLimit concurrent loads take loadTime each.
func New(clk clock.Clock, loadTime time.Duration, loadLimit int) *Store {
	return &Store{clk: clk, loadTime: loadTime, loadLimit: loadLimit}
}

// Load waits for the duration of one load.
func (st *Store) Load() {
	st.mu.Lock()
	st.activeLoads++
	st.peakLoads = max(st.peakLoads, st.activeLoads)
	factor := max(1, (st.activeLoads+st.loadLimit-1)/st.loadLimit)
	st.mu.Unlock()
	<-st.clk.After(time.Duration(factor) * st.loadTime)
	st.mu.Lock()
	st.activeLoads--
	st.mu.Unlock()
}

// PeakLoads returns the highest number of concurrent loads so far.
func (st *Store) PeakLoads() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.peakLoads
}

// Handle returns PeakLoads at /v1/peak, and responds to any other request, such as POST /v1/load, when a load has ended.
func (st *Store) Handle(fc *fasthttp.RequestCtx) {
	if string(fc.Path()) == "/v1/peak" {
		fc.SetBodyString(strconv.Itoa(st.PeakLoads()))
		return
	}
	st.Load()
}
