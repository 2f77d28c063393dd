package session_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/membership"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

func hostNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("entry-%d", i+1))
	}
	return out
}

func (w *world) awaitLive(t *testing.T, limit time.Duration, hosts []string, want int) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		agreed := 0
		for _, name := range hosts {
			if len(w.nodes[name].control.Table.View().Names()) == want {
				agreed++
			}
		}
		if agreed == len(hosts) {
			return
		}
		require.True(t, time.Now().Before(deadline), "%d of %d hosts know %d live ones", agreed, len(hosts), want)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestDeathIsKnownEverywhere kills a host; a host with the same address comes back.
func TestDeathIsKnownEverywhere(t *testing.T) {
	run(t, func(w *world) {
		names := hostNames(24)
		w.start(document("mid-a"), names...)
		w.awaitLive(t, 20*time.Second, names, 24)
		dead := w.nodes["entry-7"]
		dead.stop()
		live := append(append([]string{}, names[:6]...), names[7:]...)
		w.awaitLive(t, 10*time.Second, live, 23)
		time.Sleep(time.Minute)
		w.startNode("entry-7", dead.address)
		w.awaitLive(t, 15*time.Second, names, 24)
	})
}

// TestPausedHostRefutes freezes a host until it counts as dead. When it wakes it is not ready until
// it has heard of the others, and they count it as live again.
func TestPausedHostRefutes(t *testing.T) {
	run(t, func(w *world) {
		names := hostNames(6)
		w.start(document("mid-a"), names...)
		nd := w.nodes["entry-3"]
		nd.set(func() { nd.isFrozen = true })
		rest := append(append([]string{}, names[:2]...), names[3:]...)
		w.awaitLive(t, 15*time.Second, rest, 5)
		require.Equal(t, refusal.NotReady, codeOf(nd.control.Ready()), "a host that missed the last seconds takes no work")
		nd.set(func() { nd.isFrozen = false })
		w.awaitLive(t, 20*time.Second, names, 6)
		require.NoError(t, nd.control.Ready())
	})
}

// TestPartitionHeals cuts two halves from each other, one of them also from the platform.
func TestPartitionHeals(t *testing.T) {
	run(t, func(w *world) {
		names := hostNames(8)
		w.start(document("mid-a"), names...)
		w.cutHalves(names[:4], names[4:], true)
		w.awaitLive(t, 20*time.Second, names, 4)
		_, err := w.nodes["entry-1"].ask("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		_, err = w.nodes["entry-8"].ask("q2", tokenHartlebury, "crew", "hello")
		require.NoError(t, err, "chat goes on on the side without the platform")
		_, err = w.nodes["entry-8"].book(tokenHartlebury, "visit", "monday")
		require.Equal(t, refusal.LedgerUnavailable, codeOf(err))
		w.order(func(doc *configuration.Document) { doc.Models[0].Window = 5000 })
		w.cutHalves(names[:4], names[4:], false)
		w.awaitLive(t, 30*time.Second, names, 8)
		time.Sleep(3 * time.Second)
		for _, name := range names {
			require.EqualValues(t, 2, w.nodes[name].control.Keeper.Revision(), name)
		}
	})
}

func (w *world) cutHalves(a, b []string, isCut bool) {
	for _, x := range a {
		for _, y := range b {
			w.nodes[x].set(func() { w.nodes[x].cut[y] = isCut })
		}
	}
	for _, y := range b {
		w.nodes[y].set(func() { w.nodes[y].cut["platform"] = isCut })
	}
}

// TestLeavingHostIsKnownAtOnce stops a host as planned.
func TestLeavingHostIsKnownAtOnce(t *testing.T) {
	run(t, func(w *world) {
		names := hostNames(6)
		w.start(document("mid-a"), names...)
		nd := w.nodes["entry-2"]
		nd.control.Leave(context.Background())
		nd.stop()
		rest := append(append([]string{}, names[:1]...), names[2:]...)
		w.awaitLive(t, 2*time.Second, rest, 5)
		for _, m := range w.nodes["entry-1"].control.Table.Members() {
			if m.Name == "entry-2" {
				require.Equal(t, membership.Left, m.State)
			}
		}
	})
}

// TestConfigurationInForceEverywhere changes the configuration while watches are silent on one
// host in ten and one host is dead, and later while each host sees one path only.
func TestConfigurationInForceEverywhere(t *testing.T) {
	run(t, func(w *world) {
		names := hostNames(30)
		w.start(document("mid-a"), names...)
		w.nodes["entry-30"].stop()
		live := names[:29]
		// Three hosts hear the platform only, three hear their peers only.
		for i, name := range live[:6] {
			nd := w.nodes[name]
			if i < 3 {
				nd.set(func() { nd.cut["platform"] = true })
				continue
			}
			for _, other := range live {
				nd.set(func() { nd.cut[other] = other != name })
			}
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		w.order(func(doc *configuration.Document) { doc.Models[0].Window = 5000 })
		for _, name := range live {
			for w.nodes[name].control.Keeper.Revision() < 2 {
				require.Less(t, time.Since(began), 3*time.Second, name)
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestOperatorsRace lets two operators change the same revision: the loser is told who won.
func TestOperatorsRace(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1")
		_, err := w.change("late", func(doc *configuration.Document) error {
			_, innerErr := w.change("early", func(inner *configuration.Document) error {
				inner.Zones[0].Out = true
				return nil
			})
			require.NoError(t, innerErr)
			doc.Models[0].Window = 5000
			return nil
		})
		var race *configuration.RaceError
		require.ErrorAs(t, err, &race)
		require.Equal(t, "early", race.Winner())
	})
}

// TestChangeWithLostAnswer loses the answer to an accepted change. The truth is reported: the fate
// is not known, or the change is accepted; it never reverts.
func TestChangeWithLostAnswer(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		before := w.nodes["entry-1"].control.Keeper.Revision()
		w.kv.set(func() { w.kv.loseAnswers = 9 })
		_, err := w.change("operator", func(doc *configuration.Document) error {
			doc.Zones[0].Out = true
			return nil
		})
		require.Error(t, err)
		w.kv.set(func() { w.kv.loseAnswers = 0 })
		time.Sleep(3 * time.Second)
		for range 100 {
			revision := w.nodes["entry-2"].control.Keeper.Revision()
			require.GreaterOrEqual(t, revision, before)
			before = revision
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestHostRestartedDuringOutage starts a host while the platform is down: it learns the newest
// revision from a peer, and one without a peer stays not ready.
func TestHostRestartedDuringOutage(t *testing.T) {
	run(t, func(w *world) {
		w.start(document("mid-a"), "entry-1", "entry-2")
		w.kv.set(func() { w.kv.isDown = true })
		w.startNode("entry-3", "10.0.1.3:70")
		alone := w.startNode("entry-4", "10.0.1.4:70")
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			alone.set(func() { alone.cut[name] = true })
		}
		time.Sleep(5 * time.Second)
		require.NoError(t, w.nodes["entry-3"].control.Ready())
		require.EqualValues(t, 1, w.nodes["entry-3"].control.Keeper.Revision())
		require.Equal(t, refusal.NotReady, codeOf(alone.control.Ready()))
	})
}
