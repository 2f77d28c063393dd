package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/gateway"
)

// Guards against a client of HTTP/1.0 that takes the end of a connection, closed as the host stops, for the end of the response.
func TestResponseThatEndsWithItsHostIsNotComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, tc := range map[string]struct{ path, header, begun string }{
		"stream":                {"/stream/", undelimitedHeader, firstEvents},
		"stream in chunks":      {"/stream/", "HTTP/1.1 200 OK\r\n" + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(firstEvents), firstEvents)},
		"long":                  {"/pay", undelimitedHeader, long},
		"long, with its length": {"/pay", "HTTP/1.1 200 OK\r\n" + sealedHeader + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)+1), long},
	} {
		t.Run(name, func(t *testing.T) {
			se := &scriptedEndpoint{parts: []string{tc.header + tc.begun}, proceed: make(chan struct{})}
			startScriptedEndpoint(t, se)
			t.Cleanup(func() { close(se.proceed) })
			sv := httptest.NewUnstartedServer(newGatewayTo(t, 0, se.listener.Addr().String()))
			sv.Config.ConnContext = gateway.WithClientConn
			sv.Start()
			t.Cleanup(sv.Close)
			cn, br := dialClient(t, sv.Listener.Addr().String())
			_, err := fmt.Fprintf(cn, "POST %s HTTP/1.0\r\nHost: shop.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 5000\r\n\r\n", tc.path)
			require.NoError(t, err)
			rsp, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			defer func() { _ = rsp.Body.Close() }()
			_, err = io.ReadFull(rsp.Body, make([]byte, len(firstEvents)))
			require.NoError(t, err)
			require.NoError(t, sv.Config.Close())
			_, err = io.ReadAll(rsp.Body)
			require.Error(t, err, "a partial response must not look complete")
		})
	}
}
