package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that keep a host busy with events without data until the client's time is over.
func TestStreamOfEventsWithoutDataIsCut(t *testing.T) {
	const (
		timeout    = "20000"
		maxTime    = 10 * time.Second
		maxRelayed = 256 << 10
	)
	for name, chunk := range map[string]string{
		"empty lines":   strings.Repeat("\n", 4<<10),
		"comments":      strings.Repeat(": x\n\n", 1<<10),
		"long comments": ": " + strings.Repeat("x", 64<<10) + "\n\n",
		"other fields":  strings.Repeat("event: x\n\n", 1<<10),
	} {
		for start, first := range map[string]string{"": "", " after an event": "id: 1\ndata: x\n\n"} {
			t.Run(name+start, func(t *testing.T) {
				ee := startEndlessEndpoint(t, "HTTP/1.1 200 OK\r\n"+sealedHeader+"\r\n"+first, chunk, 0)
				sv := httptest.NewServer(newGatewayTo(t, 0, ee.listener.Addr().String()))
				t.Cleanup(sv.Close)
				rq, err := http.NewRequest(http.MethodPost, sv.URL+"/stream/", http.NoBody)
				require.NoError(t, err)
				rq.Host = "shop.example"
				rq.Header.Set("X-Request-Id", "id")
				rq.Header.Set("X-Deadline-Ms", timeout)
				started := time.Now()
				rsp, err := http.DefaultTransport.RoundTrip(rq)
				require.NoError(t, err)
				defer func() { _ = rsp.Body.Close() }()
				n, err := io.Copy(io.Discard, rsp.Body)
				if rsp.StatusCode != http.StatusBadGateway {
					require.Error(t, err, "the stream looks complete")
				}
				require.Less(t, n, int64(maxRelayed))
				require.Less(t, time.Since(started), maxTime)
				require.Eventually(t, func() bool { return ee.open.Load() == 0 }, maxTime, time.Millisecond)
			})
		}
	}
}

func TestCommentsThatKeepAStreamAliveAreForwarded(t *testing.T) {
	const (
		comments = 1100
		interval = 2 * time.Millisecond
	)
	ee := startEndlessEndpoint(t, "HTTP/1.1 200 OK\r\n"+sealedHeader+"\r\n", ": x\n\n", interval)
	sv := httptest.NewServer(newGatewayTo(t, 0, ee.listener.Addr().String()))
	t.Cleanup(sv.Close)
	rq, err := http.NewRequest(http.MethodPost, sv.URL+"/stream/", http.NoBody)
	require.NoError(t, err)
	rq.Host = "shop.example"
	rq.Header.Set("X-Request-Id", "id")
	rsp, err := http.DefaultTransport.RoundTrip(rq)
	require.NoError(t, err)
	defer func() { _ = rsp.Body.Close() }()
	_, err = io.CopyN(io.Discard, rsp.Body, comments*int64(len(": x\n\n")))
	require.NoError(t, err)
}
