package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// links keeps what this host knows of the links of store hosts.
	links struct {
		clk clock.Clock

		mu     sync.Mutex
		byName map[string]*linkState

		exports atomic.Int64
	}

	linkState struct {
		rate   float64
		ahead  float64
		heard  time.Time
		failed time.Time
		// seen is the rate of the last transfer, until an owner was told of it.
		seen float64
	}
)

const (
	// linkRecovery is after how long a link that failed is tried again.
	linkRecovery = 2 * time.Second
	// minMeasured is the shortest transfer that tells something of a rate.
	minMeasured = time.Millisecond
)

func newLinks(clk clock.Clock) *links {
	return &links{clk: clk, byName: make(map[string]*linkState)}
}

// state returns the rate of a link, and the bytes ahead of a new transfer by the owner's last
// word; a link that failed has rate zero.
func (ls *links) state(name string, budget float64) (rate, ahead float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	now := ls.clk.Now()
	if now.Sub(st.failed) < linkRecovery {
		return 0, 0
	}
	if st.rate == 0 {
		return budget, 0
	}
	return st.rate, max(0, st.ahead-now.Sub(st.heard).Seconds()*st.rate)
}

// answered takes in the word of a link's owner.
func (ls *links) answered(name string, rate, ahead float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	st.rate, st.ahead, st.heard = rate, ahead, ls.clk.Now()
}

// moved takes in what a transfer showed of a link.
func (ls *links) moved(name string, bytes int64, took time.Duration, err error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	if err != nil {
		st.failed = ls.clk.Now()
		return
	}
	if bytes > 0 && took > minMeasured {
		st.seen = float64(bytes) / took.Seconds()
	}
}

// failed notes that a store host gave no answer.
func (ls *links) failed(name string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.get(name).failed = ls.clk.Now()
}

// seen returns the rate that the owner has not been told of yet.
func (ls *links) seen(name string) float64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	seen := st.seen
	st.seen = 0
	return seen
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

func (ls *links) get(name string) *linkState {
	st := ls.byName[name]
	if st == nil {
		st = &linkState{}
		ls.byName[name] = st
	}
	return st
}
