package gateway_test

import (
	"fmt"
	"io"
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

// Guards against a neighbour that passes on bytes without end to a host that is cut off from all endpoints.
func TestResponseWithoutEndOfANeighbourIsCut(t *testing.T) {
	const (
		status  = "HTTP/1.1 200 OK\r\n"
		maxTime = 8 * time.Second
	)
	filler := strings.Repeat("x", 16<<10)
	for name, tc := range map[string]struct {
		path, beginning, chunk string
	}{
		"header line":       {"/pay", status + "X-Long: ", filler},
		"header lines":      {"/pay", status, strings.Repeat("a:\r\n", 1000)},
		"interim responses": {"/pay", "", strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 100)},
		"body":              {"/pay", status + sealedHeader + "\r\n", filler},
		"event":             {"/stream/", status + sealedHeader + "\r\n", filler},
		"empty lines":       {"/stream/", status + sealedHeader + "\r\n", strings.Repeat("\n", 4<<10)},
		"refusal":           {"/pay", "HTTP/1.1 503 Busy\r\nBergamotway-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ee := startEndlessEndpoint(t, tc.beginning, tc.chunk, 0)
			ck := clock.System()
			fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
			opts := gatewayOptions(ck, fl)
			memory := attempt.NewMemory(4 << 20)
			opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
			opts.Neighbours, opts.RelayPool = relay.New(ck), attempt.NewPool(attempt.Options{Memory: memory})
			opts.Neighbours.SetHosts([]relay.Host{{Name: "other", Address: netip.MustParseAddrPort(ee.listener.Addr().String()), TakesOrigins: true}})
			gw := gateway.New(opts)
			gw.Configure(catalog.New(catalog.Spec{
				Version: 1, Routes: []catalog.Route{
					{Name: "pay", Host: "shop.example", Prefix: "/", MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "desk"}}},
					{Name: "note", Kind: catalog.Streaming, Host: "shop.example", Prefix: "/stream/", MaxAttempts: 1, Services: []catalog.WeightedService{{Service: "desk"}}},
				},
				Services: []catalog.Service{{Name: "desk"}},
			}))
			for i := range 6 {
				// Nothing listens at the lowest ports.
				fl.Put(fleet.Entry{ID: fmt.Sprint("endpoint-", i), Service: "desk", Address: fmt.Sprint("127.0.0.1:", 2+i), Zone: "here", Slots: 8})
			}
			sv := httptest.NewServer(gw)
			t.Cleanup(sv.Close)
			rq, err := http.NewRequest(http.MethodPost, sv.URL+tc.path, http.NoBody)
			require.NoError(t, err)
			rq.Host = "shop.example"
			rq.Header.Set("X-Request-Id", "a")
			rq.Header.Set("X-Deadline-Ms", "20000")
			started := time.Now()
			rsp, err := http.DefaultTransport.RoundTrip(rq)
			if err == nil {
				_, err = io.Copy(io.Discard, rsp.Body)
				require.NoError(t, rsp.Body.Close())
				require.True(t, err != nil || rsp.StatusCode >= http.StatusInternalServerError, "the response looks complete")
			}
			require.Less(t, time.Since(started), maxTime)
			require.Positive(t, ee.accepted.Load(), "the neighbour was not called")
			require.Eventually(t, func() bool { return ee.open.Load() == 0 && memory.Used() == 0 }, maxTime, time.Millisecond)
		})
	}
}
