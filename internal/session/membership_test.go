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

// hostNames returns the names of n hosts, from entry-1 on.
func hostNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("entry-%d", i+1))
	}
	return out
}

// awaitLiveCount waits until each of the hosts sees wantLive live hosts, and fails the test after timeout.
func (fl *fleet) awaitLiveCount(t *testing.T, timeout time.Duration, hosts []string, wantLive int) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		agreed := 0
		for _, name := range hosts {
			if len(fl.nodes[name].controlPlane.Membership.View().Names()) == wantLive {
				agreed++
			}
		}
		if agreed == len(hosts) {
			return
		}
		require.True(t, time.Now().Before(deadline), "%d of %d hosts see %d live hosts", agreed, len(hosts), wantLive)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestAllHostsDetectDeadHost kills a host and later starts one with the same name and address. All
// others must see it as dead, and then as live again.
func TestAllHostsDetectDeadHost(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		names := hostNames(24)
		fl.start(newDocument("mid-a"), names...)
		fl.awaitLiveCount(t, 20*time.Second, names, 24)
		dead := fl.nodes["entry-7"]
		dead.kill()
		live := append(append([]string{}, names[:6]...), names[7:]...)
		fl.awaitLiveCount(t, 10*time.Second, live, 23)
		time.Sleep(time.Minute)
		fl.startNode("entry-7", dead.address)
		fl.awaitLiveCount(t, 15*time.Second, names, 24)
	})
}

// TestFrozenHostRefutesItsDeath freezes a host until the others count it as dead. The frozen host must
// not be ready. Once resumed it must hear from the others, refute its death and become ready.
func TestFrozenHostRefutesItsDeath(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		names := hostNames(6)
		fl.start(newDocument("mid-a"), names...)
		nd := fl.nodes["entry-3"]
		nd.withLock(func() { nd.isFrozen = true })
		others := append(append([]string{}, names[:2]...), names[3:]...)
		fl.awaitLiveCount(t, 15*time.Second, others, 5)
		require.Equal(t, refusal.NotReady, codeOf(nd.controlPlane.Ready()), "a host that may have missed changes must not be ready")
		nd.withLock(func() { nd.isFrozen = false })
		fl.awaitLiveCount(t, 20*time.Second, names, 6)
		require.NoError(t, nd.controlPlane.Ready())
	})
}

// TestPartitionHeals separates two halves of the hosts, one of them also from the platform. Both must
// go on with chat, and agree on members and configuration once the partition ends.
func TestPartitionHeals(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		names := hostNames(8)
		fl.start(newDocument("mid-a"), names...)
		fl.setPartition(names[:4], names[4:], true)
		fl.awaitLiveCount(t, 20*time.Second, names, 4)
		_, err := fl.nodes["entry-1"].sendChat("q1", tokenHartlebury, "crew", "hello")
		require.NoError(t, err)
		_, err = fl.nodes["entry-8"].sendChat("q2", tokenHartlebury, "crew", "hello")
		require.NoError(t, err, "chat goes on in the half without the platform")
		_, err = fl.nodes["entry-8"].sendBooking(tokenHartlebury, "visit", "monday")
		require.Equal(t, refusal.LedgerUnavailable, codeOf(err))
		fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].ContextWindow = 5000 })
		fl.setPartition(names[:4], names[4:], false)
		fl.awaitLiveCount(t, 30*time.Second, names, 8)
		time.Sleep(3 * time.Second)
		for _, name := range names {
			require.EqualValues(t, 2, fl.nodes[name].controlPlane.Configuration.Revision(), name)
		}
	})
}

// setPartition cuts all links between two groups of hosts, and between the second group and the
// platform, or restores them.
func (fl *fleet) setPartition(side, otherSide []string, isCut bool) {
	for _, x := range side {
		for _, y := range otherSide {
			fl.nodes[x].withLock(func() { fl.nodes[x].cutFrom[y] = isCut })
		}
	}
	for _, y := range otherSide {
		fl.nodes[y].withLock(func() { fl.nodes[y].cutFrom["platform"] = isCut })
	}
}

// TestPlannedLeaveReachesPeersAtOnce stops a host after a planned leave. The others must see it as left
// within 2 s, without waiting until it counts as dead.
func TestPlannedLeaveReachesPeersAtOnce(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		names := hostNames(6)
		fl.start(newDocument("mid-a"), names...)
		nd := fl.nodes["entry-2"]
		nd.controlPlane.Leave(context.Background())
		nd.kill()
		others := append(append([]string{}, names[:1]...), names[2:]...)
		fl.awaitLiveCount(t, 2*time.Second, others, 5)
		for _, m := range fl.nodes["entry-1"].controlPlane.Membership.Members() {
			if m.Name == "entry-2" {
				require.Equal(t, membership.Left, m.State)
			}
		}
	})
}

// TestConfigurationInForceEverywhere changes the configuration while one of 30 hosts is dead, three can't
// reach the platform and three can't reach their peers. All live hosts must apply it within 3 s.
func TestConfigurationInForceEverywhere(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		names := hostNames(30)
		fl.start(newDocument("mid-a"), names...)
		fl.nodes["entry-30"].kill()
		live := names[:29]
		// The first three hosts reach only their peers, the next three only the platform.
		for i, name := range live[:6] {
			nd := fl.nodes[name]
			if i < 3 {
				nd.withLock(func() { nd.cutFrom["platform"] = true })
				continue
			}
			for _, other := range live {
				nd.withLock(func() { nd.cutFrom[other] = other != name })
			}
		}
		time.Sleep(3 * time.Second)
		began := time.Now()
		fl.mustChangeConfiguration(func(doc *configuration.Document) { doc.Models[0].ContextWindow = 5000 })
		for _, name := range live {
			for fl.nodes[name].controlPlane.Configuration.Revision() < 2 {
				require.Less(t, time.Since(began), 3*time.Second, name)
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}

// TestConflictErrorNamesAcceptedAuthor lets two operators change the same revision. The error of the second
// must name the author of the change that was accepted.
func TestConflictErrorNamesAcceptedAuthor(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1")
		_, err := fl.changeConfiguration("late", func(doc *configuration.Document) error {
			_, innerErr := fl.changeConfiguration("early", func(inner *configuration.Document) error {
				inner.Zones[0].OutOfService = true
				return nil
			})
			require.NoError(t, innerErr)
			doc.Models[0].ContextWindow = 5000
			return nil
		})
		var conflict *configuration.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "early", conflict.Author())
	})
}

// TestChangeWithLostResponse loses the responses to a change that takes effect. The operator must get an
// error, since the outcome is unknown, and the revision on the hosts must never go back.
func TestChangeWithLostResponse(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		before := fl.nodes["entry-1"].controlPlane.Configuration.Revision()
		fl.platform.withLock(func() { fl.platform.responsesToLose = 9 })
		_, err := fl.changeConfiguration("operator", func(doc *configuration.Document) error {
			doc.Zones[0].OutOfService = true
			return nil
		})
		require.Error(t, err)
		fl.platform.withLock(func() { fl.platform.responsesToLose = 0 })
		time.Sleep(3 * time.Second)
		for range 100 {
			revision := fl.nodes["entry-2"].controlPlane.Configuration.Revision()
			require.GreaterOrEqual(t, revision, before)
			before = revision
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestHostRestartedDuringOutage starts two hosts while the platform is down. One must get the newest
// configuration from a peer; the other reaches no peer and must stay not ready.
func TestHostRestartedDuringOutage(t *testing.T) {
	runScenario(t, func(fl *fleet) {
		fl.start(newDocument("mid-a"), "entry-1", "entry-2")
		fl.platform.withLock(func() { fl.platform.isDown = true })
		fl.startNode("entry-3", "10.0.1.3:70")
		alone := fl.startNode("entry-4", "10.0.1.4:70")
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			alone.withLock(func() { alone.cutFrom[name] = true })
		}
		time.Sleep(5 * time.Second)
		require.NoError(t, fl.nodes["entry-3"].controlPlane.Ready())
		require.EqualValues(t, 1, fl.nodes["entry-3"].controlPlane.Configuration.Revision())
		require.Equal(t, refusal.NotReady, codeOf(alone.controlPlane.Ready()))
	})
}
