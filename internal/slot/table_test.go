package slot_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/slot"
)

type fakeAuthority bool

func (a *fakeAuthority) IsSettled(string) bool { return bool(*a) }

var limits = slot.Limits{ColdLimit: 2, ColdTime: 30 * time.Second, PrefillRate: 1000}

func newWarmTable() (*slot.Table, *clockwork.FakeClock, *fakeAuthority) {
	clk := clockwork.NewFakeClock()
	au := new(fakeAuthority)
	tb := slot.NewTable(clk, au)
	tb.Observe("e", engine.Load{StartID: "one", UptimeMs: time.Hour.Milliseconds()})
	return tb, clk, au
}

func TestUnconfirmedGrantsAreLimitedToColdLimit(t *testing.T) {
	tb, _, _ := newWarmTable()
	ask := slot.Ask{Endpoint: "e", Host: "h", Tokens: 10}
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.Unconfirmed, tb.Take(ask, limits).Reason)
	tb.Observe("e", engine.Load{StartID: "one"})
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
}

func TestLateReleaseOfPreviousStartIsIgnored(t *testing.T) {
	tb, clk, au := newWarmTable()
	old := tb.Take(slot.Ask{Endpoint: "e", Host: "h"}, limits)
	clk.Advance(time.Second)
	require.True(t, tb.Observe("e", engine.Load{StartID: "two"}))
	require.True(t, tb.IsCold("e", limits))
	tb.Release(slot.Release{Endpoint: "e", Grant: old.Grant, StartID: "one"}, limits)
	require.True(t, tb.IsCold("e", limits), "a late release of the previous start must not end the cold start")
	*au = true
	require.Equal(t, "two", tb.Take(slot.Ask{Endpoint: "e", Host: "h"}, limits).StartID)
}

func TestColdEndpointRequiresLease(t *testing.T) {
	tb, clk, au := newWarmTable()
	clk.Advance(time.Second)
	tb.Observe("e", engine.Load{StartID: "two"})
	ask := slot.Ask{Endpoint: "e", Host: "h"}
	require.Equal(t, slot.NoAuthority, tb.Take(ask, limits).Reason)
	*au = true
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.ColdFull, tb.Take(ask, limits).Reason)
	tb.DropHost("h")
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
}

func TestNewOwnerCountsOrphanedRuns(t *testing.T) {
	clk := clockwork.NewFakeClock()
	au := fakeAuthority(true)
	tb := slot.NewTable(clk, &au)
	tb.Observe("e", engine.Load{StartID: "one", Running: 1})
	ask := slot.Ask{Endpoint: "e", Host: "h"}
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.ColdFull, tb.Take(ask, limits).Reason, "one run granted by the previous owner is still active")
	tb.Observe("e", engine.Load{StartID: "one", Running: 0})
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
}

func TestSuspectsNeverShareEndpoint(t *testing.T) {
	tb, _, _ := newWarmTable()
	ask := slot.Ask{Endpoint: "e", Host: "h", IsSuspect: true}
	require.Equal(t, slot.Granted, tb.Take(ask, limits).Reason)
	require.Equal(t, slot.SuspectRunning, tb.Take(ask, limits).Reason)
}

func TestRampAfterColdStart(t *testing.T) {
	tb, clk, au := newWarmTable()
	clk.Advance(time.Second)
	tb.Observe("e", engine.Load{StartID: "two"})
	*au = true
	ask := slot.Ask{Endpoint: "e", Host: "h"}
	countGranted := func() int {
		n := 0
		for range 100 {
			tb.Observe("e", engine.Load{StartID: "two"})
			if tb.Take(ask, limits).Reason == slot.Granted {
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
