package engine_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
	"github.com/bergamotway/bergamotway/internal/standin/modelengine"
	"github.com/bergamotway/bergamotway/internal/standin/raw"
)

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sv := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = sv.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// respondOnce starts an engine that sends response to one request and closes the connection, with a reset if
// isReset is set.
func respondOnce(t *testing.T, response string, isReset bool) string {
	t.Helper()
	address, stop, err := raw.RespondOnce(response, isReset)
	require.NoError(t, err)
	t.Cleanup(func() { _ = stop() })
	return address
}

// countTokens runs a request and returns the number of tokens received and the error that ended the
// stream.
func countTokens(t *testing.T, address string) (int, error) {
	t.Helper()
	client := engine.NewClient(connection.NewDialer(connection.Options{}))
	st, err := client.Open(context.Background(), address, engine.Run{
		ID: "r", Version: "v1", Messages: []engine.Message{{Role: "user", Content: "hi"}},
	})
	require.NoError(t, err)
	defer func() { _ = st.Close() }()
	for n := 0; ; n++ {
		if _, err = st.Next(); err != nil {
			return n, err
		}
	}
}

func TestEventOfAnotherRunIsRejected(t *testing.T) {
	inj := &fault.Injector{}
	inj.SetFaults(fault.Set{CrossIDs: true})
	n, err := countTokens(t, serve(t, modelengine.New(modelengine.Options{Clock: clock.System()}, inj).Handle))
	var wr *engine.WrongRunError
	require.ErrorAs(t, err, &wr)
	require.Zero(t, n)
}

// TestAnswerWithoutFinishReasonIsBroken checks that a truncated answer is not taken for a complete
// one: the engine sends the [DONE] marker without an event that has a finish reason.
func TestAnswerWithoutFinishReasonIsBroken(t *testing.T) {
	address := serve(t, func(fc *fasthttp.RequestCtx) {
		fc.Response.Header.Set(engine.HeaderVersion, "v1")
		fc.SetBodyString("data: {\"id\":\"r\",\"seq\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	})
	_, err := countTokens(t, address)
	var be *connection.BrokenError
	require.ErrorAs(t, err, &be)
}

func TestUndelimitedAnswerIsCompleteOnlyWithItsEndMark(t *testing.T) {
	const (
		header = "HTTP/1.1 200 OK\r\n" + engine.HeaderVersion + ": v1\r\n\r\n"
		token  = "data: {\"id\":\"r\",\"seq\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
		finish = "data: {\"id\":\"r\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
		done   = "data: [DONE]\n\n"
	)
	for name, tc := range map[string]struct {
		answer  string
		isReset bool
		isWhole bool
	}{
		"whole":                          {token + finish + done, false, true},
		"without events":                 {"", false, false},
		"ends within an event":           {token + token[:len(token)/2], false, false},
		"ends within the end mark":       {token + finish + "data: [DO", false, false},
		"ends between events":            {token, false, false},
		"ends before the end mark":       {token + finish, false, false},
		"reset within an event":          {token + token[:len(token)/2], true, false},
		"reset between events":           {token, true, false},
		"reset before the first event":   {"", true, false},
		"reset before the end mark":      {token + finish, true, false},
		"ends after a part of its field": {token + "data: ", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := countTokens(t, respondOnce(t, header+tc.answer, tc.isReset))
			if tc.isWhole {
				require.ErrorIs(t, err, io.EOF)
				return
			}
			var be *connection.BrokenError
			require.ErrorAs(t, err, &be)
		})
	}
}

// Guards against an empty answer made of a head that stops in the middle.
func TestStreamHeadThatStopsIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + engine.HeaderVersion + ": v1\r\n\r\n"
	client := engine.NewClient(connection.NewDialer(connection.Options{}))
	for n := range len(head) {
		_, err := client.Open(context.Background(), respondOnce(t, head[:n], false), engine.Run{ID: "r", Version: "v1"})
		var be *connection.BrokenError
		require.ErrorAs(t, err, &be, "%q", head[:n])
	}
}

// Guards against the text of an error in the middle of a stream that a second engine continues.
func TestErrorTextIsNoPartOfAContinuedAnswer(t *testing.T) {
	const version = engine.HeaderVersion + ": v1\r\n"
	for name, response := range map[string]string{
		"error":                   "HTTP/1.1 500 Internal Server Error\r\n" + version + "Content-Length: 5\r\n\r\noops\n",
		"refusal":                 "HTTP/1.1 503 Service Unavailable\r\n" + version + "Content-Length: 5\r\n\r\nfull\n",
		"error in a success":      "HTTP/1.1 200 OK\r\n" + version + "Content-Length: 6\r\n\r\noops\n\n",
		"head in a success":       "HTTP/1.1 200 OK\r\n" + version + "\r\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\noops\n",
		"text in an event":        "HTTP/1.1 200 OK\r\n" + version + "\r\ndata: oops\n\n",
		"event without a run":     "HTTP/1.1 200 OK\r\n" + version + "\r\ndata: {\"seq\":3,\"choices\":[{\"delta\":{\"content\":\"oops\"}}]}\n\n",
		"end without any event":   "HTTP/1.1 200 OK\r\n" + version + "\r\ndata: [DONE]\n\n",
		"error and then the end":  "HTTP/1.1 200 OK\r\n" + version + "\r\noops\n\ndata: [DONE]\n\n",
		"error in a JSON message": "HTTP/1.1 200 OK\r\n" + version + "\r\ndata: {\"id\":\"r\",\"error\":{\"message\":\"oops\"}}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := engine.NewClient(connection.NewDialer(connection.Options{}))
			st, err := client.Open(context.Background(), respondOnce(t, response, false), engine.Run{
				ID: "r", Version: "v1", Resumed: "abc", ResumedTokens: 3,
			})
			if err != nil {
				return
			}
			defer func() { _ = st.Close() }()
			tok, err := st.Next()
			require.Error(t, err, "%+v", tok)
			require.NotErrorIs(t, err, io.EOF)
		})
	}
}
