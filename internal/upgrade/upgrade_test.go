package upgrade_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/upgrade"
)

const (
	patience = 20 * time.Second
	tick     = 2 * time.Millisecond
)

// engines are fakes that take weights at once, and count orders.
type engines struct {
	mu       sync.Mutex
	versions map[string]uint64
	orders   map[string]uint64
	order    []string
	lose     int
}

func (en *engines) Report(_ context.Context, _, id string) (upgrade.Report, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return upgrade.Report{Orders: en.orders[id], Versions: map[string]uint64{"m": en.versions[id]}}, nil
}

func (en *engines) Order(_ context.Context, _, id string, od upgrade.Order) (upgrade.Reply, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if od.Orders != en.orders[id] {
		return upgrade.Conflict, nil
	}
	en.order = append(en.order, id)
	en.orders[id]++
	if en.lose > 0 {
		en.lose--
		return 0, io.ErrUnexpectedEOF
	}
	en.versions[id] = od.Version
	return upgrade.Accepted, nil
}

func (en *engines) done(version uint64) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, v := range en.versions {
		if v != version {
			return false
		}
	}
	return true
}

func start(t *testing.T, versions map[string]uint64, may func() bool) (*upgrade.Controller, *engines, *fleet.Fleet) {
	en := &engines{versions: versions, orders: make(map[string]uint64)}
	fl := fleet.New(fleet.Options{Host: "host"})
	for id, version := range versions {
		fl.Put(fleet.Entry{ID: id, Service: "s", Address: id, Zone: "here", Slots: 8, Models: map[string]uint64{"m": version}})
	}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	co := upgrade.New(upgrade.Options{
		Clock: clock.System(), Fleet: fl, Engines: en, Holder: "host", Log: lg,
		Fence: func() (uint64, bool) { return 7, may() },
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

// A second version was named while the first was under way; the engines without either came last
// and were used beyond the time for old weights (VERSION, trouble-2).
func TestEnginesFurthestBehindGoFirst(t *testing.T) {
	t.Parallel()
	versions := make(map[string]uint64)
	for i := range 6 {
		versions[fmt.Sprint("engine-", i)] = 2
	}
	versions["engine-9"] = 1
	co, en, _ := start(t, versions, func() bool { return true })
	co.Target("m", 3)
	require.Eventually(t, func() bool { return en.done(3) }, patience, tick)
	require.Equal(t, "engine-9", en.order[0])
}

func TestNoOrderWithoutTheRight(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	right, asked := false, 0
	co, en, _ := start(t, map[string]uint64{"engine-1": 1}, func() bool {
		mu.Lock()
		defer mu.Unlock()
		asked++
		return right
	})
	co.Target("m", 2)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return asked > 5
	}, patience, tick)
	require.Empty(t, en.order)
	mu.Lock()
	right = true
	mu.Unlock()
	require.Eventually(t, func() bool { return en.done(2) }, patience, tick)
}

func TestLostOrderIsGivenAgain(t *testing.T) {
	t.Parallel()
	co, en, _ := start(t, map[string]uint64{"engine-1": 1}, func() bool { return true })
	en.lose = 1
	co.Target("m", 2)
	require.Eventually(t, func() bool { return en.done(2) }, patience, tick)
	require.Len(t, en.order, 2)
}

func TestFewEnginesTakeWeightsAtATime(t *testing.T) {
	t.Parallel()
	versions := make(map[string]uint64)
	for i := range 12 {
		versions[fmt.Sprint("engine-", i)] = 1
	}
	co, en, fl := start(t, versions, func() bool { return true })
	co.Target("m", 2)
	most := 0
	require.Eventually(t, func() bool {
		away := 0
		for _, vw := range fl.All() {
			if vw.Loading {
				away++
			}
		}
		most = max(most, away)
		return en.done(2)
	}, patience, tick)
	require.LessOrEqual(t, most, 6, "two load, two are emptied, two have just ended")
}
