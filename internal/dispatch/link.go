package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// links keeps this host's estimate of the links of store hosts.
	links struct {
		clk clock.Clock

		mu     sync.Mutex
		byName map[string]*linkState

		exports atomic.Int64
	}

	linkState struct {
		rate    float64
		backlog float64
		failed  time.Time
	}
)

const (
	// linkWeight is the weight of a new measurement of a link's rate.
	linkWeight = 0.3
	// linkRecovery is after how long a link that failed is tried again.
	linkRecovery = 2 * time.Second
	// minMeasured is the shortest transfer that tells something of a rate.
	minMeasured = time.Millisecond
)

func newLinks(clk clock.Clock) *links {
	return &links{clk: clk, byName: make(map[string]*linkState)}
}

// state returns the rate and the backlog of a link; a link that failed has rate zero.
func (ls *links) state(name string, budget float64) (rate, backlog float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name, budget)
	if ls.clk.Now().Sub(st.failed) < linkRecovery {
		return 0, 0
	}
	return st.rate, st.backlog
}

func (ls *links) begin(name string, budget, bytes float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.get(name, budget).backlog += bytes
}

// end takes in what a transfer showed of the link.
func (ls *links) end(name string, budget, planned float64, moved int64, took time.Duration, err error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name, budget)
	st.backlog = max(0, st.backlog-planned)
	if err != nil {
		st.failed = ls.clk.Now()
		return
	}
	if moved > 0 && took > minMeasured {
		seen := min(budget, float64(moved)/took.Seconds())
		st.rate += linkWeight * (seen - st.rate)
	}
}

func (ls *links) get(name string, budget float64) *linkState {
	st := ls.byName[name]
	if st == nil {
		st = &linkState{rate: budget}
		ls.byName[name] = st
	}
	return st
}

// tryExport counts an export, unless exportsAtOnce are under way.
func (ls *links) tryExport() bool {
	if ls.exports.Add(1) > exportsAtOnce {
		ls.exports.Add(-1)
		return false
	}
	return true
}

func (ls *links) exportDone() { ls.exports.Add(-1) }
