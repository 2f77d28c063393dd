package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

func newReachFleet(ck *clockwork.FakeClock, endpoints int, changes *[]fleet.ReachChange) *fleet.Fleet {
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host", OnReachChange: func(rc fleet.ReachChange) { *changes = append(*changes, rc) }})
	for i := range endpoints {
		fl.Put(fleet.Entry{ID: fmt.Sprint("engine-", i), Service: "engines", Address: "10.0.0.1:1", Zone: "here"})
	}
	return fl
}

func TestHostIsCutOffWhenNoEndpointResponds(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ endpoints, silent int }{{2, 2}, {3, 3}, {4, 4}, {18, 4}} {
		ck := clockwork.NewFakeClock()
		var changes []fleet.ReachChange
		fl := newReachFleet(ck, tc.endpoints, &changes)
		for i := range tc.silent {
			require.False(t, fl.IsCutOff("engines"), "%d of %d", i, tc.endpoints)
			fl.Begin(fmt.Sprint("engine-", i), fleet.Load{}, 0).Silent()
			ck.Advance(100 * time.Millisecond)
		}
		require.True(t, fl.IsCutOff("engines"))
		require.False(t, fl.IsCutOff("desk"))
		require.Len(t, fl.CutOffSample(3)["engines"], min(3, tc.endpoints))
		fl.Begin("engine-0", fleet.Load{}, 0).Responded()
		require.False(t, fl.IsCutOff("engines"))
		require.Empty(t, fl.CutOffSample(3))
		require.Equal(t, []fleet.ReachChange{{Service: "engines", IsCutOff: true}, {Service: "engines", Lasted: 100 * time.Millisecond}}, changes)
	}
}

// Guards against taking silent endpoints for a cut link of this host.
func TestHostIsNotCutOffWhileAnyEndpointResponds(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	var changes []fleet.ReachChange
	fl := newReachFleet(ck, 18, &changes)
	for round := range 10 {
		for i := range 3 {
			fl.Begin(fmt.Sprint("engine-", (3*round+i)%18), fleet.Load{}, 0).Silent()
		}
		fl.Begin("engine-17", fleet.Load{}, 0).Responded()
	}
	for range 20 {
		fl.Begin("engine-0", fleet.Load{}, 0).Silent()
	}
	for i := range 8 {
		ck.Advance(2 * time.Second)
		fl.Begin(fmt.Sprint("engine-", i), fleet.Load{}, 0).Silent()
	}
	require.Empty(t, changes)
	single := newReachFleet(ck, 1, &changes)
	single.Begin("engine-0", fleet.Load{}, 0).Silent()
	require.False(t, single.IsCutOff("engines"))
}
