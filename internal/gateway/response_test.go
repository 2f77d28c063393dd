package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
)

// Guards against the length of an empty body where a response without one tells the length of another.
func TestResponseWithoutBodyKeepsItsLength(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ method, status, fields, want string }{
		"HEAD":                  {http.MethodHead, "200 OK", "Content-Length: 861\r\n", "861"},
		"HEAD without a length": {http.MethodHead, "200 OK", "", ""},
		"not modified":          {http.MethodGet, "304 Not Modified", "", ""},
		"no content":            {http.MethodGet, "204 No Content", "", ""},
		"empty":                 {http.MethodGet, "200 OK", "Content-Length: 0\r\n", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ke := startKeptEndpoint(t, "HTTP/1.1 "+tc.status+"\r\n"+sealedHeader+tc.fields+"\r\n")
			rq, err := http.NewRequest(tc.method, "http://"+startGatewayTo(t, clock.System(), ke)+"/look/", nil)
			require.NoError(t, err)
			rq.Host = "shop.example"
			rq.Header.Set("X-Request-Id", "id")
			rsp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(rq)
			require.NoError(t, err)
			defer func() { _ = rsp.Body.Close() }()
			require.Equal(t, tc.status, rsp.Status)
			require.Equal(t, tc.want, rsp.Header.Get("Content-Length"))
			require.Equal(t, "seal", rsp.Header.Get("X-Response-Seal"))
		})
	}
}
