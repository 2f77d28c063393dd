package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/relay"
	"github.com/bergamotway/bergamotway/internal/retry"
)

// closedAddress returns an address at which nothing listens. The port stays taken until the test ends, so that nothing else can
// listen there.
func closedAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	sa, err := unix.Getsockname(fd)
	require.NoError(t, err)
	in4, ok := sa.(*unix.SockaddrInet4)
	require.True(t, ok)
	return netip.AddrPortFrom(netip.AddrFrom4(in4.Addr), uint16(in4.Port)).String()
}

// Guards against tests whose closed address other tests and processes take.
func TestClosedAddressStaysClosed(t *testing.T) {
	t.Parallel()
	address := closedAddress(t)
	_, err := net.DialTimeout("tcp", address, time.Second)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", address)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}

// Guards against an endpoint whose response a host takes for the refusal of another host, and runs the request again.
func TestEndpointCannotPassForRefusingHost(t *testing.T) {
	t.Parallel()
	const fields = "Bergamotway-Not-Run: 1\r\nBergamotway-Unserved: 1\r\n"
	for _, path := range []string{"/pay/", "/query/"} {
		ck := clock.System()
		fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
		ke := startKeptEndpoint(t, "HTTP/1.1 200 OK\r\n"+sealedHeader+fields+"Content-Length: 18\r\n\r\nid: 1\ndata: one\n\n\n")
		fl.Put(fleet.Entry{ID: "endpoint", Service: "desk", Address: ke.listener.Addr().String(), Zone: "here", Slots: 8})
		gw := gateway.New(gatewayOptions(ck, fl))
		kind := catalog.NonIdempotent
		if path == "/query/" {
			kind = catalog.Streaming
		}
		gw.Configure(catalog.New(catalog.Spec{
			Version: 1, Routes: []catalog.Route{{
				Name: "route", Kind: kind, Host: "shop.example", Prefix: path, MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "desk"}},
			}},
			Services: []catalog.Service{{Name: "desk"}},
		}))
		hr := httptest.NewRequest(http.MethodPost, path, nil)
		hr.Host = "shop.example"
		hr.Header.Set("X-Request-Id", "a")
		hr.Header.Set("Bergamotway-Attempts", "0")
		rr := httptest.NewRecorder()
		gw.RelayHandler().ServeHTTP(rr, hr)
		require.Equal(t, http.StatusOK, rr.Code)
		require.Empty(t, rr.Header().Get("Bergamotway-Not-Run"))
		require.Empty(t, rr.Header().Get("Bergamotway-Unserved"))
	}
}

// Guards against requests that hosts without a way to the endpoints pass on in a circle.
func TestRelayedRequestIsNotPassedOnAgain(t *testing.T) {
	t.Parallel()
	neighbour := startKeptEndpoint(t, "HTTP/1.1 200 OK\r\n"+sealedHeader+"Content-Length: 2\r\n\r\nok")
	ck := clock.System()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	opts := gatewayOptions(ck, fl)
	opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
	opts.Neighbours, opts.RelayPool = relay.New(ck), attempt.NewPool(attempt.Options{})
	address, err := netip.ParseAddrPort(neighbour.listener.Addr().String())
	require.NoError(t, err)
	opts.Neighbours.SetHosts([]relay.Host{{Name: "other", Address: address}})
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
	serve := func(handler http.Handler, attempts string) *httptest.ResponseRecorder {
		hr := httptest.NewRequest(http.MethodPost, "/", nil)
		hr.Host = "shop.example"
		hr.Header.Set("X-Request-Id", "a")
		hr.Header.Set("Bergamotway-Attempts", attempts)
		rr := httptest.NewRecorder()
		handler.ServeHTTP(rr, hr)
		return rr
	}
	rr := serve(gw.RelayHandler(), "0")
	require.Equal(t, http.StatusServiceUnavailable, rr.Code)
	require.NotEmpty(t, rr.Header().Get("Bergamotway-Not-Run"))
	require.Zero(t, neighbour.read.Load())
	for _, attempts := range []string{"", "-1", "many"} {
		require.Equal(t, http.StatusBadRequest, serve(gw.RelayHandler(), attempts).Code)
	}
	rr = serve(gw, "")
	require.Equal(t, http.StatusOK, rr.Code)
	require.Equal(t, int64(1), neighbour.read.Load())
}
