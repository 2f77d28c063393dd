package slot_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/slot"
)

type fakeLeases bool

func (fl *fakeLeases) HoldsLease(string) bool { return bool(*fl) }

var limits = slot.Limits{ColdLimit: 2, ColdTime: 30 * time.Second, PrefillRate: 1000}

// newWarmTable returns a table with one endpoint that has been up for an hour, and no lease.
func newWarmTable() (*slot.Table, *clockwork.FakeClock, *fakeLeases) {
	clk := clockwork.NewFakeClock()
	leases := new(fakeLeases)
	tb := slot.NewTable(clk, leases)
	tb.Observe("e", engine.LoadReport{StartID: "one", UptimeMs: time.Hour.Milliseconds()})
	return tb, clk, leases
}

func TestUnconfirmedGrantsAreLimitedToColdLimit(t *testing.T) {
	tb, _, _ := newWarmTable()
	req := slot.AcquireRequest{Endpoint: "e", Host: "h", Tokens: 10}
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.Unconfirmed, tb.Acquire(req, limits).Reason)
	tb.Observe("e", engine.LoadReport{StartID: "one"})
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
}

func TestLateReleaseOfPreviousStartIsIgnored(t *testing.T) {
	tb, clk, leases := newWarmTable()
	old := tb.Acquire(slot.AcquireRequest{Endpoint: "e", Host: "h"}, limits)
	clk.Advance(time.Second)
	require.True(t, tb.Observe("e", engine.LoadReport{StartID: "two"}))
	require.True(t, tb.IsCold("e", limits))
	tb.Release(slot.ReleaseRequest{Endpoint: "e", GrantID: old.GrantID, StartID: "one"}, limits)
	require.True(t, tb.IsCold("e", limits), "a late release of the previous start must not end the cold start")
	*leases = true
	require.Equal(t, "two", tb.Acquire(slot.AcquireRequest{Endpoint: "e", Host: "h"}, limits).StartID)
}

func TestColdEndpointRequiresLease(t *testing.T) {
	tb, clk, leases := newWarmTable()
	clk.Advance(time.Second)
	tb.Observe("e", engine.LoadReport{StartID: "two"})
	req := slot.AcquireRequest{Endpoint: "e", Host: "h"}
	require.Equal(t, slot.NoLease, tb.Acquire(req, limits).Reason)
	*leases = true
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.ColdFull, tb.Acquire(req, limits).Reason)
	tb.DropHost("h")
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
}

func TestNewOwnerCountsOrphanedRuns(t *testing.T) {
	clk := clockwork.NewFakeClock()
	leases := fakeLeases(true)
	tb := slot.NewTable(clk, &leases)
	tb.Observe("e", engine.LoadReport{StartID: "one", Running: 1})
	req := slot.AcquireRequest{Endpoint: "e", Host: "h"}
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.ColdFull, tb.Acquire(req, limits).Reason, "one run granted by the previous owner is still active")
	tb.Observe("e", engine.LoadReport{StartID: "one", Running: 0})
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
}

func TestSuspectsNeverShareEndpoint(t *testing.T) {
	tb, _, _ := newWarmTable()
	req := slot.AcquireRequest{Endpoint: "e", Host: "h", IsSuspect: true}
	require.Equal(t, slot.Granted, tb.Acquire(req, limits).Reason)
	require.Equal(t, slot.SuspectRunning, tb.Acquire(req, limits).Reason)
}

func TestRampAfterColdStart(t *testing.T) {
	tb, clk, leases := newWarmTable()
	clk.Advance(time.Second)
	tb.Observe("e", engine.LoadReport{StartID: "two"})
	*leases = true
	req := slot.AcquireRequest{Endpoint: "e", Host: "h"}
	countGranted := func() int {
		n := 0
		for range 100 {
			tb.Observe("e", engine.LoadReport{StartID: "two"})
			if tb.Acquire(req, limits).Reason == slot.Granted {
				n++
			}
		}
		return n
	}
	require.Equal(t, 2, countGranted())
	clk.Advance(31 * time.Second)
	require.Equal(t, 2, countGranted(), "the limit is twice ColdLimit, and two slots are in use")
	clk.Advance(time.Minute)
	require.Equal(t, 100, countGranted())
}
