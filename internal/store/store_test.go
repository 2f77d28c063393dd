package store_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
	"github.com/bergamotway/bergamotway/internal/standin/modelengine"
	"github.com/bergamotway/bergamotway/internal/standin/storehost"
	"github.com/bergamotway/bergamotway/internal/store"
)

type bench struct {
	host       *storehost.Host
	hostFaults fault.Switch
	store      string
	client     *store.Client
	engines    *engine.Client
	first      string
	second     string
	other      *modelengine.Engine
	firstFault fault.Switch
	salt       string
	names      []string
	text       []engine.Message
}

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sv := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = sv.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func newBench(t *testing.T) *bench {
	t.Helper()
	be := &bench{}
	be.host = storehost.New(storehost.Options{Clock: clock.System(), Capacity: 8}, &be.hostFaults)
	be.store = serve(t, be.hostFaults.Wrap(be.host.Handle))
	one := modelengine.New(modelengine.Options{Clock: clock.System(), PrefillRate: 1e7}, &be.firstFault)
	be.other = modelengine.New(modelengine.Options{Clock: clock.System(), PrefillRate: 1e7}, &fault.Switch{})
	be.first, be.second = serve(t, be.firstFault.Wrap(one.Handle)), serve(t, be.other.Handle)
	dialer := connection.NewDialer(connection.Options{Silence: 2 * time.Second})
	be.client, be.engines = store.NewClient(dialer), engine.NewClient(dialer)
	scope := history.Scope{Team: "t", Model: "m", Version: "v1"}
	be.salt = scope.Salt().String()
	be.text = []engine.Message{{Role: "user", Content: strings.Repeat("the boning knife ", 3000)}}
	for _, n := range history.Names(scope, engine.Text(be.text)) {
		be.names = append(be.names, n.String())
	}
	require.Len(t, be.names, 3)
	return be
}

// ask runs the history at an endpoint and returns the whole answer.
func (be *bench) ask(t *testing.T, address string) string {
	t.Helper()
	st, err := be.engines.Open(context.Background(), address, engine.Run{
		ID: "r", Model: "m", Version: "v1", Salt: be.salt, Messages: be.text,
	})
	require.NoError(t, err)
	defer func() { _ = st.Close() }()
	text := ""
	for {
		tok, err := st.Next()
		if err != nil {
			return text
		}
		text += tok.Text
	}
}

func (be *bench) export(t *testing.T) {
	t.Helper()
	be.ask(t, be.first)
	_, err := be.engines.Export(context.Background(), be.first, be.salt, be.store, be.names)
	require.NoError(t, err)
}

func (be *bench) lookup(t *testing.T) []engine.Piece {
	t.Helper()
	pieces, err := be.client.Lookup(context.Background(), be.store, be.names)
	require.NoError(t, err)
	return pieces
}

func TestKeptHistoryIsNotReadAgain(t *testing.T) {
	be := newBench(t)
	be.export(t)
	pieces := be.lookup(t)
	require.Len(t, pieces, 3)
	moved, err := be.engines.Import(context.Background(), be.second, be.salt, pieces)
	require.NoError(t, err)
	require.Equal(t, 3, moved.Pieces)
	require.Equal(t, be.ask(t, be.first), be.ask(t, be.second))
	require.Less(t, be.other.Stats().ReadTokens, history.PieceTokens)
}

// TestPartlyWrittenPieceIsNotOffered cuts an export half way.
func TestPartlyWrittenPieceIsNotOffered(t *testing.T) {
	be := newBench(t)
	be.firstFault.Apply(fault.Set{CutExports: true})
	be.export(t)
	require.Empty(t, be.lookup(t))
}

// TestReusedPieceIsNotRead frees a piece and writes its place anew between look-up and import.
func TestReusedPieceIsNotRead(t *testing.T) {
	be := newBench(t)
	be.export(t)
	pieces := be.lookup(t)
	be.host.Free(be.names[1])
	be.export(t)
	moved, err := be.engines.Import(context.Background(), be.second, be.salt, pieces)
	require.NoError(t, err)
	require.LessOrEqual(t, moved.Pieces, 1, "nothing behind the reused piece is imported")
	require.Equal(t, be.ask(t, be.first), be.ask(t, be.second), "the answer is whole all the same")
}

// TestDamagedPieceIsNotRead flips bytes on the way.
func TestDamagedPieceIsNotRead(t *testing.T) {
	be := newBench(t)
	be.export(t)
	pieces := be.lookup(t)
	be.hostFaults.Apply(fault.Set{Corrupt: true})
	moved, err := be.engines.Import(context.Background(), be.second, be.salt, pieces)
	require.NoError(t, err)
	require.Zero(t, moved.Pieces)
	require.Equal(t, 1, be.other.Stats().BadImports)
	require.Equal(t, be.ask(t, be.first), be.ask(t, be.second))
}

// TestFullStoreFreesWholePieces writes more than fits: what was freed is not offered.
func TestFullStoreFreesWholePieces(t *testing.T) {
	be := newBench(t)
	be.export(t)
	for i := range 8 {
		_, _, err := fasthttp.Post(nil, "http://"+be.store+"/v1/pieces/other-"+strings.Repeat("x", i+1), nil)
		require.NoError(t, err)
	}
	require.Empty(t, be.lookup(t))
	require.Zero(t, be.host.Pieces(), "pieces that are being written do not count as kept")
}
