package node_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against the first half of a body with a length that the host has added.
func TestBodyOfKilledEndpointIsNotDelivered(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.EndpointFault{site.KillCloseDelimited, site.KillAfterBody} {
		env := newTestEnv(t, 0, 2)
		env.writeConfiguration()
		no := env.startReadyHost("host-1")
		for _, ep := range env.plainEndpoints {
			ep.InjectFaults(fault)
		}
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "", nil)
		require.Equal(t, http.StatusBadGateway, re.status)
		require.Empty(t, re.header.Get("X-Response-Seal"))
		require.Len(t, env.runsOf(requestID), 1)
	}
}

func TestBodyOfKilledEndpointIsReadAtAnother(t *testing.T) {
	t.Parallel()
	for _, fault := range []site.EndpointFault{site.KillCloseDelimited, site.KillAfterBody} {
		env := newTestEnv(t, 0, 2)
		env.writeConfiguration()
		no := env.startReadyHost("host-1")
		killed := env.plainEndpoints[0]
		killed.InjectFaults(fault)
		// Equal endpoints are chosen by a hash of the identifier.
		for i := 0; killed.StoppedAt().IsZero(); i++ {
			require.Less(t, i, 64)
			requestID := env.requestID()
			re := env.send(no, http.MethodPost, "/look/1", requestID, "", nil)
			require.Equal(t, http.StatusOK, re.status)
			require.Equal(t, "body of "+requestID, re.body)
		}
	}
}

// Guards against breaking a stream that was whole when its endpoint was killed. It goes on after its last event, and so brings none.
func TestWholeStreamOfKilledEndpointIsCompleted(t *testing.T) {
	t.Parallel()
	for _, resumed := range []site.EndpointFault{site.NoEndpointFault, site.CloseDelimited} {
		env := newTestEnv(t, 2, 0)
		env.writeConfiguration()
		no := env.startReadyHost("host-1")
		env.send(no, http.MethodPost, "/query/1", env.requestID(), "", promptHeaders())
		first, second := env.engines[0], env.engines[1]
		if len(first.RecordedRequests()) == 0 {
			first, second = second, first
		}
		first.InjectFaults(site.KillAfterBody)
		second.InjectFaults(resumed)
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/query/1", requestID, "", promptHeaders())
		require.Equal(t, http.StatusOK, re.status)
		require.True(t, re.complete)
		require.Equal(t, wholeStream(requestID), re.body)
		require.Len(t, second.RecordedRequests(), 1)
		require.Equal(t, "8", second.RecordedRequests()[0].Header.Get("Last-Event-Id"))
	}
}

// Guards against events that an endpoint leaves out, or sends again, where it continues the stream of another.
func TestStreamThatIsContinuedAtTheWrongEventIsCut(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]site.EndpointFault{"repeats the last": site.RepeatEvent, "leaves out the next": site.SkipEvent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 2, 0)
			env.writeConfiguration()
			no := env.startReadyHost("host-1")
			for _, ep := range env.engines {
				ep.InjectFaults(fault)
			}
			requestID := env.requestID()
			re := env.send(no, http.MethodPost, "/query/1", requestID, "", promptHeaders())
			require.False(t, re.complete)
			require.True(t, strings.HasPrefix(wholeStream(requestID), re.body), "the client received %q", re.body)
			require.Len(t, env.runsOf(requestID), 2)
		})
	}
}

// Guards against asking an endpoint for its state after each of its answers: only one without a length needs it, and only if no
// other connection shows that it lives.
func TestEndpointIsAskedAfterAnswersWithoutLengthOnly(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 1)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	ep := env.plainEndpoints[0]
	asked := func(faults ...site.EndpointFault) int {
		ep.InjectFaults(faults...)
		before := ep.ReportCount()
		requestID := env.requestID()
		re := env.send(no, http.MethodPost, "/pay/1", requestID, "", nil)
		require.Equal(t, http.StatusOK, re.status)
		require.Equal(t, "body of "+requestID, re.body)
		return ep.ReportCount() - before
	}
	require.Equal(t, 1, asked(site.CloseDelimited))
	require.Equal(t, 0, asked())
	require.Equal(t, 1, asked(site.CloseDelimited), "it used the only connection")
	require.Equal(t, 0, asked())
}
