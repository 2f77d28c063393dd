package node_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
)

const softwareKey = "bergamotway/software/engines"

// awaitRecorded waits until the record of the engines names a software version.
func (env *testEnv) awaitRecorded(version string) {
	require.Eventually(env.t, func() bool { return strings.Contains(string(env.store.Value(softwareKey)), version) }, waitTimeout, pollInterval)
}

// awaitOnlyVersion waits until a host takes up streams of which it does not know what began them.
func (env *testEnv) awaitOnlyVersion(no *node.Node) {
	require.Eventually(env.t, func() bool { return env.takeUp(no, "", 2).status == http.StatusOK }, waitTimeout, pollInterval)
}

// beginStreams begins streams and returns the software version that began each, by its request.
func (env *testEnv) beginStreams(count int, hosts ...*node.Node) map[string]string {
	out := make(map[string]string)
	for i := range count {
		id := env.requestID()
		began := softwareOf(env.receiveEvents(hosts[i%len(hosts)], id, 2))
		require.Len(env.t, began, 1)
		out[id] = began[0]
	}
	return out
}

// takeUpAll takes streams up at a host, and returns how many go on. Those that do must go on at their software version.
func (env *testEnv) takeUpAll(no *node.Node, streams map[string]string) int {
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		received = make(map[string]response)
	)
	for id := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			re := env.takeUp(no, id, 2)
			mu.Lock()
			defer mu.Unlock()
			received[id] = re
		}()
	}
	wg.Wait()
	taken, joined := 0, 0
	for id, software := range streams {
		re := received[id]
		if re.status != http.StatusOK {
			require.Equal(env.t, http.StatusServiceUnavailable, re.status, re.body)
			continue
		}
		taken++
		for _, other := range softwareOf(re.body) {
			if other != software {
				joined++
			}
		}
	}
	env.t.Logf("%d take-ups, %d went on", len(streams), taken)
	require.Zero(env.t, joined, "streams went on at another software version, of %d", len(streams))
	return taken
}

// Guards against a host out of step that takes the software versions of before for those of now.
func TestHostOutOfStepDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	const hostCount, streamCount = 5, 16
	for _, tc := range []struct {
		name         string
		store, peers bool
		hangs, thaws bool
		minimum      int
	}{
		{name: "cut-off-from-store", store: true},
		{name: "store-hangs", store: true, hangs: true},
		{name: "cut-off-from-both", store: true, peers: true},
		{name: "both-hang", store: true, peers: true, hangs: true},
		{name: "just-thawed", store: true, peers: true, hangs: true, thaws: true, minimum: streamCount / 4},
		{name: "cut-off-from-others", peers: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, 0)
			env.startVersions(oldSoftware, 3)
			env.writeConfiguration()
			hosts, links := env.startLinkedHosts(hostCount, nil)
			env.awaitOnlyVersion(hosts[0])
			links[0].hangs = tc.hangs
			links[0].cutStore(tc.store)
			links[0].peersCut.Store(tc.peers)
			env.startVersions(newSoftware, 3)
			env.awaitRecorded(newSoftware)
			<-time.After(100 * time.Millisecond)
			streams := env.beginStreams(streamCount, hosts[1:]...)
			if tc.thaws {
				links[0].cutStore(false)
				links[0].peersCut.Store(false)
			}
			require.GreaterOrEqual(t, env.takeUpAll(hosts[0], streams), tc.minimum)
		})
	}
}

// Guards against refusing streams that hosts can vouch for.
func TestStreamsGoOnWhereHostsVouch(t *testing.T) {
	t.Parallel()
	const hostCount, streamCount = 5, 16
	for _, tc := range []struct {
		name         string
		store, peers []int
		hangs        bool
	}{
		{name: "calm"},
		{name: "one-cut-off-from-store", store: []int{0}},
		{name: "one-cut-off-from-others", peers: []int{0}},
		{name: "store-away-for-all", store: []int{0, 1, 2, 3, 4}},
		{name: "store-hangs-for-all", store: []int{0, 1, 2, 3, 4}, hangs: true},
		{name: "store-away-for-all-but-one", store: []int{0, 1, 2, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, 0)
			env.startVersions(oldSoftware, 3)
			env.writeConfiguration()
			hosts, links := env.startLinkedHosts(hostCount, nil)
			for _, no := range hosts {
				env.awaitOnlyVersion(no)
			}
			streams := env.beginStreams(streamCount, hosts[1:]...)
			for _, i := range tc.store {
				links[i].hangs = tc.hangs
				links[i].cutStore(true)
			}
			for _, i := range tc.peers {
				links[i].peersCut.Store(true)
			}
			require.GreaterOrEqual(t, env.takeUpAll(hosts[0], streams), streamCount*9/10)
		})
	}
}

// Guards against refusing streams of several versions at a host that only lacks the store.
func TestKeptStreamsGoOnWithoutStore(t *testing.T) {
	t.Parallel()
	const hostCount, streamCount = 5, 16
	env := newTestEnv(t, 0, 0)
	env.startVersions(oldSoftware, 3)
	env.startVersions(newSoftware, 3)
	env.writeConfiguration()
	hosts, links := env.startLinkedHosts(hostCount, nil)
	env.awaitRecorded(newSoftware)
	<-time.After(100 * time.Millisecond)
	streams := env.beginStreams(streamCount, hosts[1:]...)
	for _, hl := range links {
		hl.cutStore(true)
	}
	require.GreaterOrEqual(t, env.takeUpAll(hosts[0], streams), streamCount*9/10)
}

// Guards against a neighbour out of step that decides by itself where a stream goes on that the first host knows.
func TestNeighbourOutOfStepDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	const streamCount = 16
	for _, tc := range []struct {
		name             string
		isThawed         bool
		earlier          []int
		minimum, maximum int
	}{
		{name: "cut-off", minimum: 1, maximum: streamCount},
		{name: "thawed", isThawed: true, minimum: streamCount * 9 / 10, maximum: streamCount},
		{name: "earlier-version", earlier: []int{1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, 0)
			env.startVersions(oldSoftware, 3)
			env.writeConfiguration()
			dialer := &cutDialer{}
			hosts, links := env.startLinkedHosts(2, dialer, tc.earlier...)
			env.awaitOnlyVersion(hosts[1])
			links[1].cutStore(true)
			links[1].peersCut.Store(true)
			env.startVersions(newSoftware, 3)
			env.awaitRecorded(newSoftware)
			<-time.After(100 * time.Millisecond)
			streams := env.beginStreams(streamCount, hosts[0])
			dialer.set(linkRefuses)
			env.sendEvery(20*time.Millisecond, 400*time.Millisecond, "/query/1", hosts[0])
			if tc.isThawed {
				links[1].cutStore(false)
				links[1].peersCut.Store(false)
				<-time.After(1500 * time.Millisecond)
			}
			taken := env.takeUpAll(hosts[0], streams)
			require.GreaterOrEqual(t, taken, tc.minimum)
			require.LessOrEqual(t, taken, tc.maximum)
		})
	}
}
