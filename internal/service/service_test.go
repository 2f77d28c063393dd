package service_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/service"
	"github.com/bergamotway/bergamotway/internal/standin/raw"
)

// respondOnce starts a service that sends response to one request and closes the connection, with a reset if
// isReset is set.
func respondOnce(t *testing.T, response string, isReset bool) string {
	t.Helper()
	address, stop, err := raw.RespondOnce(response, isReset)
	require.NoError(t, err)
	t.Cleanup(func() { _ = stop() })
	return address
}

func TestPartialResponseIsBroken(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		isReset  bool
		body     string
		isWhole  bool
	}{
		"without length":            {"HTTP/1.1 200 OK\r\n\r\nthe body", false, "the body", true},
		"without length or body":    {"HTTP/1.1 200 OK\r\n\r\n", false, "", true},
		"without length, reset":     {"HTTP/1.1 200 OK\r\n\r\nthe body", true, "", false},
		"without body, reset":       {"HTTP/1.1 200 OK\r\n\r\n", true, "", false},
		"shorter than announced":    {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nthe body", false, "", false},
		"shorter and reset":         {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nthe body", true, "", false},
		"without the last chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n", false, "", false},
		"reset after the last byte": {"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nthe body", true, "the body", true},
	} {
		t.Run(name, func(t *testing.T) {
			address := respondOnce(t, tc.response, tc.isReset)
			client := service.NewClient(connection.NewDialer(connection.Options{}))
			rsp, err := client.Do(context.Background(), address, service.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
			if tc.isWhole {
				require.NoError(t, err)
				require.Equal(t, tc.body, string(rsp.Body))
				return
			}
			var be *connection.BrokenError
			require.ErrorAs(t, err, &be)
		})
	}
}

// Guards against a success made of an answer whose head stops in the middle.
func TestAnswerWithPartOfItsHeadIsBroken(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"until the close":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"after an interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := service.NewClient(connection.NewDialer(connection.Options{}))
			for n := range len(head) {
				address := respondOnce(t, head[:n], false)
				_, err := client.Do(context.Background(), address, service.Request{Method: http.MethodPost, Path: "/", Body: []byte("x")})
				var be *connection.BrokenError
				require.ErrorAs(t, err, &be, "%q", head[:n])
			}
		})
	}
}
