package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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

// Guards against a response that seems to be complete although the host that passed it on was killed in the middle.
func TestResponseOfKilledNeighbourIsNotComplete(t *testing.T) {
	t.Parallel()
	const (
		head   = "HTTP/1.1 200 OK\r\n" + sealedHeader
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	event := "id: 1\ndata: one\n\n"
	for name, tc := range map[string]struct{ path, response string }{
		"stream between chunks": {"/query/", chunks + fmt.Sprintf("%x\r\n%s\r\n", len(event), event)},
		"stream within a chunk": {"/query/", chunks + fmt.Sprintf("%x\r\n%s", len(event)+9, event)},
		"stream in last chunk":  {"/query/", chunks + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(event), event)},
		"stream before events":  {"/query/", chunks},
		"stream without chunks": {"/query/", head + "\r\n" + event},
		"body with a length":    {"/pay/", head + "Content-Length: 9\r\n\r\nhalf"},
		"body in chunks":        {"/pay/", chunks + "4\r\nhalf\r\n"},
		"body until the close":  {"/pay/", head + "\r\nhalf"},
		"long body":             {"/pay/", head + "\r\n" + strings.Repeat("half", 50<<10)},
		"long body, length":     {"/pay/", head + "Content-Length: 300000\r\n\r\n" + strings.Repeat("half", 50<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			neighbour := startKeptEndpoint(t, tc.response+closeMark)
			ck := clock.System()
			fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
			opts := gatewayOptions(ck, fl)
			opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
			opts.Neighbours, opts.RelayPool = relay.New(ck), attempt.NewPool(attempt.Options{})
			address, err := netip.ParseAddrPort(neighbour.listener.Addr().String())
			require.NoError(t, err)
			opts.Neighbours.SetHosts([]relay.Host{{Name: "other", Address: address, TakesOrigins: true}})
			gw := gateway.New(opts)
			routes := []catalog.Route{
				{Name: "pay", Host: "shop.example", Prefix: "/pay/", MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "desk"}}},
				{Name: "query", Host: "shop.example", Prefix: "/query/", MaxAttempts: 2, Kind: catalog.Streaming, Resumable: true, Services: []catalog.WeightedService{{Service: "desk"}}},
			}
			gw.Configure(catalog.New(catalog.Spec{Version: 1, Routes: routes, Services: []catalog.Service{{Name: "desk"}}}))
			for i := range 6 {
				fl.Put(fleet.Entry{ID: fmt.Sprint("endpoint-", i), Service: "desk", Address: closedAddress(t), Zone: "here", Slots: 8})
			}
			sv := httptest.NewServer(gw)
			t.Cleanup(sv.Close)
			re := requestOnce(t, sv.Listener.Addr().String(), tc.path, "request")
			require.Equal(t, int64(1), neighbour.read.Load())
			if re.StatusCode != http.StatusOK {
				require.Equal(t, http.StatusBadGateway, re.StatusCode)
				require.Empty(t, re.Header.Get("X-Response-Seal"))
				return
			}
			require.Error(t, re.err, "a partial response must not look complete")
		})
	}
}
