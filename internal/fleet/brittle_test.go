package fleet_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

func newBrittleFleet(ck *clockwork.FakeClock, hosts ...string) *fleet.Fleet {
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	fl.SetHosts(append([]string{"host"}, hosts...))
	en := newEntry("a")
	en.Slots = 3
	fl.Put(en)
	return fl
}

// Guards against filling the queue of an endpoint that falls over when it has to turn requests away.
func TestBrittleEndpointGetsNoMoreThanItsSlots(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	fl := newBrittleFleet(ck, "other")
	fl.RecordStatement("a", 1, fleet.Statement{IsBrittle: true, Rejections: 4}, ck.Now(), true)
	fl.SetPeerLoads("other", func(uint64) (fleet.Load, bool) { return fleet.Load{Requests: 2}, true })
	require.NotNil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0))
	require.Nil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0))
	require.Empty(t, fl.Sample("engines", "", "key", 8))
	wait, ok := fl.UntilAvailable("engines")
	require.True(t, ok)
	require.Positive(t, wait)
	ck.Advance(time.Second)
	fl.RecordStatement("a", 1, fleet.Statement{}, ck.Now(), true)
	require.NotNil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0))
}

// Guards against hosts that each have a brittle endpoint turn away as many requests as it bears in all.
func TestRejectionOfBrittleEndpointHoldsAllHosts(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	one, other := newBrittleFleet(ck, "other"), newBrittleFleet(ck, "other")
	one.RecordStatement("a", 1, fleet.Statement{IsBrittle: true, Rejections: 4}, ck.Now(), true)
	one.MarkRejecting("a", time.Millisecond)
	require.Empty(t, one.Sample("engines", "", "key", 8))
	for _, ps := range one.Statements() {
		other.MergeStatement(ps)
	}
	require.Nil(t, other.Begin("a", fleet.Load{Requests: 1}, 0))
	ck.Advance(time.Second)
	require.NotNil(t, one.Begin("a", fleet.Load{Requests: 1}, 0))
	require.NotNil(t, other.Begin("a", fleet.Load{Requests: 1}, 0))
	require.Empty(t, other.Statements(), "a statement is passed on only by the host that heard it")
}

// Guards against a late response that takes a brittle endpoint for a sound one.
func TestLateResponseDoesNotEndBrittleness(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	fl := newBrittleFleet(ck)
	sentAt := ck.Now()
	ck.Advance(time.Second)
	fl.RecordStatement("a", 1, fleet.Statement{IsBrittle: true}, ck.Now(), false)
	fl.RecordStatement("a", 1, fleet.Statement{}, sentAt, true)
	for range 3 {
		require.NotNil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0))
	}
	require.Nil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0))
	ck.Advance(time.Minute)
	require.NotNil(t, fl.Begin("a", fleet.Load{Requests: 1}, 0), "forgotten")
}
