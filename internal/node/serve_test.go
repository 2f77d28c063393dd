package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

func TestHostWithoutConfigurationIsNotReady(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 1)
	no, _ := env.startHost("host-1")
	re := env.send(no, http.MethodPost, "/pay/1", env.requestID(), "", nil)
	require.Equal(t, http.StatusServiceUnavailable, re.status)
	require.False(t, env.isReady(no))
	env.writeConfiguration()
	env.awaitReadiness(no, true)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 1)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/pay/a%2Fb?x=1&y=%20", requestID, "the body", map[string]string{
		"X-Own": "kept", "X-Tenant": "forged", "X-Expect-Instance": "forged", "X-Hold": "forged", "X-Pin-Ms": "1",
		"X-Kv-Backup": "forged", "Kv-From": "forged", "X-Cache-Salt": "forged",
	})
	require.Equal(t, http.StatusOK, re.status)
	require.Equal(t, "body of "+requestID, re.body)
	require.Equal(t, "stand-in.seal", re.header.Get("X-Response-Seal"))
	runs := env.runsOf(requestID)
	require.Len(t, runs, 1)
	rr := runs[0]
	require.Equal(t, "/pay/a%2Fb?x=1&y=%20", rr.URI)
	require.Equal(t, "the body", rr.Body)
	require.Equal(t, "kept", rr.Header.Get("X-Own"))
	require.Equal(t, "team", rr.Header.Get("X-Tenant"))
	require.Equal(t, "plain-0", rr.Header.Get("X-Expect-Instance"))
	for _, name := range []string{"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Cache-Salt", "X-Api-Key"} {
		require.Empty(t, rr.Header.Get(name), name)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 1)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, tc := range []struct {
		uri    string
		header map[string]string
		body   string
		status int
	}{
		{uri: "/unknown/1", status: http.StatusNotFound},
		{uri: "/pay", status: http.StatusNotFound},
		{uri: "/pay/1", header: map[string]string{"X-Api-Key": "unknown"}, status: http.StatusUnauthorized},
		{uri: "/pay/1", body: strings.Repeat("x", 70000), status: http.StatusRequestEntityTooLarge},
		{uri: "/pay/1", header: map[string]string{"X-Long": strings.Repeat("x", 30000)}, status: http.StatusRequestHeaderFieldsTooLarge},
	} {
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, tc.uri, requestID, tc.body, tc.header)
		require.Equal(t, tc.status, re.status, tc.uri)
		require.Empty(t, env.runsOf(requestID))
	}
}

// Combines each endpoint fault with each route kind. A request that may run only once must not run
// twice, and a refused request must not have run.
func TestEndpointFaultsForEachRouteKind(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, 2)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	faults := []site.EndpointFault{
		site.NoEndpointFault, site.ShedLoad, site.ResetConnection, site.TruncateResponse, site.OmitSeal, site.WrongResponseFirst, site.ExtraResponse, site.RespondBeforeBody, site.InternalError,
		site.CloseDelimited, site.ResetCloseDelimited, site.EndInsideEvent, site.EndChunksInsideEvent,
		site.RepeatEvent, site.SkipEvent,
	}
	for _, uri := range []string{"/pay/1", "/look/1", "/note/1", "/query/1"} {
		for _, fault := range faults {
			t.Run(fmt.Sprintf("%s-%d", uri[1:5], fault), func(t *testing.T) {
				eps, hd := env.plainEndpoints, map[string]string(nil)
				if uri == "/note/1" || uri == "/query/1" {
					eps, hd = env.engines, promptHeaders()
				}
				for _, ep := range eps {
					ep.InjectFaults(fault)
				}
				requestID := env.requestID()
				re := env.send(no, http.MethodPost, uri, requestID, strings.Repeat("b", 9000), hd)
				runs := env.runsOf(requestID)
				isRepeatable := uri == "/look/1" || uri == "/query/1"
				if !isRepeatable {
					require.LessOrEqual(t, len(runs), 1)
				}
				require.LessOrEqual(t, len(runs), 2)
				switch re.status {
				case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
					require.Empty(t, runs, "a refused request must not have run")
				case http.StatusOK:
					require.NotEmpty(t, re.header.Get("X-Response-Seal"))
					if re.complete {
						require.NotContains(t, re.body, "another")
						require.Contains(t, re.body, requestID)
					}
				}
				env.repairEndpoints()
			})
		}
	}
}

func (env *testEnv) repairEndpoints() {
	for _, ep := range append(append([]*site.Endpoint(nil), env.engines...), env.plainEndpoints...) {
		ep.ClearFaults()
	}
}

func TestFailedIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 2)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, fault := range []site.EndpointFault{site.ResetConnection, site.TruncateResponse, site.OmitSeal, site.InternalError, site.ShedLoad, site.CloseDelimited, site.ResetCloseDelimited} {
		env.plainEndpoints[0].ClearFaults()
		env.plainEndpoints[1].ClearFaults()
		env.plainEndpoints[0].InjectFaults(fault)
		for range 2 {
			requestID := env.requestID()
			re := env.send(no, http.MethodGet, "/look/1", requestID, "", nil)
			require.Equal(t, http.StatusOK, re.status)
			require.Equal(t, "body of "+requestID, re.body)
		}
	}
}

// streamFaults are the ways in which a stream breaks off.
var streamFaults = map[string]site.EndpointFault{
	"chunks cut within an event":             site.TruncateResponse,
	"chunks ended within an event":           site.EndChunksInsideEvent,
	"connection ended within an event":       site.EndInsideEvent,
	"connection reset between two events":    site.ResetCloseDelimited,
	"endpoint crashed while within an event": site.CrashInsideEvent,
	"endpoint killed between two events":     site.KillCloseDelimited,
}

// wholeStream is the body of a stream that is complete.
func wholeStream(requestID string) string {
	var out strings.Builder
	for i := range 8 {
		fmt.Fprintf(&out, "id: %d\ndata: %s event %d\n\n", i+1, requestID, i+1)
	}
	return out.String()
}

func TestResumableStreamContinuesOnAnotherEngine(t *testing.T) {
	t.Parallel()
	for name, fault := range streamFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 2, 0)
			env.writeConfiguration()
			no := env.startReadyHost("host-1")
			// Equal prompts go to the engine that has read them.
			env.send(no, http.MethodPost, "/query/1", env.requestID(), "", promptHeaders())
			first, second := env.engines[0], env.engines[1]
			if len(first.RecordedRequests()) == 0 {
				first, second = second, first
			}
			first.InjectFaults(fault)
			requestID := env.requestID()
			re := env.send(no, http.MethodPost, "/query/1", requestID, "", promptHeaders())
			require.Equal(t, http.StatusOK, re.status)
			require.True(t, re.complete)
			require.Equal(t, wholeStream(requestID), re.body)
			require.Len(t, first.RecordedRequests(), 2)
			require.Len(t, second.RecordedRequests(), 1)
			require.Equal(t, "2", second.RecordedRequests()[0].Header.Get("Last-Event-Id"))
		})
	}
}

func TestStreamThatBreaksOffIsCut(t *testing.T) {
	t.Parallel()
	for name, fault := range streamFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, tc := range []struct {
				uri  string
				runs int
				body func(requestID string) string
			}{
				{"/note/1", 1, func(requestID string) string { return wholeStream(requestID)[:eventsLength(requestID, 2)] }},
				{"/query/1", 2, func(requestID string) string { return wholeStream(requestID)[:eventsLength(requestID, 4)] }},
			} {
				env := newTestEnv(t, 2, 0)
				env.writeConfiguration()
				no := env.startReadyHost("host-1")
				env.engines[0].InjectFaults(fault)
				env.engines[1].InjectFaults(fault)
				requestID := env.requestID()
				re := env.send(no, http.MethodPost, tc.uri, requestID, "", promptHeaders())
				require.False(t, re.complete, "a truncated response must not look complete")
				require.Equal(t, tc.body(requestID), re.body, "only complete events are forwarded")
				require.Len(t, env.runsOf(requestID), tc.runs)
			}
		})
	}
}

// eventsLength returns the length of the first events of a stream.
func eventsLength(requestID string, events int) int { return events * len(wholeStream(requestID)) / 8 }

func TestUndelimitedStreamIsComplete(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, uri := range []string{"/note/1", "/query/1"} {
		env.engines[0].InjectFaults(site.CloseDelimited)
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, uri, requestID, "", promptHeaders())
		require.Equal(t, http.StatusOK, re.status)
		require.True(t, re.complete)
		require.Equal(t, wholeStream(requestID), re.body)
		require.Len(t, env.runsOf(requestID), 1)
	}
}

func TestResetResponseWithoutLengthIsNotDelivered(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	env.plainEndpoints[0].InjectFaults(site.ResetCloseDelimited)
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/pay/1", requestID, "", nil)
	require.Equal(t, http.StatusBadGateway, re.status)
	require.Empty(t, re.header.Get("X-Response-Seal"))
	require.Len(t, env.runsOf(requestID), 1)
}

// Guards against joining the error response of an engine to the events that another one has sent.
func TestStreamResumedAtFailingEngineIsCut(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	for _, ep := range env.engines {
		ep.InjectFaults(site.FailResumedStream)
	}
	requestID := env.requestID()
	re := env.send(no, http.MethodPost, "/query/1", requestID, "", promptHeaders())
	require.Len(t, env.runsOf(requestID), 2)
	require.False(t, re.complete, "a truncated response must not look complete")
	require.Equal(t, wholeStream(requestID)[:eventsLength(requestID, 2)], re.body)
}

func TestClientDisconnectCancelsRun(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	env.engines[0].InjectFaults(site.NeverRespond)
	ctx, cancel := context.WithCancel(context.Background())
	requestID := env.requestID()
	done := make(chan response, 1)
	go func() { done <- env.sendContext(ctx, no, http.MethodPost, "/note/1", requestID, "", promptHeaders()) }()
	require.Eventually(t, func() bool { return len(env.runsOf(requestID)) == 1 }, waitTimeout, pollInterval)
	cancel()
	require.Eventually(t, func() bool { return env.engines[0].AbandonedCount() == 1 }, 500*time.Millisecond, pollInterval)
	require.Error(t, (<-done).err)
}

func TestSilentEndpointTimesOut(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	env.plainEndpoints[0].InjectFaults(site.NeverRespond)
	start := time.Now()
	re := env.send(no, http.MethodPost, "/pay/1", env.requestID(), "", map[string]string{"X-Deadline-Ms": "600"})
	require.Equal(t, http.StatusGatewayTimeout, re.status)
	require.Less(t, time.Since(start), 1100*time.Millisecond)
}

func TestEndpointAtReusedAddressGetsNoRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 2)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	env.plainEndpoints[0].SetID("stranger")
	for range 6 {
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "", nil)
		require.Equal(t, http.StatusOK, re.status)
	}
	require.Empty(t, env.plainEndpoints[0].RecordedRequests())
}

// Guards against counting a rejection as an attempt: engines that were loading new weights rejected
// requests of a route with one attempt, and these were refused although other engines were idle.
func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 3, 0)
	env.writeConfiguration(site.Route{Name: "once", Kind: "streaming", Service: "engines", MaxAttempts: 1, Timeout: requestTimeout})
	no := env.startReadyHost("host-1")
	for range 6 {
		env.engines[0].InjectFaults(site.ShedLoad)
		env.engines[1].InjectFaults(site.ShedLoad)
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/once/1", requestID, "", promptHeaders())
		require.Equal(t, http.StatusOK, re.status)
		require.Len(t, env.runsOf(requestID), 1)
		env.repairEndpoints()
	}
}

func TestRequestWithoutEndpointIsRefusedImmediately(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	start := time.Now()
	re := env.send(no, http.MethodPost, "/pay/1", env.requestID(), "", nil)
	require.Equal(t, http.StatusServiceUnavailable, re.status)
	require.NotEmpty(t, re.header.Get("Retry-After"))
	require.Less(t, time.Since(start), requestTimeout/3, "clients give up on a host that has not responded by then")
}

// Guards against accepting requests that cannot finish: one that arrived 3 s after the stop began was
// cut when its host exited.
func TestStoppingHostRefusesLateRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 1, 1)
	env.writeConfiguration()
	no, stop := env.startHost("host-1")
	env.awaitReadiness(no, true)
	stop()
	env.awaitReadiness(no, false)
	re := env.send(no, http.MethodPost, "/pay/1", env.requestID(), "", nil)
	require.Equal(t, http.StatusOK, re.status, "a host that is still in rotation must serve")
	require.Eventually(t, func() bool {
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "", nil)
		return re.status == http.StatusServiceUnavailable && len(env.runsOf(requestID)) == 0
	}, waitTimeout, 20*time.Millisecond)
}
