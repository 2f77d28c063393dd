package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
	"github.com/bergamotway/bergamotway/internal/standin/modelengine"
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
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				rq, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, rq.Body)
				_, _ = io.WriteString(nc, header+tc.answer)
				if tcp, ok := nc.(*net.TCPConn); ok && tc.isReset {
					_ = tcp.SetLinger(0)
				}
			}()
			_, err = countTokens(t, ln.Addr().String())
			if tc.isWhole {
				require.ErrorIs(t, err, io.EOF)
				return
			}
			var be *connection.BrokenError
			require.ErrorAs(t, err, &be)
		})
	}
}
