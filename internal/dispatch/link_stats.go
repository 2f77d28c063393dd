package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// linkStats tracks the rate and the queue of the links to store hosts, as known to this host, and
	// limits the exports of this host.
	linkStats struct {
		clk clock.Clock

		mu     sync.Mutex
		byName map[string]*linkState

		// activeExports is how many exports of this host are in progress.
		activeExports atomic.Int64
	}

	// linkState holds the rate of a link in bytes/s and its queue in bytes, as last reported by
	// the owner of the link.
	linkState struct {
		rate        float64
		queuedBytes float64
		reportedAt  time.Time
		failedAt    time.Time
		// measuredRate is the rate of the last transfer in bytes/s; zero once it was sent to the owner.
		measuredRate float64
	}
)

const (
	// linkRetryDelay is how long a failed link is not used.
	linkRetryDelay = 2 * time.Second
	// minMeasuredDuration is the shortest transfer from which a rate is derived.
	minMeasuredDuration = time.Millisecond
)

func newLinkStats(clk clock.Clock) *linkStats {
	return &linkStats{clk: clk, byName: make(map[string]*linkState)}
}

// estimate returns the rate of a link and the bytes queued ahead of a new transfer, extrapolated
// from the owner's last report. Without a report the rate is the link's budget; after a recent
// failure it is zero.
func (ls *linkStats) estimate(name string, budget float64) (rate, queuedBytes float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	now := ls.clk.Now()
	if now.Sub(st.failedAt) < linkRetryDelay {
		return 0, 0
	}
	if st.rate == 0 {
		return budget, 0
	}
	return st.rate, max(0, st.queuedBytes-now.Sub(st.reportedAt).Seconds()*st.rate)
}

// recordOwnerReport stores the rate and the queue that the owner of a link reported.
func (ls *linkStats) recordOwnerReport(name string, rate, queuedBytes float64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	st.rate, st.queuedBytes, st.reportedAt = rate, queuedBytes, ls.clk.Now()
}

// recordTransfer stores the rate that a transfer reached, or the time at which it failed.
func (ls *linkStats) recordTransfer(name string, bytes int64, took time.Duration, err error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	if err != nil {
		st.failedAt = ls.clk.Now()
		return
	}
	if bytes > 0 && took > minMeasuredDuration {
		st.measuredRate = float64(bytes) / took.Seconds()
	}
}

// recordFailure records that a store host did not respond.
func (ls *linkStats) recordFailure(name string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.get(name).failedAt = ls.clk.Now()
}

// takeMeasuredRate returns the last measured rate, or zero if it has already been taken for a
// request to the owner.
func (ls *linkStats) takeMeasuredRate(name string) float64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	st := ls.get(name)
	rate := st.measuredRate
	st.measuredRate = 0
	return rate
}

// tryStartExport counts a new export and returns true, unless maxExports are in progress.
func (ls *linkStats) tryStartExport() bool {
	if ls.activeExports.Add(1) > maxExports {
		ls.activeExports.Add(-1)
		return false
	}
	return true
}

func (ls *linkStats) endExport() { ls.activeExports.Add(-1) }

// get returns the state of a link and creates it if necessary.
func (ls *linkStats) get(name string) *linkState {
	st := ls.byName[name]
	if st == nil {
		st = &linkState{}
		ls.byName[name] = st
	}
	return st
}
