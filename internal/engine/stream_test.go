package engine_test

import (
	"context"
	"net"
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

// read returns how many tokens came and how the stream ended.
func read(t *testing.T, address string) (int, error) {
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

func TestEventOfAnotherRunIsDropped(t *testing.T) {
	sw := &fault.Switch{}
	sw.Apply(fault.Set{CrossIDs: true})
	n, err := read(t, serve(t, modelengine.New(modelengine.Options{Clock: clock.System()}, sw).Handle))
	var ce *engine.CrossedError
	require.ErrorAs(t, err, &ce)
	require.Zero(t, n)
}

// TestAnswerWithoutItsEndIsBroken serves an end mark without the event that finishes the answer.
func TestAnswerWithoutItsEndIsBroken(t *testing.T) {
	address := serve(t, func(fc *fasthttp.RequestCtx) {
		fc.Response.Header.Set(engine.HeaderVersion, "v1")
		fc.SetBodyString("data: {\"id\":\"r\",\"seq\":0,\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	})
	_, err := read(t, address)
	var be *connection.BrokenError
	require.ErrorAs(t, err, &be)
}
