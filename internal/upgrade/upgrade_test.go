package upgrade_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/upgrade"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

// fakeEngines load weights at once and count the accepted orders. The next ordersToLose orders are
// accepted but have no effect and return an error.
type fakeEngines struct {
	mu             sync.Mutex
	versions       map[string]uint64
	acceptedOrders map[string]uint64
	orderedIDs     []string
	ordersToLose   int
	// reports counts the calls of FetchReport by engine, and statements holds what engines say in the responses.
	reports    map[string]int
	statements map[string]fleet.Statement
	// unreachable holds engines that answer no calls.
	unreachable map[string]bool
}

func (en *fakeEngines) FetchReport(_ context.Context, _, id string) (upgrade.Report, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.reports[id]++
	if en.unreachable[id] {
		return upgrade.Report{}, io.ErrUnexpectedEOF
	}
	return upgrade.Report{AcceptedOrders: en.acceptedOrders[id], Versions: map[string]uint64{"m": en.versions[id]}, Statement: en.statements[id]}, nil
}

func (en *fakeEngines) SendOrder(_ context.Context, _, id string, od upgrade.Order) (upgrade.Reply, fleet.Statement, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if od.ExpectedOrders != en.acceptedOrders[id] {
		return upgrade.Conflict, fleet.Statement{}, nil
	}
	en.orderedIDs = append(en.orderedIDs, id)
	en.acceptedOrders[id]++
	if en.ordersToLose > 0 {
		en.ordersToLose--
		return 0, fleet.Statement{}, io.ErrUnexpectedEOF
	}
	en.versions[id] = od.Version
	return upgrade.Accepted, fleet.Statement{}, nil
}

// orders returns the engines that were sent orders.
func (en *fakeEngines) orders() []string {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.orderedIDs)
}

func (en *fakeEngines) allHaveVersion(version uint64) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, v := range en.versions {
		if v != version {
			return false
		}
	}
	return true
}

func startController(t *testing.T, versions map[string]uint64, mayOrder func() bool) (*upgrade.Controller, *fakeEngines, *fleet.Fleet) {
	return startWaitingController(t, versions, mayOrder, func() (time.Duration, bool) { return 0, false })
}

// startWaitingController starts a controller that is told how long it takes until it may send orders.
func startWaitingController(
	t *testing.T, versions map[string]uint64, mayOrder func() bool, untilActive func() (time.Duration, bool),
) (*upgrade.Controller, *fakeEngines, *fleet.Fleet) {
	en := &fakeEngines{
		versions: versions, acceptedOrders: make(map[string]uint64), reports: make(map[string]int),
		statements: make(map[string]fleet.Statement), unreachable: make(map[string]bool),
	}
	fl := fleet.New(fleet.Options{Host: "host"})
	for id, version := range versions {
		fl.Put(fleet.Entry{ID: id, Service: "s", Address: id, Zone: "here", Slots: 8, Models: map[string]uint64{"m": version}})
	}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	co := upgrade.New(upgrade.Options{
		Clock: clock.System(), Fleet: fl, Engines: en, Holder: "host", Log: lg,
		FencingToken: func() (uint64, bool) { return 7, mayOrder() }, UntilActive: untilActive,
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		co.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return co, en, fl
}

// A new version can be selected while the previous one is still being rolled out. When the engines with
// neither of the two were upgraded last, they were still used after their weights had expired.
func TestOldestVersionsAreUpgradedFirst(t *testing.T) {
	t.Parallel()
	versions := make(map[string]uint64)
	for i := range 6 {
		versions[fmt.Sprint("engine-", i)] = 2
	}
	versions["engine-9"] = 1
	co, en, _ := startController(t, versions, func() bool { return true })
	co.SetTarget("m", 3)
	require.Eventually(t, func() bool { return en.allHaveVersion(3) }, waitTimeout, pollInterval)
	require.Equal(t, "engine-9", en.orderedIDs[0])
}

// Guards against a rollout that begins a second late: the next leader drained the first engines only once it
// was allowed to send orders.
func TestEnginesAreDrainedBeforeOrdersAreAllowed(t *testing.T) {
	t.Parallel()
	var mayOrder atomic.Bool
	versions := map[string]uint64{"engine-1": 1, "engine-2": 1}
	co, en, _ := startWaitingController(t, versions, mayOrder.Load, func() (time.Duration, bool) { return 300 * time.Millisecond, true })
	co.SetTarget("m", 2)
	require.Eventually(t, func() bool { return len(co.LoadingEngines()) > 0 }, waitTimeout, pollInterval)
	require.False(t, en.allHaveVersion(2))
	require.Empty(t, en.orders())
	mayOrder.Store(true)
	require.Eventually(t, func() bool { return en.allHaveVersion(2) }, waitTimeout, pollInterval)
}

// Guards against reports and orders that reach an engine which wants nothing now, or leaves.
func TestEngineThatWaitsOrLeavesGetsNoOrders(t *testing.T) {
	t.Parallel()
	for name, st := range map[string]fleet.Statement{"waits": {Wait: time.Hour}, "leaves": {IsLeaving: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mayOrder atomic.Bool
			co, en, fl := startController(t, map[string]uint64{"engine-1": 1, "engine-2": 1, "engine-3": 1}, mayOrder.Load)
			fl.RecordStatement("engine-1", 0, st, time.Time{}, false)
			en.mu.Lock()
			en.statements["engine-2"] = st
			en.mu.Unlock()
			mayOrder.Store(true)
			co.SetTarget("m", 2)
			isUpgraded := func(id string) func() bool {
				return func() bool {
					en.mu.Lock()
					defer en.mu.Unlock()
					return en.versions[id] == 2
				}
			}
			require.Eventually(t, isUpgraded("engine-3"), waitTimeout, pollInterval)
			fl.Put(fleet.Entry{ID: "engine-4", Service: "s", Address: "engine-4", Zone: "here", Slots: 8, Models: map[string]uint64{"m": 1}})
			en.mu.Lock()
			en.versions["engine-4"] = 1
			en.mu.Unlock()
			require.Eventually(t, isUpgraded("engine-4"), waitTimeout, pollInterval)
			en.mu.Lock()
			defer en.mu.Unlock()
			require.Zero(t, en.reports["engine-1"])
			require.LessOrEqual(t, en.reports["engine-2"], 1)
			require.NotContains(t, en.orderedIDs, "engine-1")
			require.NotContains(t, en.orderedIDs, "engine-2")
		})
	}
}

// Guards against a rollout that stands still as long as an engine is listed that cannot be reached.
func TestUnreachableEngineDoesNotHoldUpTheRollout(t *testing.T) {
	t.Parallel()
	var mayOrder atomic.Bool
	co, en, _ := startController(t, map[string]uint64{"engine-1": 1, "engine-2": 1, "engine-3": 1}, mayOrder.Load)
	en.mu.Lock()
	en.unreachable["engine-1"] = true
	en.mu.Unlock()
	mayOrder.Store(true)
	co.SetTarget("m", 2)
	require.Eventually(t, func() bool {
		return slices.Equal(slices.Sorted(slices.Values(en.orders())), []string{"engine-2", "engine-3"})
	}, waitTimeout, pollInterval)
	en.mu.Lock()
	en.unreachable["engine-1"] = false
	en.mu.Unlock()
	require.Eventually(t, func() bool { return en.allHaveVersion(2) }, waitTimeout, pollInterval, "it is back")
}

func TestNoOrderWithoutLeadership(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	isLeader, tokenCalls := false, 0
	co, en, _ := startController(t, map[string]uint64{"engine-1": 1}, func() bool {
		mu.Lock()
		defer mu.Unlock()
		tokenCalls++
		return isLeader
	})
	co.SetTarget("m", 2)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return tokenCalls > 5
	}, waitTimeout, pollInterval)
	require.Empty(t, en.orderedIDs)
	mu.Lock()
	isLeader = true
	mu.Unlock()
	require.Eventually(t, func() bool { return en.allHaveVersion(2) }, waitTimeout, pollInterval)
}

func TestLostOrderIsResent(t *testing.T) {
	t.Parallel()
	co, en, _ := startController(t, map[string]uint64{"engine-1": 1}, func() bool { return true })
	en.ordersToLose = 1
	co.SetTarget("m", 2)
	require.Eventually(t, func() bool { return en.allHaveVersion(2) }, waitTimeout, pollInterval)
	require.Len(t, en.orderedIDs, 2)
}

func TestParallelLoadsAreLimited(t *testing.T) {
	t.Parallel()
	versions := make(map[string]uint64)
	for i := range 12 {
		versions[fmt.Sprint("engine-", i)] = 1
	}
	co, en, fl := startController(t, versions, func() bool { return true })
	co.SetTarget("m", 2)
	maxLoading := 0
	require.Eventually(t, func() bool {
		loading := 0
		for _, vw := range fl.All() {
			if vw.Loading {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
		return en.allHaveVersion(2)
	}, waitTimeout, pollInterval)
	require.LessOrEqual(t, maxLoading, 6, "two load, two drain, two have just finished")
}
