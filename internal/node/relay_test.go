package node_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// probedEndpoints is how many endpoints a cut host probes at a time.
const probedEndpoints = 3

// startCutHost starts a host that is cut off from all endpoints, and other hosts that reach them. The cut host knows of its cut.
func (env *testEnv) startCutHost(others int) (cut *node.Node, link *cutDialer, neighbours []*node.Node) {
	link = &cutDialer{}
	cut, _ = env.startHostWithDialer("host-0", link)
	env.awaitReadiness(cut, true)
	for i := range others {
		neighbours = append(neighbours, env.startReadyHost("host-"+strconv.Itoa(i+1)))
	}
	env.awaitHosts(others + 1)
	link.set(linkRefuses)
	for _, uri := range []string{"/look/1", "/query/1"} {
		env.sendEvery(20*time.Millisecond, 400*time.Millisecond, uri, cut)
	}
	return cut, link, neighbours
}

// Guards against a request that reaches its endpoint through a neighbour as something else than the client sent.
func TestRequestThroughNeighbourIsTheClients(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3, 3)
	env.writeConfiguration()
	cut, _, _ := env.startCutHost(2)
	for _, uri := range []string{"/pay/a%2Fb?x=1&y=%20", "/query/1"} {
		id := env.requestID()
		hd := promptHeaders()
		hd["X-Own"], hd["Bergamotway-Attempts"], hd["X-Tenant"] = "kept", "7", "forged"
		re := env.send(cut, http.MethodPost, uri, id, "the body", hd)
		require.Equal(t, http.StatusOK, re.status, re.body)
		require.True(t, re.complete)
		require.NotEmpty(t, re.header.Get("X-Response-Seal"))
		runs := env.runsOf(id)
		require.Len(t, runs, 1)
		require.Equal(t, uri, runs[0].URI)
		require.Equal(t, "the body", runs[0].Body)
		require.Equal(t, "kept", runs[0].Header.Get("X-Own"))
		require.Equal(t, "team", runs[0].Header.Get("X-Tenant"))
		require.Empty(t, runs[0].Header.Get("X-Api-Key"))
		require.Empty(t, runs[0].Header.Get("Bergamotway-Attempts"))
		left, err := strconv.Atoi(runs[0].Header.Get("X-Deadline-Ms"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, int(requestTimeout.Milliseconds()))
		require.Greater(t, left, int(requestTimeout.Milliseconds())-1000)
	}
	re := env.send(cut, http.MethodPost, "/pay/1", env.requestID(), "", map[string]string{"X-Api-Key": "unknown"})
	require.Equal(t, http.StatusUnauthorized, re.status)
}

// Guards against a run at an endpoint that goes on after the client of a cut host has left.
func TestDisconnectIsPassedOnThroughNeighbour(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3, 0)
	env.writeConfiguration()
	cut, _, _ := env.startCutHost(1)
	for _, ep := range env.engines {
		ep.InjectFaults(site.NeverRespond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	env.sendContext(ctx, cut, http.MethodPost, "/note/1", env.requestID(), "", promptHeaders())
	require.Eventually(t, func() bool {
		abandoned := 0
		for _, ep := range env.engines {
			abandoned += ep.AbandonedCount()
		}
		return abandoned > 0
	}, 500*time.Millisecond, pollInterval)
}

// Guards against events of a stream that wait at a host on their way.
func TestEventsPassThroughNeighbourAsTheyArrive(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.startVersions(oldSoftware, 2)
	env.writeConfiguration()
	cut, _, _ := env.startCutHost(1)
	id := env.requestID()
	require.Equal(t, []string{oldSoftware}, softwareOf(env.receiveEvents(cut, id, 2)))
	for _, rr := range env.runsOf(id) {
		require.Less(t, time.Since(rr.ReceivedAt), time.Second)
	}
}

// Guards against hosts that are cut off and pass requests back and forth, or hold them.
func TestHostsThatAreAllCutOffRefuseAtOnce(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 4, 3)
	env.writeConfiguration()
	var hosts []*node.Node
	for i := range 3 {
		link := &cutDialer{}
		no, _ := env.startHostWithDialer("host-"+strconv.Itoa(i), link)
		env.awaitReadiness(no, true)
		link.set(linkHangs)
		hosts = append(hosts, no)
	}
	env.awaitHosts(3)
	env.sendEvery(20*time.Millisecond, 2*time.Second, "/pay/1", hosts...)
	for _, no := range hosts {
		started := time.Now()
		id := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", id, "", nil)
		require.Equal(t, http.StatusServiceUnavailable, re.status)
		require.Less(t, time.Since(started), 400*time.Millisecond)
		require.Empty(t, env.runsOf(id))
	}
}

// Guards against a failure without a seal that a cut host takes for a refusal of its neighbour, and sends the request again.
func TestUnsealedFailureThroughNeighbourIsNotRunAgain(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 3)
	env.writeConfiguration()
	cut, _, _ := env.startCutHost(2)
	for _, faults := range [][]site.EndpointFault{{site.OmitSeal}, {site.InternalError}, {site.ResetConnection}, {site.TruncateResponse}} {
		for _, ep := range env.plainEndpoints {
			ep.ClearFaults()
			ep.InjectFaults(faults...)
		}
		id := env.requestID()
		re := env.send(cut, http.MethodPost, "/pay/1", id, "", nil)
		require.NotContains(t, []int{408, 421, 429, 503}, re.status)
		require.Len(t, env.runsOf(id), 1)
	}
}

// Guards against a host that goes on sending its requests through others after its links are back.
func TestHostServesItselfAfterCut(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 3)
	env.writeConfiguration()
	cut, link, neighbours := env.startCutHost(1)
	require.Equal(t, http.StatusOK, env.send(cut, http.MethodPost, "/pay/1", env.requestID(), "", nil).status)
	before := link.opened.Load()
	link.set(linkUp)
	require.Eventually(t, func() bool {
		env.send(cut, http.MethodPost, "/pay/1", env.requestID(), "", nil)
		// One connection is the probe that notices the end of the cut.
		return link.opened.Load() > before+probedEndpoints
	}, waitTimeout, 20*time.Millisecond)
	require.Equal(t, http.StatusOK, env.send(neighbours[0], http.MethodPost, "/pay/1", env.requestID(), "", nil).status)
}
