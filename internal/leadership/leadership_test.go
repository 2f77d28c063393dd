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
	ttl          = 400 * time.Millisecond
	waitTimeout  = 8 * time.Second
	pollInterval = 2 * time.Millisecond
	leaseKey     = "bergamotway/leader/test"
)

// bootClock is a boot-time clock that a test can advance, as if the machine had been suspended.
type bootClock struct{ offset atomic.Int64 }

func (bc *bootClock) now() time.Duration { return clock.SinceBoot() + time.Duration(bc.offset.Load()) }

func startCandidate(t *testing.T, st *site.Store, name string, bc *bootClock) (*leadership.Candidate, context.CancelFunc) {
	ca := leadership.New(leadership.Options{
		Store: platform.NewMetadataStore(st.Address(), nil), Clock: clock.System(), SinceBoot: bc.now, Key: leaseKey, Holder: name, TTL: ttl,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ca.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return ca, cancel
}

func newStore(t *testing.T) *site.Store {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	return st
}

func isActive(ca *leadership.Candidate) bool {
	_, ok := ca.FencingToken()
	return ok
}

func TestNextHolderWaitsForPreviousLease(t *testing.T) {
	st := newStore(t)
	first, stop := startCandidate(t, st, "first", &bootClock{})
	require.Eventually(t, func() bool { return isActive(first) }, waitTimeout, pollInterval)
	token, _ := first.FencingToken()
	second, _ := startCandidate(t, st, "second", &bootClock{})
	var lastActive time.Time
	for range 100 {
		require.False(t, isActive(second) && isActive(first))
		if isActive(first) {
			lastActive = time.Now()
		}
		second.NotifyVacant()
	}
	stop()
	require.Eventually(t, func() bool {
		if isActive(first) {
			lastActive = time.Now()
		}
		second.NotifyVacant()
		return isActive(second)
	}, waitTimeout, pollInterval)
	require.GreaterOrEqual(t, time.Since(lastActive), ttl, "the next holder must wait for the duration of a lease")
	next, _ := second.FencingToken()
	require.Greater(t, next, token, "the fencing token increases with each holder")
}

func TestSuspendedHolderIsInactiveAfterResume(t *testing.T) {
	bc := &bootClock{}
	ca, _ := startCandidate(t, newStore(t), "first", bc)
	require.Eventually(t, func() bool { return isActive(ca) }, waitTimeout, pollInterval)
	bc.offset.Add(int64(ttl))
	require.False(t, isActive(ca), "the lease ended while the machine was suspended")
}

func TestHolderStopsWhenStoreIsUnreachable(t *testing.T) {
	st := newStore(t)
	ca, _ := startCandidate(t, st, "first", &bootClock{})
	require.Eventually(t, func() bool { return isActive(ca) }, waitTimeout, pollInterval)
	st.SetFault(site.StoreUnresponsive)
	start := time.Now()
	require.Eventually(t, func() bool { return !isActive(ca) }, waitTimeout, pollInterval)
	require.Less(t, time.Since(start), ttl)
}

func TestLostCommitReplyDoesNotBlockAcquisition(t *testing.T) {
	st := newStore(t)
	st.SetFault(site.StoreLosesResponses)
	ca, _ := startCandidate(t, st, "first", &bootClock{})
	require.Eventually(t, func() bool { return st.CallCount() > 2 }, waitTimeout, pollInterval)
	st.SetFault(site.NoStoreFault)
	require.Eventually(t, func() bool {
		ca.NotifyVacant()
		return isActive(ca)
	}, waitTimeout, pollInterval)
}

// Guards against orders of a leader that endpoints refuse, or carry out after those of the next one, because a restored
// store has given out revisions again.
func TestFencingTokenRisesWhenStoreIsRestored(t *testing.T) {
	st := newStore(t)
	backup := st.Backup()
	for range 50 {
		st.PutBytes("other", nil)
	}
	first, stop := startCandidate(t, st, "first", &bootClock{})
	require.Eventually(t, func() bool { return isActive(first) }, waitTimeout, pollInterval)
	token, _ := first.FencingToken()
	stop()
	st.Restore(backup)
	second, _ := startCandidate(t, st, "second", &bootClock{})
	require.Eventually(t, func() bool { return isActive(second) }, waitTimeout, pollInterval)
	next, _ := second.FencingToken()
	require.Greater(t, next, token)
}

// Guards against two leaders of which one holds a lease that a restored store has forgotten.
func TestHolderGivesUpLeaseWhenStoreIsRestored(t *testing.T) {
	st := newStore(t)
	backup := st.Backup()
	first, _ := startCandidate(t, st, "first", &bootClock{})
	require.Eventually(t, func() bool { return isActive(first) }, waitTimeout, pollInterval)
	st.Restore(backup)
	second, _ := startCandidate(t, st, "second", &bootClock{})
	seen := false
	require.Eventually(t, func() bool {
		isFirst, isSecond := isActive(first), isActive(second)
		require.False(t, isFirst && isSecond)
		seen = seen || !isFirst
		return seen && (isFirst || isSecond)
	}, waitTimeout, pollInterval)
}
