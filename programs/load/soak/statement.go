package soak

import (
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	// leavingSettleTime is the time after an endpoint began to say that it leaves from which its requests are counted.
	leavingSettleTime = time.Second
	// maxStrayRequests is the number of requests that such an endpoint may get after that, from hosts that start and have not
	// heard of it yet.
	maxStrayRequests = 20
	// restoreOutage is the time for which the store is away before it returns from a copy.
	restoreOutage = 300 * time.Millisecond
	// backupInterval is the mean number of faults between two copies of the store, and statementInterval that between two
	// statements of endpoints or restores of the store.
	backupInterval    = 5
	statementInterval = 3
)

// leavers holds the endpoints that say that they leave. It is safe for concurrent use.
type leavers struct {
	mu        sync.Mutex
	endpoints map[*site.Endpoint]bool
}

// tryAdd adds an endpoint, unless there is one already, and reports whether it has.
func (le *leavers) tryAdd(ep *site.Endpoint) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	if len(le.endpoints) > 0 {
		return false
	}
	le.endpoints = map[*site.Endpoint]bool{ep: true}
	return true
}

func (le *leavers) remove(ep *site.Endpoint) {
	le.mu.Lock()
	defer le.mu.Unlock()
	delete(le.endpoints, ep)
}

func (le *leavers) contains(ep *site.Endpoint) bool {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.endpoints[ep]
}

// injectStatementFault injects, after one in statementInterval calls, something that an endpoint says of itself, or
// restores the store. Statements are taken back in the background.
func (tb *testbed) injectStatementFault(rd *rand.Rand) {
	if rd.Intn(backupInterval) == 0 {
		tb.backup = tb.store.Backup()
	}
	if rd.Intn(statementInterval) != 0 {
		return
	}
	endpoints := append(slices.Clone(tb.engines), tb.services...)
	ep := endpoints[rd.Intn(len(endpoints))]
	duration := time.Duration(rd.Int63n(int64(maxFaultDuration)))
	name := []string{"limit", "wait", "leave", "store-restored"}[rd.Intn(4)]
	switch name {
	case "limit":
		ep.AnnounceLimit([]string{"0", "0.5", "4", "30"}[rd.Intn(4)])
		time.AfterFunc(duration, func() { ep.AnnounceLimit() })
	case "wait":
		ep.TurnAway([]string{"0", "0.4", "1.5"}[rd.Intn(3)])
		time.AfterFunc(duration, func() { ep.TurnAway() })
	case "leave":
		if !tb.leave(rd.Intn(len(tb.services)), duration) {
			return
		}
	default:
		if !tb.restoreStore() {
			return
		}
	}
	tb.faultCounts.add(name)
}

// leave makes a plain endpoint say for the duration d that it leaves, and restarts it. It reports whether the endpoint does
// so: its responses must reach the hosts.
func (tb *testbed) leave(i int, d time.Duration) bool {
	ep, pr := tb.services[i], tb.endpointProxies[len(tb.engines)+i]
	if proxyMode(pr.mode.Load()) != modePass || !tb.leavers.tryAdd(ep) {
		return false
	}
	ep.ClearFaults()
	ep.AnnounceLeaving()
	start := time.Now()
	time.AfterFunc(leavingSettleTime+d, func() {
		if count := ep.ReceivedSince(start.Add(leavingSettleTime)); count > maxStrayRequests {
			tb.addFinding("an endpoint that said that it leaves got %d requests in %v", count, d)
		}
		ep.Close()
		tb.printError(ep.Restart())
		tb.printError(tb.registerEndpoint(ep, "ready"))
		tb.leavers.remove(ep)
	})
	return true
}

// restoreStore lets the store return from its last copy, if there is one. The operator and the endpoints write again what they
// had written.
func (tb *testbed) restoreStore() bool {
	copied := tb.backup
	if copied == nil {
		return false
	}
	tb.setStoreFault(site.StoreUnavailable)
	time.Sleep(restoreOutage)
	tb.store.Restore(copied)
	tb.setStoreFault(site.NoStoreFault)
	tb.printError(tb.writeConfiguration())
	if tb.weightChanges > 0 {
		tb.printError(tb.store.SetWeightVersion(1 + tb.weightChanges))
	}
	for _, ep := range append(slices.Clone(tb.engines), tb.services...) {
		tb.printError(tb.registerEndpoint(ep, "ready"))
	}
	for _, wp := range tb.workers {
		tb.printError(wp.register("ready"))
	}
	return true
}
