package node_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	oldSoftware, newSoftware = "v1", "v2"
	streamEvents             = 8
)

var eventSoftware = regexp.MustCompile(`event \d+ of (\S+)`)

// startVersions starts engines of a software version.
func (env *testEnv) startVersions(version string, count int) []*site.Endpoint {
	out := make([]*site.Endpoint, 0, count)
	for i := range count {
		out = append(out, env.startEndpoint(site.EndpointOptions{
			ID: fmt.Sprintf("%s-%d", version, i), Service: "engines", Zone: "here", Model: modelName, SoftwareVersion: version,
			EventCount: streamEvents, EventInterval: 4 * time.Millisecond,
		}))
	}
	env.engines = append(env.engines, out...)
	return out
}

// softwareOf returns the software versions that wrote the events of a text, each once and in the order of their first events.
func softwareOf(text string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, match := range eventSoftware.FindAllStringSubmatch(text, -1) {
		if !seen[match[1]] {
			seen[match[1]] = true
			out = append(out, match[1])
		}
	}
	return out
}

// receiveEvents sends a request and disconnects after some events. It returns what the client received until then.
func (env *testEnv) receiveEvents(no *node.Node, requestID string, events int) string {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+no.Address()+"/query/1", http.NoBody)
	require.NoError(env.t, err)
	hr.Host = site.HostName
	for name, value := range conversation(requestID) {
		hr.Header.Set(name, value)
	}
	hr.Header.Set("X-Request-Id", requestID)
	hr.Header.Set("X-Api-Key", site.APIKey)
	tr := &http.Transport{DisableKeepAlives: true}
	rsp, err := tr.RoundTrip(hr)
	require.NoError(env.t, err)
	defer func() { _ = rsp.Body.Close() }()
	require.Equal(env.t, http.StatusOK, rsp.StatusCode)
	text, buf := "", make([]byte, 512)
	for len(eventSoftware.FindAllString(text, -1)) < events {
		n, err := rsp.Body.Read(buf)
		text += string(buf[:n])
		if err != nil {
			break
		}
	}
	return text
}

// conversation returns the headers of a request whose prompt no engine keeps, so that it may go to any.
func conversation(requestID string) map[string]string {
	hd := promptHeaders()
	hd["X-Prompt-Prefix"] = fmt.Sprintf("%x:300,%x:400,cc03:200", "a"+requestID, "b"+requestID)
	return hd
}

// takeUp resumes a stream after an event, as the client whose first event came with the request firstID.
func (env *testEnv) takeUp(no *node.Node, firstID string, lastEvent int) response {
	id := env.requestID()
	hd := conversation(id)
	hd["Last-Event-Id"] = fmt.Sprint(lastEvent)
	if firstID != "" {
		hd["Resumes"] = firstID
	}
	return env.send(no, http.MethodPost, "/query/1", id, "", hd)
}

// Guards against a response whose events come from two software versions.
func TestBrokenStreamResumesAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.startVersions(oldSoftware, 3)
	env.startVersions(newSoftware, 3)
	env.writeConfiguration()
	no := env.startReadyHost("host-0")
	resumed := 0
	for range 24 {
		for _, ep := range env.engines {
			ep.ClearFaults()
			ep.InjectFaults(site.TruncateResponse)
		}
		id := env.requestID()
		re := env.send(no, http.MethodPost, "/query/1", id, "", conversation(id))
		require.Len(t, softwareOf(re.body), 1, re.body)
		resumed += len(env.runsOf(id)) - 1
	}
	require.Positive(t, resumed)
}

// Guards against a stream that its client takes up at another software version than the one that began it.
func TestStreamIsTakenUpAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.startVersions(oldSoftware, 3)
	env.startVersions(newSoftware, 3)
	env.writeConfiguration()
	hosts := []*node.Node{env.startReadyHost("host-0"), env.startReadyHost("host-1"), env.startReadyHost("host-2")}
	env.awaitHosts(len(hosts))
	taken := 0
	for i := range 24 {
		id := env.requestID()
		began := softwareOf(env.receiveEvents(hosts[i%len(hosts)], id, 2))
		require.Len(t, began, 1)
		// The chain of take-ups names the request that brought the first event.
		for k := range 2 {
			re := env.takeUp(hosts[(i+k+1)%len(hosts)], id, 2+k)
			if re.status != http.StatusOK {
				require.Equal(t, http.StatusServiceUnavailable, re.status)
				continue
			}
			require.Equal(t, began, softwareOf(re.body))
			taken++
		}
	}
	require.GreaterOrEqual(t, taken, 24, "half of the streams must go on")
}

// Guards against a host that takes up a stream from before the restart of all hosts at another software version.
func TestStreamTakenUpAfterAllHostsRestartIsNotJoined(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	old := env.startVersions(oldSoftware, 2)
	env.startVersions(newSoftware, 2)
	env.writeConfiguration()
	first, stop := env.startHost("host-0")
	env.awaitReadiness(first, true)
	began := make(map[string][]string)
	for range 12 {
		id := env.requestID()
		began[id] = softwareOf(env.receiveEvents(first, id, 2))
	}
	stop()
	for _, ep := range old {
		ep.Close()
		env.remove(ep)
	}
	second := env.startReadyHost("host-1")
	for id, software := range began {
		if re := env.takeUp(second, id, 2); re.status == http.StatusOK {
			require.Equal(t, software, softwareOf(re.body), id)
		}
	}
}

// Guards against refusing streams that cannot be joined from two versions.
func TestStreamIsTakenUpAfterRestartIfOneVersionServes(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.startVersions(oldSoftware, 2)
	env.writeConfiguration()
	first, stop := env.startHost("host-0")
	env.awaitReadiness(first, true)
	require.Eventually(t, func() bool { return env.store.Value("bergamotway/software/engines") != nil }, waitTimeout, pollInterval)
	id := env.requestID()
	env.receiveEvents(first, id, 2)
	stop()
	second := env.startReadyHost("host-1")
	for _, resumes := range []string{id, ""} {
		re := env.takeUp(second, resumes, 2)
		require.Equal(t, http.StatusOK, re.status, re.body)
		require.Equal(t, []string{oldSoftware}, softwareOf(re.body))
	}
}
