package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

type meter struct{}

func (meter) Dispatched(string)                {}
func (meter) Retried(string, string)           {}
func (meter) FirstToken(string, time.Duration) {}
func (meter) Ended(string, string)             {}

// pair returns both ends of a connection.
func pair(t *testing.T) (client, server net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	client, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	server, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// newGateway returns a gateway before one plain endpoint, that holds at most memory bytes of bodies.
func newGateway(t *testing.T, memory int64) (*gateway.Gateway, *site.Endpoint) {
	t.Helper()
	ep, err := site.NewEndpoint(site.EndpointOptions{ID: "plain", Service: "desk", Zone: "here"})
	require.NoError(t, err)
	t.Cleanup(ep.Close)
	ck := clock.System()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	fl.Put(fleet.Entry{ID: "plain", Service: "desk", Address: ep.Address(), Zone: "here", Slots: 8})
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	gw := gateway.New(gateway.Options{
		Clock: ck, Codec: platform.Codec{}, Fleet: fl, Pool: attempt.NewPool(attempt.Options{}), Cache: cachedir.New(ck),
		Budget: retry.NewWindows(ck, retry.Bound{Window: time.Second}), Board: quarantine.NewBoard(ck), BodyMemory: memory, Log: lg, Meter: meter{}, Zone: "here",
		Hosts: func() int { return 1 }, Weights: func(string) uint64 { return 0 }, Expired: func(string, uint64) bool { return false },
	})
	gw.Configure(catalog.New(catalog.Content{
		Version: 1, Routes: []catalog.Route{{Name: "pay", Host: "shop.example", Prefix: "/", Attempts: 1, Shares: []catalog.Share{{Service: "desk"}}}},
		Svcs: []catalog.Service{{Name: "desk"}},
	}))
	return gw, ep
}

// A host that fell behind sent requests on whose clients had given up meanwhile (GONE, grown sites).
func TestRequestOfAClientThatLeftIsNotSentOn(t *testing.T) {
	gw, ep := newGateway(t, 0)
	serve := func(server net.Conn) {
		hr := httptest.NewRequest(http.MethodPost, "/", nil)
		hr.Host = "shop.example"
		hr.Header.Set("X-Request-Id", "id")
		hr = hr.WithContext(gateway.WithClient(hr.Context(), server))
		gw.ServeHTTP(httptest.NewRecorder(), hr)
	}
	client, server := pair(t)
	serve(server)
	require.Len(t, ep.Runs(), 1, "a client that waits is served")
	require.NoError(t, client.Close())
	require.Eventually(t, func() bool {
		before := len(ep.Runs())
		serve(server)
		return len(ep.Runs()) == before
	}, 5*time.Second, time.Millisecond)
}
