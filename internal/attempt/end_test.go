package attempt_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// confirmingEndpoint answers without a length and closes the connection, but keeps the connections of requests below /keep. It closes
// the first closing of these after an answer, and it counts the questions which start it is.
type confirmingEndpoint struct {
	kept    chan net.Conn
	asked   chan struct{}
	closing int
}

func (ce *confirmingEndpoint) serve(nc net.Conn, br *bufio.Reader) {
	rq, err := http.ReadRequest(br)
	switch {
	case err != nil:
	case rq.URL.Path == "/start":
		ce.asked <- struct{}{}
		_, _ = io.WriteString(nc, answer(200, "7"))
	case strings.HasPrefix(rq.URL.Path, "/keep"):
		ce.kept <- nc
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
		_, _ = br.ReadByte()
	default:
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nbody")
		for range ce.closing {
			_ = (<-ce.kept).Close()
		}
	}
	_ = nc.Close()
}

// Guards against taking a connection that a dying process has not closed yet, or that was opened too late, for a sign of life.
func TestEndIsConfirmedByOlderConnectionsThatStayOpen(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		older, closing, later int
		want                  attempt.EndEvidence
	}{
		"no other connection": {0, 0, 0, attempt.SameStart},
		"an older one":        {1, 0, 0, attempt.OtherConnection},
		"several older ones":  {3, 0, 0, attempt.OtherConnection},
		"the older one ends":  {1, 1, 0, attempt.SameStart},
		"one of several ends": {3, 1, 0, attempt.SameStart},
		"a later one":         {0, 0, 1, attempt.SameStart},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ce := &confirmingEndpoint{kept: make(chan net.Conn, 8), asked: make(chan struct{}, 8), closing: tc.closing}
			target, _ := serve(t, ce.serve)
			target.StartTimeMs = 7
			po := newStartPool()
			send := func(path string) *attempt.Response {
				rs, err := po.Send(t.Context(), target, 0, http.MethodGet, []byte("GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
				require.NoError(t, err)
				t.Cleanup(rs.Close)
				return rs
			}
			for range tc.older {
				send("/keep")
			}
			rs := send("/")
			body, err := io.ReadAll(rs)
			require.NoError(t, err)
			require.Equal(t, "body", string(body))
			for range tc.later {
				send("/keep")
			}
			got, err := rs.ConfirmEnd(t.Context())
			require.NoError(t, err)
			require.Equal(t, tc.want, got)
			require.Len(t, ce.asked, map[bool]int{true: 1}[tc.want == attempt.SameStart])
		})
	}
}
