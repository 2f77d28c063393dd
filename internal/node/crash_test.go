package node_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	// crashingPart is the ID of the prompt part that crashes engines.
	crashingPart = "dead01"
	// contactTime is the time after which hosts that are in contact must act on what others have seen.
	contactTime = 3 * time.Second
	// crashAllowance is the number of crashes that hosts need to recognise a part; lateRunAllowance bounds
	// the requests with it that reach engines later than contactTime after the last of these.
	crashAllowance   = 5
	lateRunAllowance = 3
	// engineDowntime is the time after which a crashed engine is started again.
	engineDowntime = time.Second
	// observationTime is how long requests with the part are sent after the first crash, and longer if the
	// last crash of the allowance happens late.
	observationTime = 6 * time.Second
	// trafficInterval is the pause between two rounds of requests.
	trafficInterval = 50 * time.Millisecond
)

// engineURIs has a URI on each route to engines: one whose requests run once, one whose requests are retried.
var engineURIs = []string{"/note/1", "/query/1"}

// Guards against a request that crashes every endpoint that runs it. The client may repeat it at any
// host; after two crashes no host may forward it.
func TestCrashingRequestIsRefusedByAllHosts(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 5)
	env.writeConfiguration()
	first, second := env.startReadyHost("host-1"), env.startReadyHost("host-2")
	rp := env.startRecordingPeer(2)
	for _, ep := range env.plainEndpoints {
		ep.InjectFaults(site.CrashOnRequest)
	}
	requestID := env.requestID()
	re := env.send(first, http.MethodPost, "/look/1", requestID, "poison", nil)
	require.Equal(t, http.StatusBadGateway, re.status)
	require.Len(t, env.runsOf(requestID), 2)
	for _, ep := range env.plainEndpoints {
		ep.ClearFaults()
	}
	require.Eventually(t, func() bool { return rp.crashes("host-2") == 2 }, waitTimeout, pollInterval)
	for _, no := range []*node.Node{first, second} {
		requestID = env.requestID()
		re = env.send(no, http.MethodPost, "/look/1", requestID, "poison", nil)
		require.Equal(t, http.StatusServiceUnavailable, re.status)
		require.Empty(t, env.runsOf(requestID))
		re = env.send(no, http.MethodPost, "/look/1", env.requestID(), "harmless", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}

// Guards against missing a crash under a stream without length, which ends like a complete one but inside an event.
func TestCrashInsideEventOfUndelimitedStreamIsReported(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 4, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, ep := range env.engines {
		ep.InjectFaults(site.CrashInsideEvent)
	}
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/query/1", requestID, "poison", promptHeaders())
	require.False(t, re.complete)
	require.Len(t, env.runsOf(requestID), 2)
	env.repairEndpoints()
	requestID = env.requestID()
	re = env.send(no, http.MethodPost, "/query/1", requestID, "poison", promptHeaders())
	require.Equal(t, http.StatusServiceUnavailable, re.status)
	require.Empty(t, env.runsOf(requestID))
	re = env.send(no, http.MethodPost, "/query/1", env.requestID(), "harmless", promptHeaders())
	require.Equal(t, http.StatusOK, re.status)
}

// Guards against quarantining a request for crashes that it did not cause: two endpoints crash while
// they run it, but others answer equal requests.
func TestUnrelatedCrashesDoNotQuarantineRequest(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 5)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for range 3 {
		env.repairEndpoints()
		for _, ep := range env.plainEndpoints {
			ep.InjectFaults(site.CrashOnRequest)
		}
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "same", nil)
		require.Equal(t, http.StatusBadGateway, re.status)
		env.repairEndpoints()
		re = env.send(no, http.MethodPost, "/pay/1", env.requestID(), "same", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
}

// Guards against recognising equal requests only: different ones with the same part crashed engine after engine.
func TestPartThatCrashesEnginesIsRefusedByAllHosts(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 12, 0)
	env.writeConfiguration()
	for _, ep := range env.engines {
		ep.CrashOnPart(crashingPart)
	}
	var (
		hosts []*node.Node
		stops []context.CancelFunc
		round int
	)
	// Hosts that stop at the same time end sooner than those that cleanups stop one by one.
	defer func() {
		for _, stop := range stops {
			stop()
		}
	}()
	startHosts := func(names ...string) {
		for _, name := range names {
			no, stop := env.startHost(name)
			hosts, stops = append(hosts, no), append(stops, stop)
		}
		for _, no := range hosts {
			env.awaitReadiness(no, true)
		}
	}
	startHosts("host-1", "host-2")
	for _, no := range hosts {
		require.Empty(t, env.failedSoundRequests(no))
	}
	require.Eventually(t, func() bool {
		round++
		env.sendMixedRequests(hosts, round)
		return env.isObserved()
	}, 4*waitTimeout, trafficInterval)
	require.LessOrEqual(t, env.lateCrashingRuns(), lateRunAllowance, "%d requests with the part reached engines in all", len(env.crashingRuns()))

	attacked := hosts
	startHosts("host-3", "host-4")
	readyAt := time.Now()
	require.Eventually(t, func() bool {
		round++
		env.sendMixedRequests(attacked, round)
		return time.Since(readyAt) > contactTime
	}, waitTimeout, trafficInterval)
	require.Eventually(t, func() bool {
		env.restartEngines(engineDowntime)
		return !slices.ContainsFunc(hosts, func(no *node.Node) bool { return !env.refusesCrashingPart(no) })
	}, waitTimeout, trafficInterval)
	require.LessOrEqual(t, env.lateCrashingRuns(), lateRunAllowance, "%d requests with the part reached engines in all", len(env.crashingRuns()))
	for _, no := range hosts {
		require.Empty(t, env.failedSoundRequests(no))
	}
}

// sendMixedRequests restarts the engines that crashed long enough ago, and sends a sound and a crashing request
// to each host on each route. The round selects their prompts.
func (env *testEnv) sendMixedRequests(hosts []*node.Node, round int) {
	env.restartEngines(engineDowntime)
	sound, crashing := env.soundPrompts(), env.crashingPrompts()
	for _, no := range hosts {
		for _, uri := range engineURIs {
			env.send(no, http.MethodPost, uri, env.requestID(), env.requestID(), sound[round%len(sound)])
			env.send(no, http.MethodPost, uri, env.requestID(), env.requestID(), crashing[round%len(crashing)])
		}
	}
}

// crashingPrompts returns the headers of requests with the crashing part, beside parts of sound requests and
// beside new ones.
func (env *testEnv) crashingPrompts() []map[string]string {
	return env.prompts(
		"aa01:300,"+crashingPart+":400,%x:200",
		"aa01:300,"+crashingPart+":400,5e55:200",
		"aa01:300,bb02:100,"+crashingPart+":400,%x:200",
		crashingPart+":400,%x:200",
		"%x:300,"+crashingPart+":400,5e55:100,%x:200",
	)
}

// soundPrompts returns the headers of requests that share their other parts with crashing ones.
func (env *testEnv) soundPrompts() []map[string]string {
	return env.prompts("aa01:300,5e55:200", "aa01:300,bb02:100,%x:200", "aa01:300,%x:400,5e55:200")
}

// prompts returns the headers of requests whose prompts have the given formats. Each verb is replaced by the
// ID of a new part.
func (env *testEnv) prompts(formats ...string) []map[string]string {
	out := make([]map[string]string, 0, len(formats))
	for _, format := range formats {
		hd, ids := promptHeaders(), make([]any, strings.Count(format, "%"))
		for i := range ids {
			ids[i] = 0xf00000 + env.lastID.Add(1)
		}
		hd["X-Prompt-Prefix"] = fmt.Sprintf(format, ids...)
		out = append(out, hd)
	}
	return out
}

// restartEngines starts the engines that crashed at least the downtime ago.
func (env *testEnv) restartEngines(downtime time.Duration) {
	for _, ep := range env.engines {
		if at := ep.StoppedAt(); !at.IsZero() && time.Since(at) >= downtime {
			require.NoError(env.t, ep.Restart())
			env.register(ep, "ready")
		}
	}
}

// crashingRuns returns the times at which requests with the crashing part reached engines, in ascending order.
func (env *testEnv) crashingRuns() []time.Time {
	var out []time.Time
	for _, ep := range env.engines {
		for _, rr := range ep.RecordedRequests() {
			if strings.Contains(rr.Header.Get("X-Prompt-Prefix"), crashingPart) {
				out = append(out, rr.ReceivedAt)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// isObserved reports whether requests with the crashing part have been sent for long enough.
func (env *testEnv) isObserved() bool {
	runs := env.crashingRuns()
	switch {
	case len(runs) == 0:
		return false
	case len(runs) < crashAllowance:
		return time.Since(runs[0]) > observationTime
	default:
		return time.Since(runs[crashAllowance-1]) > observationTime
	}
}

// lateCrashingRuns returns how many requests with the crashing part reached engines later than contactTime
// after the last crash of the allowance.
func (env *testEnv) lateCrashingRuns() int {
	runs := env.crashingRuns()
	if len(runs) < crashAllowance {
		return 0
	}
	deadline := runs[crashAllowance-1].Add(contactTime)
	count := 0
	for _, at := range runs {
		if at.After(deadline) {
			count++
		}
	}
	return count
}

// refusesCrashingPart reports whether a host refuses new requests with the crashing part on all routes.
func (env *testEnv) refusesCrashingPart(no *node.Node) bool {
	for _, hd := range env.crashingPrompts() {
		for _, uri := range engineURIs {
			requestID := env.requestID()
			re := env.send(no, http.MethodPost, uri, requestID, requestID, hd)
			if re.status != http.StatusServiceUnavailable || len(env.runsOf(requestID)) > 0 {
				return false
			}
		}
	}
	return true
}

// failedSoundRequests returns the prompts of the sound requests that a host does not answer at the first
// attempt.
func (env *testEnv) failedSoundRequests(no *node.Node) []string {
	var out []string
	for _, hd := range env.soundPrompts() {
		for _, uri := range engineURIs {
			requestID := env.requestID()
			re := env.send(no, http.MethodPost, uri, requestID, requestID, hd)
			if re.status != http.StatusOK || !re.complete || len(env.runsOf(requestID)) != 1 {
				out = append(out, uri+" "+hd["X-Prompt-Prefix"]+" "+re.body)
			}
		}
	}
	return out
}
