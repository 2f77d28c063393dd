package leadership_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/leadership"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	ttl      = 400 * time.Millisecond
	patience = 8 * time.Second
	tick     = 2 * time.Millisecond
	seatKey  = "bergamotway/leader/test"
)

// boot is a boot-time clock that a test can push ahead, as after a freeze.
type boot struct{ ahead atomic.Int64 }

func (bo *boot) now() time.Duration { return clock.Boot() + time.Duration(bo.ahead.Load()) }

func seat(t *testing.T, st *site.Store, name string, bo *boot) (*leadership.Seat, context.CancelFunc) {
	se := leadership.New(leadership.Options{
		Store: platform.NewStore(st.Address(), nil), Clock: clock.System(), Boot: bo.now, Key: seatKey, Holder: name, TTL: ttl,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		se.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return se, cancel
}

func store(t *testing.T) *site.Store {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	return st
}

func acts(se *leadership.Seat) bool {
	_, ok := se.Fence()
	return ok
}

func TestNextHolderWaitsOutTheLease(t *testing.T) {
	st := store(t)
	first, stop := seat(t, st, "first", &boot{})
	require.Eventually(t, func() bool { return acts(first) }, patience, tick)
	fence, _ := first.Fence()
	second, _ := seat(t, st, "second", &boot{})
	var last time.Time
	for range 100 {
		require.False(t, acts(second) && acts(first))
		if acts(first) {
			last = time.Now()
		}
		second.Vacant()
	}
	stop()
	require.Eventually(t, func() bool {
		if acts(first) {
			last = time.Now()
		}
		second.Vacant()
		return acts(second)
	}, patience, tick)
	require.GreaterOrEqual(t, time.Since(last), ttl, "orders of two holders must not come within a lease")
	next, _ := second.Fence()
	require.Greater(t, next, fence, "the fencing number grows with each holder")
}

func TestFrozenHolderStopsBeforeItActs(t *testing.T) {
	bo := &boot{}
	se, _ := seat(t, store(t), "first", bo)
	require.Eventually(t, func() bool { return acts(se) }, patience, tick)
	bo.ahead.Add(int64(ttl))
	require.False(t, acts(se), "the lease has ended while the machine stood still")
}

func TestHolderWithoutTheStoreStops(t *testing.T) {
	st := store(t)
	se, _ := seat(t, st, "first", &boot{})
	require.Eventually(t, func() bool { return acts(se) }, patience, tick)
	st.Break(site.Silent)
	start := time.Now()
	require.Eventually(t, func() bool { return !acts(se) }, patience, tick)
	require.Less(t, time.Since(start), ttl)
}

func TestLostAnswerLeavesNoHolderBehind(t *testing.T) {
	st := store(t)
	st.Break(site.Forgetful)
	se, _ := seat(t, st, "first", &boot{})
	require.Eventually(t, func() bool { return st.Calls() > 2 }, patience, tick)
	st.Break(site.Sound)
	require.Eventually(t, func() bool {
		se.Vacant()
		return acts(se)
	}, patience, tick)
}
