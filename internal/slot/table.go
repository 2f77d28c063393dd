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
	// grantTTL is the lifetime of a grant, after which its slot is reclaimed in case the host that
	// held it has died.
	grantTTL = 10 * time.Minute
	// downAfterFailures is how many consecutive load reports must fail before an endpoint counts
	// as down.
	downAfterFailures = 2

	defaultCacheTokens = 400_000
)

type (
	// Leases reports whether this host holds the lease for an endpoint in cold start.
	Leases interface {
		// HoldsLease reports whether this host holds the lease and the previous holder no
		// longer grants slots.
		HoldsLease(endpoint string) bool
	}

	// Table tracks the slots granted for the endpoints that this host owns. It is safe for
	// concurrent use.
	Table struct {
		clk    clock.Clock
		leases Leases

		mu          sync.Mutex
		endpoints   map[string]*endpointState
		lastGrantID uint64
	}

	// endpointState holds what the owner knows of an endpoint, from its load reports and from the
	// slots granted on it.
	endpointState struct {
		startID             string
		previousStartIDs    []string
		version             string
		startedAt           time.Time
		isLeaving           bool
		consecutiveFailures int
		// reportedRuns is how many runs the endpoint last reported.
		reportedRuns int
		// orphanedRuns is how many of them use slots that a previous owner granted.
		orphanedRuns int
		// isLeaseHeld reports whether the lease was held at the last request in a cold start.
		isLeaseHeld bool
		// confirmedAt is when the start ID was last observed, and unconfirmedGrants how many slots
		// have been granted since.
		confirmedAt       time.Time
		unconfirmedGrants int
		grants            map[string]grant
		// backlog is the estimated number of tokens waiting for prefill at backlogUpdatedAt.
		backlog          float64
		backlogUpdatedAt time.Time
		cache            *cacheModel
	}

	// grant is a granted slot.
	grant struct {
		host           string
		uncachedTokens int
		isSuspect      bool
		grantedAt      time.Time
	}
)

// NewTable returns an empty Table.
func NewTable(clk clock.Clock, leases Leases) *Table {
	return &Table{clk: clk, leases: leases, endpoints: make(map[string]*endpointState)}
}

// Observe records the load report of an endpoint. It reports whether the endpoint has restarted
// since the previous report.
func (tb *Table) Observe(endpoint string, ld engine.LoadReport) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.stateOf(endpoint)
	st.consecutiveFailures = 0
	st.version = ld.Version
	st.isLeaving = ld.Leaving
	st.reportedRuns = ld.Running
	st.orphanedRuns = min(st.orphanedRuns, ld.Running)
	return tb.recordStart(st, ld.StartID, time.Duration(ld.UptimeMs)*time.Millisecond)
}

// ObserveFailure records that a load report of an endpoint could not be fetched.
func (tb *Table) ObserveFailure(endpoint string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.stateOf(endpoint).consecutiveFailures++
}

// IsCold reports whether the endpoint is in cold start or has not been observed yet.
func (tb *Table) IsCold(endpoint string, lm Limits) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.stateOf(endpoint).isCold(tb.clk.Now(), lm)
}

// Acquire grants a slot or returns the reason why it is refused.
func (tb *Table) Acquire(req AcquireRequest, lm Limits) AcquireResponse {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	st := tb.stateOf(req.Endpoint)
	st.advance(now, lm)
	res := AcquireResponse{
		Running:  len(st.grants),
		Backlog:  math.Round(st.backlog),
		Resident: st.cache.cachedTokens(req.Root),
		StartID:  st.startID,
		Version:  st.version,
		IsCold:   st.isCold(now, lm),
	}
	res.Reason = tb.admit(st, req, lm, now)
	if res.Reason != Granted {
		return res
	}
	tb.lastGrantID++
	st.unconfirmedGrants++
	res.GrantID = strconv.FormatUint(tb.lastGrantID, 36)
	uncached := max(0, req.Tokens-res.Resident)
	st.grants[res.GrantID] = grant{host: req.Host, uncachedTokens: uncached, isSuspect: req.IsSuspect, grantedAt: now}
	st.backlog += float64(uncached)
	return res
}

// Release releases a slot. An unknown grant is ignored.
func (tb *Table) Release(rl ReleaseRequest, lm Limits) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	st := tb.stateOf(rl.Endpoint)
	delete(st.grants, rl.GrantID)
	if rl.StartID != "" {
		tb.recordStart(st, rl.StartID, 0)
	}
	if rl.Resident > 0 {
		capacity := lm.CacheTokens
		if capacity == 0 {
			capacity = defaultCacheTokens
		}
		st.cache.record(rl.Root, rl.Resident, capacity)
	}
}

// DropHost reclaims all slots of a host that died. Its connections are closed, and the endpoints
// end the runs on them.
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

// Retain removes the endpoints for which keep returns false.
func (tb *Table) Retain(keep func(endpoint string) bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for name := range tb.endpoints {
		if !keep(name) {
			delete(tb.endpoints, name)
		}
	}
}

// admit returns Granted or the reason why the slot is refused.
func (tb *Table) admit(st *endpointState, req AcquireRequest, lm Limits, now time.Time) Reason {
	if st.consecutiveFailures >= downAfterFailures {
		return Down
	}
	if st.isLeaving {
		return Leaving
	}
	if req.IsSuspect && st.hasSuspect() {
		return SuspectRunning
	}
	if st.isCold(now, lm) {
		return tb.admitCold(st, req, lm)
	}
	// An endpoint may restart unnoticed. Until the next load report confirms that it has not, it is
	// granted no more slots than an endpoint in cold start.
	if st.unconfirmedGrants >= max(lm.ColdLimit, 1) {
		return Unconfirmed
	}
	if len(st.grants) >= st.rampLimit(now, lm) {
		return ColdFull
	}
	return Granted
}

// admitCold decides for an endpoint in cold start, which requires the lease. A new lease holder
// first counts the runs that the endpoint still reports from the previous holder.
func (tb *Table) admitCold(st *endpointState, req AcquireRequest, lm Limits) Reason {
	if !tb.leases.HoldsLease(req.Endpoint) {
		st.isLeaseHeld = false
		return NoLease
	}
	if !st.isLeaseHeld {
		st.isLeaseHeld = true
		st.orphanedRuns = max(0, st.reportedRuns-len(st.grants))
	}
	if len(st.grants)+st.orphanedRuns >= lm.ColdLimit {
		return ColdFull
	}
	return Granted
}

func (tb *Table) stateOf(endpoint string) *endpointState {
	st := tb.endpoints[endpoint]
	if st == nil {
		st = &endpointState{grants: make(map[string]grant), backlogUpdatedAt: tb.clk.Now(), cache: newCacheModel()}
		tb.endpoints[endpoint] = st
	}
	return st
}

// recordStart records a start ID and reports whether the endpoint has restarted. A restart empties
// the prefix cache and ends the runs, so the slots granted before the last confirmation of the
// previous start are reclaimed. Later ones are kept, because their runs may be on the new start.
func (tb *Table) recordStart(st *endpointState, startID string, uptime time.Duration) bool {
	if slices.Contains(st.previousStartIDs, startID) {
		return false
	}
	now := tb.clk.Now()
	previouslyConfirmedAt := st.confirmedAt
	st.confirmedAt = now
	if st.startID == startID {
		st.unconfirmedGrants = 0
		return false
	}
	isRestart := st.startID != ""
	if isRestart {
		// Previous start IDs are kept because releases may report them late.
		st.previousStartIDs = append(st.previousStartIDs[max(0, len(st.previousStartIDs)-maxPreviousStartIDs+1):], st.startID)
	}
	st.startID = startID
	st.startedAt = now.Add(-uptime)
	if isRestart {
		for id, gr := range st.grants {
			if gr.grantedAt.Before(previouslyConfirmedAt) {
				delete(st.grants, id)
			}
		}
		st.backlog = 0
		st.orphanedRuns = 0
		st.cache = newCacheModel()
	}
	st.unconfirmedGrants = 0
	return isRestart
}

// advance reduces the backlog by what the endpoint has prefilled since the last call and removes
// expired grants.
func (st *endpointState) advance(now time.Time, lm Limits) {
	st.backlog = max(0, st.backlog-now.Sub(st.backlogUpdatedAt).Seconds()*lm.PrefillRate)
	st.backlogUpdatedAt = now
	for id, gr := range st.grants {
		if now.Sub(gr.grantedAt) > grantTTL {
			delete(st.grants, id)
		}
	}
}

// isCold reports whether the endpoint is in cold start. An endpoint that has not been observed yet
// counts as cold.
func (st *endpointState) isCold(now time.Time, lm Limits) bool {
	return st.startID == "" || now.Sub(st.startedAt) < lm.ColdTime
}

// rampLimit returns the slot limit after the cold start. For another ColdTime it doubles in each
// quarter, so that the load of the whole fleet does not arrive at once; then there is no limit.
func (st *endpointState) rampLimit(now time.Time, lm Limits) int {
	elapsed := now.Sub(st.startedAt) - lm.ColdTime
	if lm.ColdTime <= 0 || elapsed >= lm.ColdTime {
		return int(^uint(0) >> 1)
	}
	quarter := lm.ColdTime / rampSteps
	return lm.ColdLimit << (1 + int(elapsed/max(quarter, 1)))
}

func (st *endpointState) hasSuspect() bool {
	for _, gr := range st.grants {
		if gr.isSuspect {
			return true
		}
	}
	return false
}

const (
	// rampSteps is the number of steps of the ramp after a cold start.
	rampSteps = 4
	// maxPreviousStartIDs limits the previous start IDs kept per endpoint.
	maxPreviousStartIDs = 16
)
