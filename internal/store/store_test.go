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

// fixture is a store host and two model engines, with the history that the tests move between them.
type fixture struct {
	storeHost     *storehost.Host
	storeFaults   fault.Injector
	storeAddress  string
	client        *store.Client
	engines       *engine.Client
	firstAddress  string
	secondAddress string
	secondEngine  *modelengine.Engine
	firstFaults   fault.Injector
	salt          string
	pieceNames    []string
	messages      []engine.Message
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

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{}
	fx.storeHost = storehost.New(storehost.Options{Clock: clock.System(), Capacity: 8}, &fx.storeFaults)
	fx.storeAddress = serve(t, fx.storeFaults.Wrap(fx.storeHost.Handle))
	firstEngine := modelengine.New(modelengine.Options{Clock: clock.System(), PrefillRate: 1e7}, &fx.firstFaults)
	fx.secondEngine = modelengine.New(modelengine.Options{Clock: clock.System(), PrefillRate: 1e7}, &fault.Injector{})
	fx.firstAddress, fx.secondAddress = serve(t, fx.firstFaults.Wrap(firstEngine.Handle)), serve(t, fx.secondEngine.Handle)
	dialer := connection.NewDialer(connection.Options{IdleTimeout: 2 * time.Second})
	fx.client, fx.engines = store.NewClient(dialer), engine.NewClient(dialer)
	scope := history.Scope{Team: "t", Model: "m", Version: "v1"}
	fx.salt = scope.Salt().String()
	fx.messages = []engine.Message{{Role: "user", Content: strings.Repeat("the boning knife ", 3000)}}
	for _, n := range history.Names(scope, engine.RenderPrompt(fx.messages)) {
		fx.pieceNames = append(fx.pieceNames, n.String())
	}
	require.Len(t, fx.pieceNames, 3)
	return fx
}

// run runs the history on the engine at address and returns the complete answer.
func (fx *fixture) run(t *testing.T, address string) string {
	t.Helper()
	st, err := fx.engines.Open(context.Background(), address, engine.Run{
		ID: "r", Model: "m", Version: "v1", Salt: fx.salt, Messages: fx.messages,
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

// export runs the history on the first engine and exports its pieces from there.
func (fx *fixture) export(t *testing.T) {
	t.Helper()
	fx.run(t, fx.firstAddress)
	_, err := fx.engines.Export(context.Background(), fx.firstAddress, fx.salt, fx.storeAddress, fx.pieceNames)
	require.NoError(t, err)
}

func (fx *fixture) lookup(t *testing.T) []engine.Piece {
	t.Helper()
	pieces, err := fx.client.Lookup(context.Background(), fx.storeAddress, fx.pieceNames)
	require.NoError(t, err)
	return pieces
}

func TestImportedHistoryIsNotRecomputed(t *testing.T) {
	fx := newFixture(t)
	fx.export(t)
	pieces := fx.lookup(t)
	require.Len(t, pieces, 3)
	moved, err := fx.engines.Import(context.Background(), fx.secondAddress, fx.salt, pieces)
	require.NoError(t, err)
	require.Equal(t, 3, moved.Pieces)
	require.Equal(t, fx.run(t, fx.firstAddress), fx.run(t, fx.secondAddress))
	require.Less(t, fx.secondEngine.Stats().PrefilledTokens, history.PieceTokens)
}

// TestPartiallyWrittenPieceIsNotListed checks that an uncommitted piece is not returned by a lookup,
// after an export that was cut off halfway.
func TestPartiallyWrittenPieceIsNotListed(t *testing.T) {
	fx := newFixture(t)
	fx.firstFaults.SetFaults(fault.Set{CutExports: true})
	fx.export(t)
	require.Empty(t, fx.lookup(t))
}

// TestOverwrittenPieceIsNotImported checks that the generation of a piece is verified: a piece is
// evicted and its memory is rewritten between the lookup and the import.
func TestOverwrittenPieceIsNotImported(t *testing.T) {
	fx := newFixture(t)
	fx.export(t)
	pieces := fx.lookup(t)
	fx.storeHost.Free(fx.pieceNames[1])
	fx.export(t)
	moved, err := fx.engines.Import(context.Background(), fx.secondAddress, fx.salt, pieces)
	require.NoError(t, err)
	require.LessOrEqual(t, moved.Pieces, 1, "no piece after the overwritten one is imported")
	require.Equal(t, fx.run(t, fx.firstAddress), fx.run(t, fx.secondAddress), "the answer is complete without the import")
}

// TestCorruptPieceIsNotImported checks that the checksum of a piece is verified: bytes are flipped
// in transit.
func TestCorruptPieceIsNotImported(t *testing.T) {
	fx := newFixture(t)
	fx.export(t)
	pieces := fx.lookup(t)
	fx.storeFaults.SetFaults(fault.Set{Corrupt: true})
	moved, err := fx.engines.Import(context.Background(), fx.secondAddress, fx.salt, pieces)
	require.NoError(t, err)
	require.Zero(t, moved.Pieces)
	require.Equal(t, 1, fx.secondEngine.Stats().BadImports)
	require.Equal(t, fx.run(t, fx.firstAddress), fx.run(t, fx.secondAddress))
}

// TestFullStoreEvictsWholePieces checks that evicted pieces are not returned by a lookup, after
// more pieces were written than fit.
func TestFullStoreEvictsWholePieces(t *testing.T) {
	fx := newFixture(t)
	fx.export(t)
	for i := range 8 {
		_, _, err := fasthttp.Post(nil, "http://"+fx.storeAddress+"/v1/pieces/other-"+strings.Repeat("x", i+1), nil)
		require.NoError(t, err)
	}
	require.Empty(t, fx.lookup(t))
	require.Zero(t, fx.storeHost.PieceCount(), "pieces that are still being written do not count as stored")
}
