package fleet_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

// begins reports whether an endpoint gets a request, which has run when it returns.
func begins(fl *fleet.Fleet, ck *clockwork.FakeClock, id string) bool {
	sentAt := ck.Now()
	fi := fl.Begin(id, fleet.Load{Requests: 1}, 0)
	if fi == nil {
		return false
	}
	fl.RecordStatement(id, 1, fleet.Statement{}, sentAt, true)
	fi.End(fleet.Succeeded, 0)
	return true
}

// Guards against an endpoint that said that it leaves and gets requests again, since an entry that arrives later calls it ready.
func TestLeavingOutlastsEntries(t *testing.T) {
	leave := map[string]func(*fleet.Fleet){
		"response": func(fl *fleet.Fleet) { fl.RecordStatement("a", 1, fleet.Statement{IsLeaving: true}, time.Time{}, true) },
		"peer": func(fl *fleet.Fleet) {
			fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, IsLeaving: true})
		},
		"peer, without entry": func(fl *fleet.Fleet) {
			fl.Remove("a")
			fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, IsLeaving: true})
		},
	}
	for name, say := range leave {
		t.Run(name, func(t *testing.T) {
			ck := clockwork.NewFakeClock()
			fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
			fl.Put(newEntry("a"))
			say(fl)
			for _, disturb := range []func(){
				func() {},
				func() { fl.Put(newEntry("a")) },
				func() {
					fl.Remove("a")
					ck.Advance(5 * time.Minute)
					fl.Put(newEntry("a"))
				},
				func() {
					fl.Replace(nil)
					fl.Replace([]fleet.Entry{newEntry("a")})
				},
				func() { fl.ReplaceRestored([]fleet.Entry{newEntry("a")}) },
				fl.StoreLost,
			} {
				disturb()
				require.False(t, begins(fl, ck, "a"))
				require.Empty(t, fl.Sample("engines", "", "key", 8))
			}
			restarted := newEntry("a")
			restarted.StartTimeMs = 2
			fl.Put(restarted)
			require.Len(t, fl.Sample("engines", "", "key", 8), 1)
		})
	}
}

// Guards against a statement about an earlier start that makes a host forget that a later one has left.
func TestLeavingOfEarlierStartChangesNothing(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	later := newEntry("a")
	later.StartTimeMs = 2
	fl.Put(later)
	fl.Remove("a")
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, IsLeaving: true})
	fl.ReplaceRestored([]fleet.Entry{later})
	require.Empty(t, fl.Views("engines"), "the entry of the copy is that of an endpoint that has left")
	fl.Put(later)
	require.Len(t, fl.Views("engines"), 1)
}

// Guards against requests before the end of a wait, and against many at once after it.
func TestWaitEndsWithOneRequest(t *testing.T) {
	ck := clockwork.NewFakeClock()
	var changes []fleet.StatementChange
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host", OnStatementChange: func(sc fleet.StatementChange) { changes = append(changes, sc) }})
	fl.Put(newEntry("a"))
	before := fl.Begin("a", fleet.Load{Requests: 1}, 0)
	sentBefore := ck.Now()
	for _, wait := range []time.Duration{3 * time.Second, time.Second} {
		fl.RecordStatement("a", 1, fleet.Statement{Wait: wait}, ck.Now(), false)
	}
	// A request that was sent before does not end the wait.
	fl.RecordStatement("a", 1, fleet.Statement{}, sentBefore, true)
	before.End(fleet.Succeeded, 0)
	for range 30 {
		d, ok := fl.UntilAvailable("engines")
		require.True(t, ok)
		require.Positive(t, d)
		require.False(t, begins(fl, ck, "a"))
		require.Empty(t, fl.Sample("engines", "", "key", 8))
		ck.Advance(100 * time.Millisecond)
	}
	first := fl.Begin("a", fleet.Load{Requests: 1}, 0)
	require.NotNil(t, first)
	require.False(t, begins(fl, ck, "a"), "one request at a time until one has run")
	first.End(fleet.Failed, 0)
	second := fl.Begin("a", fleet.Load{Requests: 1}, 0)
	require.NotNil(t, second)
	fl.RecordStatement("a", 1, fleet.Statement{}, ck.Now(), true)
	require.True(t, begins(fl, ck, "a"), "its response has begun")
	second.End(fleet.Succeeded, 0)
	require.Equal(t, []fleet.StatementChange{
		{Kind: fleet.WaitStatement, Endpoint: "a", Service: "engines", Wait: 3 * time.Second, AsOf: sentBefore},
		{Kind: fleet.WaitStatement, Endpoint: "a", Service: "engines", AsOf: ck.Now(), HasEnded: true},
	}, changes)
}

// Guards against an endpoint that is out of use for a thousand years because it said so once.
func TestWaitIsBounded(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	fl.Put(newEntry("a"))
	fl.RecordStatement("a", 1, fleet.Statement{Wait: 1e6 * time.Second}, ck.Now(), false)
	ck.Advance(9 * time.Minute)
	require.False(t, begins(fl, ck, "a"))
	ck.Advance(time.Minute)
	require.True(t, begins(fl, ck, "a"))
}

// Guards against all hosts being kept from an endpoint that only one of them is to wait for, and against hosts that don't know.
func TestWaitOfPeerIsAvoidance(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	fl.Put(newEntry("a"))
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, WaitUntil: ck.Now().Add(time.Hour)})
	require.True(t, fl.Views("engines")[0].Avoided)
	require.True(t, begins(fl, ck, "a"))
	require.Empty(t, fl.Statements())
	ck.Advance(3 * time.Second)
	require.False(t, fl.Views("engines")[0].Avoided)
}

func TestStatementCountsFollowWhatHolds(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	for _, id := range []string{"a", "b", "c"} {
		fl.Put(newEntry(id))
	}
	counts := func() []int {
		var out []int
		for _, sc := range fl.StatementCounts() {
			require.Equal(t, "engines", sc.Service)
			out = append(out, sc.Endpoints)
		}
		return out
	}
	require.Equal(t, []int{0, 0, 0, 0}, counts())
	recordLimit(fl, "a", 1, 3)
	fl.RecordStatement("b", 1, fleet.Statement{IsLeaving: true}, ck.Now(), true)
	fl.RecordStatement("c", 1, fleet.Statement{Wait: time.Second}, ck.Now(), false)
	fl.RecordStatement("b", 1, fleet.Statement{IsBrittle: true, Rejections: 3}, ck.Now(), true)
	require.Equal(t, []int{1, 1, 1, 1}, counts())
	ck.Advance(time.Second)
	recordNoLimit(fl, "a", 1, ck.Now())
	recordNoLimit(fl, "b", 1, ck.Now())
	require.Equal(t, []int{0, 1, 0, 0}, counts())
}
