package node_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
)

// Guards against hosts that lose power together and then crash engines again with a part that was blocked.
func TestPartStaysBlockedAfterAllHostsRestart(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 12, 0)
	env.writeConfiguration()
	for _, ep := range env.engines {
		ep.CrashOnPart(crashingPart)
	}
	names := []string{"host-0", "host-1"}
	var (
		hosts []*node.Node
		stops []context.CancelFunc
		round int
	)
	startAll := func() {
		hosts, stops = nil, nil
		for _, name := range names {
			no, stop := env.startHost(name)
			hosts, stops = append(hosts, no), append(stops, stop)
		}
		for _, no := range hosts {
			env.awaitReadiness(no, true)
		}
	}
	stopAll := func() {
		for _, stop := range stops {
			stop()
		}
	}
	defer func() { stopAll() }()
	startAll()
	require.Eventually(t, func() bool {
		round++
		env.sendMixedRequests(hosts, round)
		return len(env.crashingRuns()) > 0 && time.Since(env.crashingRuns()[0]) > contactTime &&
			!slices.ContainsFunc(hosts, func(no *node.Node) bool { return !env.refusesCrashingPart(no) })
	}, 2*waitTimeout, trafficInterval)
	runs := len(env.crashingRuns())
	blockedAt := time.Now()
	require.Eventually(t, func() bool {
		round++
		env.sendMixedRequests(hosts, round)
		return time.Since(blockedAt) > contactTime
	}, waitTimeout, trafficInterval)
	require.Equal(t, runs, len(env.crashingRuns()))

	stopAll()
	require.Eventually(t, func() bool { return env.registeredHosts() == 0 }, 2*waitTimeout, pollInterval)
	startAll()
	for _, no := range hosts {
		require.Empty(t, env.failedSoundRequests(no))
	}
	readyAt := time.Now()
	require.Eventually(t, func() bool {
		round++
		env.sendMixedRequests(hosts, round)
		return time.Since(readyAt) > contactTime
	}, waitTimeout, trafficInterval)
	require.Zero(t, len(env.crashingRuns())-runs, "requests with the part reached engines after the restart")
	for _, no := range hosts {
		require.Empty(t, env.failedSoundRequests(no))
	}
}
