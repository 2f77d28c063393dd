package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/gateway"
)

// serveOnce serves one request with a deadline of 3 s.
func serveOnce(gw *gateway.Gateway, path string) *httptest.ResponseRecorder {
	hr := httptest.NewRequest(http.MethodPost, path, nil)
	hr.Host = "shop.example"
	hr.Header.Set("X-Request-Id", "id")
	hr.Header.Set("X-Deadline-Ms", "3000")
	rec := httptest.NewRecorder()
	gw.ServeHTTP(rec, hr)
	return rec
}

// Guards against a request that is held until its deadline, or sent all the same, when all endpoints have got what they take.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	gw, ep := newGateway(t, 0)
	ep.AnnounceLimit("0")
	require.Equal(t, http.StatusOK, serveOnce(gw, "/pay/1").Code)
	start := time.Now()
	rec := serveOnce(gw, "/pay/2")
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.Equal(t, "limited\n", rec.Body.String())
	seconds, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, seconds, 0.3)
	require.LessOrEqual(t, seconds, 1.0)
	require.Less(t, time.Since(start), time.Second)
	require.Len(t, ep.RecordedRequests(), 1)
}

// Guards against a limit that an endpoint names in a failure, or before a stream breaks off, and that nobody notices.
func TestLimitInFailedResponseCounts(t *testing.T) {
	for name, response := range map[string]string{
		"failure":       "HTTP/1.1 500 Internal Server Error\r\n" + sealedHeader + "Server-Limit: 0.2\r\nContent-Length: 0\r\n\r\n",
		"rejection":     "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nServer-Limit: 0.2\r\nContent-Length: 0\r\n\r\n",
		"broken stream": "HTTP/1.1 200 OK\r\n" + sealedHeader + "Server-Limit: 0.2\r\n\r\nid: 1\nda",
	} {
		t.Run(name, func(t *testing.T) {
			se := &scriptedEndpoint{parts: []string{response}}
			startScriptedEndpoint(t, se)
			gw := newGatewayTo(t, 0, se.listener.Addr().String())
			serveOnce(gw, "/stream/1")
			rec := serveOnce(gw, "/stream/2")
			require.Equal(t, "limited\n", rec.Body.String())
		})
	}
}

// Guards against a request that is held, or sent all the same, while all endpoints want none.
func TestRequestIsRefusedAtOnceWhileAllEndpointsWait(t *testing.T) {
	gw, ep := newGateway(t, 0)
	ep.TurnAway("20")
	start := time.Now()
	for range 3 {
		rec := serveOnce(gw, "/pay/1")
		require.Equal(t, http.StatusServiceUnavailable, rec.Code)
		seconds, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, seconds, 1.0)
	}
	require.Equal(t, "limited\n", serveOnce(gw, "/pay/1").Body.String())
	require.Less(t, time.Since(start), 2500*time.Millisecond)
	require.Equal(t, 1, ep.ReceivedSince(start))
}

// Guards against a statement that is only in an interim response, or in a response that breaks off after its head.
func TestLeavingInAnyResponseCounts(t *testing.T) {
	for name, response := range map[string]string{
		"failure":       "HTTP/1.1 500 Internal Server Error\r\n" + sealedHeader + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"rejection":     "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"interim":       "HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + sealedHeader + "Content-Length: 0\r\n\r\n",
		"head only":     "HTTP/1.1 200 OK\r\n" + sealedHeader + "Server-Leaving: 1\r\nContent-Length: 9\r\n\r\n",
		"broken stream": "HTTP/1.1 200 OK\r\n" + sealedHeader + "Server-Leaving: 1\r\n\r\nid: 1\nda",
	} {
		t.Run(name, func(t *testing.T) {
			se := &scriptedEndpoint{parts: []string{response}}
			startScriptedEndpoint(t, se)
			gw := newGatewayTo(t, 0, se.listener.Addr().String())
			serveOnce(gw, "/pay/1")
			rec := serveOnce(gw, "/pay/2")
			require.Equal(t, "no-endpoint\n", rec.Body.String())
			require.Equal(t, int64(1), se.opened.Load())
		})
	}
}
