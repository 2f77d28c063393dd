package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/relay"
	"github.com/bergamotway/bergamotway/internal/retry"
)

// promises are the statuses that tell clients that their request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// ranResponses are failures of an endpoint that has run the request, with statuses that promise the opposite.
func ranResponses() map[string]string {
	out := make(map[string]string)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		head := fmt.Sprintf("HTTP/1.1 %d Failed\r\n", status) + sealedHeader + "Retry-After: 0.2\r\n"
		out[fmt.Sprint(status)] = head + "Content-Length: 4\r\n\r\nfull"
		out[fmt.Sprint(status, " without a body")] = head + "Content-Length: 0\r\n\r\n"
		out[fmt.Sprint(status, " without a length")] = head + "\r\nfull" + closeMark
		out[fmt.Sprint(status, " after an interim response")] = "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n\r\n" + head + "Content-Length: 0\r\n\r\n"
	}
	return out
}

// Guards against a client that sends a booking once more because the endpoint that ran it failed with a status that promises that it
// has not run.
func TestEndpointsFailureDoesNotPromiseThatRequestHasNotRun(t *testing.T) {
	t.Parallel()
	for name, answer := range ranResponses() {
		for _, path := range []string{"/pay/", "/look/", "/query/"} {
			t.Run(name+", "+path, func(t *testing.T) {
				t.Parallel()
				address := startGatewayTo(t, clock.System(), startKeptEndpoint(t, answer))
				rsp := requestOnce(t, address, path, "a")
				require.NotContains(t, promises, rsp.StatusCode)
				require.Empty(t, rsp.Header.Get("X-Response-Seal"), "another status than the endpoint's must not bear its seal")
				require.Empty(t, rsp.Header.Get("Retry-After"))
			})
		}
	}
}

// Guards against such a status that an earlier build on another host has passed on.
func TestNeighboursFailureDoesNotPromiseThatRequestHasNotRun(t *testing.T) {
	t.Parallel()
	for name, answer := range ranResponses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ck := clock.System()
			fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
			opts := gatewayOptions(ck, fl)
			opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
			opts.Neighbours, opts.RelayPool = relay.New(ck), attempt.NewPool(attempt.Options{})
			neighbour, err := netip.ParseAddrPort(startKeptEndpoint(t, answer).listener.Addr().String())
			require.NoError(t, err)
			opts.Neighbours.SetHosts([]relay.Host{{Name: "other", Address: neighbour}})
			gw := gateway.New(opts)
			gw.Configure(catalog.New(catalog.Spec{
				Version: 1, Routes: []catalog.Route{{
					Name: "pay", Host: "shop.example", Prefix: "/", MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "desk"}},
				}},
				Services: []catalog.Service{{Name: "desk"}},
			}))
			for i := range 6 {
				fl.Put(fleet.Entry{ID: fmt.Sprint("endpoint-", i), Service: "desk", Address: closedAddress(t), Zone: "here", Slots: 8})
			}
			sv := httptest.NewServer(gw)
			t.Cleanup(sv.Close)
			rsp := requestOnce(t, sv.Listener.Addr().String(), "/", "a")
			require.NotContains(t, promises, rsp.StatusCode)
			require.Empty(t, rsp.Header.Get("X-Response-Seal"))
			require.Empty(t, rsp.Header.Get("Retry-After"))
		})
	}
}
