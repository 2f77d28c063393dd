package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/endpoint"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/entry"
	"github.com/bergamotway/bergamotway/internal/link"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/settings"
	"github.com/bergamotway/bergamotway/internal/slot"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

type (
	// fixture is a server over TCP with a fake engine behind the real chain.
	fixture struct {
		address   string
		server    *entry.Server
		cancelled atomic.Int64
		opened    atomic.Int64
		tokenTime time.Duration
		tokens    int
	}

	fakeStream struct {
		fx   *fixture
		ctx  context.Context
		next int
	}
)

const bodyLimit = 64 << 10

func (*fixture) Ready() error { return nil }

func (fx *fixture) Open(ctx context.Context, _ string, _ engine.Run) (dispatch.Stream, error) {
	fx.opened.Add(1)
	return &fakeStream{fx: fx, ctx: ctx}, nil
}

func (*fixture) Load(context.Context, string) (engine.Load, error) { return engine.Load{}, nil }

func (*fixture) Import(context.Context, string, string, []engine.Piece) (engine.MovedPieces, error) {
	return engine.MovedPieces{}, nil
}

func (*fixture) Export(context.Context, string, string, string, []string) (engine.MovedPieces, error) {
	return engine.MovedPieces{}, nil
}

func (fx *fixture) Cancel(context.Context, string, string) error {
	fx.cancelled.Add(1)
	return nil
}

func (*fixture) Lookup(context.Context, string, []string) ([]engine.Piece, error) { return nil, nil }

func (*fixture) Take(context.Context, slot.Ask) (slot.Answer, error) {
	return slot.Answer{Grant: "g", Version: "v1"}, nil
}

func (*fixture) Release(context.Context, slot.Release) {}

func (*fixture) Wait(context.Context, link.Ask) (link.Answer, error) { return link.Answer{}, nil }

func (*fixture) AnnounceCrash(context.Context, string, []quarantine.Fingerprint) {}

func (fs *fakeStream) Next() (engine.Token, error) {
	select {
	case <-fs.ctx.Done():
		return engine.Token{}, connection.NewBrokenError("engine", false, fs.ctx.Err())
	case <-time.After(fs.fx.tokenTime):
	}
	fs.next++
	switch {
	case fs.next <= fs.fx.tokens:
		return engine.Token{Text: "word ", Sequence: fs.next - 1}, nil
	case fs.next == fs.fx.tokens+1:
		return engine.Token{Finish: "stop"}, nil
	default:
		return engine.Token{}, io.EOF
	}
}

func (*fakeStream) Close() error { return nil }

func (*fakeStream) CachedTokens() int { return 0 }

func (*fakeStream) StartID() string { return "start" }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fx := &fixture{tokens: 3, tokenTime: time.Millisecond}
	sn := configuration.NewSnapshot(1, "test", configuration.Document{
		Models:    []configuration.Model{{Name: "m", Version: "v1", Window: 2000}},
		Classes:   []configuration.Class{{Name: "crew", Model: "m", FirstToken: settings.Duration(time.Second)}},
		Endpoints: []configuration.Endpoint{{Name: "e", Address: "127.0.0.1:1", Model: "m"}},
		Teams:     []configuration.Team{{Name: "t", TokenHashes: []string{configuration.HashToken("secret")}}},
	})
	snapshot := func() *configuration.Snapshot { return sn }
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	meter, err := telemetry.New()
	require.NoError(t, err)
	clk := clock.System()
	bd := quarantine.NewBoard(clk)
	runner := dispatch.New(dispatch.Parts{
		Host: "h", Clock: clk, Snapshot: snapshot, Engines: fx, Stores: fx, Slots: fx, Turns: fx, Announcer: fx,
		Registry: endpoint.NewRegistry(clk, snapshot), Board: bd, Budget: &retry.Budget{}, Meter: meter, Log: lg,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	fx.server = entry.NewServer(entry.ServerOptions{
		Chat:    entry.ChatChain(fx, snapshot, bd, admission.NewGate(clk, 8), runner),
		Service: entry.ServiceChain(fx, snapshot, entry.BookOptions{Clock: clk}),
		Clock:   clk, Meter: meter, Log: lg, BodyLimit: bodyLimit, HeaderLimit: 4096,
		ReadLimit: 500 * time.Millisecond, WriteLimit: 300 * time.Millisecond, Heartbeat: 50 * time.Millisecond,
		Linger: 5 * time.Second,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fx.address = ln.Addr().String()
	go func() { _ = fx.server.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_ = fx.server.Shutdown(ctx)
	})
	return fx
}

func (fx *fixture) post(t *testing.T, token, path, body string) (status int, code, run string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+fx.address+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Close = true
	rsp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = rsp.Body.Close() }()
	var out struct {
		Error struct{ Code, Run string }
	}
	data, err := io.ReadAll(rsp.Body)
	require.NoError(t, err)
	if rsp.StatusCode != http.StatusOK {
		require.NoError(t, json.Unmarshal(data, &out), "%s", data)
	}
	return rsp.StatusCode, out.Error.Code, out.Error.Run
}

func chatBody(class, text string) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, class, text)
}

func TestBadInputIsRefusedWithItsCode(t *testing.T) {
	fx := newFixture(t)
	const chat = "/v1/chat/completions"
	cases := map[string]struct {
		token, path, body string
		want              refusal.Code
	}{
		"broken JSON":       {"secret", chat, `{"model":`, refusal.InvalidRequest},
		"wrong types":       {"secret", chat, `{"model":7,"messages":"x"}`, refusal.InvalidRequest},
		"no messages":       {"secret", chat, `{"model":"crew","messages":[]}`, refusal.InvalidRequest},
		"unknown class":     {"secret", chat, chatBody("nope", "hi"), refusal.UnknownClass},
		"unknown token":     {"other", chat, chatBody("crew", "hi"), refusal.Unauthenticated},
		"history too long":  {"secret", chat, chatBody("crew", strings.Repeat("a", 9000)), refusal.HistoryTooLong},
		"body too large":    {"secret", chat, chatBody("crew", strings.Repeat("a", bodyLimit)), refusal.BodyTooLarge},
		"unknown path":      {"secret", "/v2/else", "{}", refusal.NotFound},
		"unknown service":   {"secret", "/services/none/book", "{}", refusal.NotFound},
		"service, no token": {"", "/services/none/book", "{}", refusal.Unauthenticated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, code, run := fx.post(t, c.token, c.path, c.body)
			require.Equal(t, c.want.String(), code)
			require.Equal(t, c.want.Status(), status)
			require.Equal(t, "not-run", run)
		})
	}
	require.Zero(t, fx.opened.Load(), "not run is true")
	status, _, _ := fx.post(t, "secret", chat, chatBody("crew", "hi"))
	require.Equal(t, http.StatusOK, status)
}

// TestEndlessBody sends a body that never ends.
func TestEndlessBody(t *testing.T) {
	fx := newFixture(t)
	conn, err := net.Dial("tcp", fx.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n{")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	data, err := io.ReadAll(conn)
	require.NoError(t, err, "the server ends the connection")
	require.Contains(t, string(data), "not-run")
}

// TestCallerLeavesMidStream closes the caller's connection: the run is cancelled at the engine.
func TestCallerLeavesMidStream(t *testing.T) {
	fx := newFixture(t)
	fx.tokens, fx.tokenTime = 100_000, 5*time.Millisecond
	conn := fx.openStream(t)
	rd := bufio.NewReader(conn)
	for {
		line, err := rd.ReadString('\n')
		require.NoError(t, err)
		if strings.HasPrefix(line, "data: ") {
			break
		}
	}
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return fx.cancelled.Load() == 1 }, 10*time.Second, 10*time.Millisecond)
}

// TestCallerStopsReading leaves the answer in the connection: the run is cancelled, too.
func TestCallerStopsReading(t *testing.T) {
	fx := newFixture(t)
	fx.tokens, fx.tokenTime = 10_000_000, 0
	conn := fx.openStream(t)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return fx.cancelled.Load() == 1 }, 30*time.Second, 10*time.Millisecond)
}

func (fx *fixture) openStream(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", fx.address)
	require.NoError(t, err)
	body := `{"model":"crew","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(t, err)
	return conn
}

// TestShutdownFinishesStreams stops the server while a stream runs: the caller gets the whole answer.
func TestShutdownFinishesStreams(t *testing.T) {
	fx := newFixture(t)
	fx.tokens, fx.tokenTime = 50, 10*time.Millisecond
	conn := fx.openStream(t)
	defer func() { _ = conn.Close() }()
	rd := bufio.NewReader(conn)
	_, err := rd.ReadString('\n')
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- fx.server.Shutdown(context.Background()) }()
	whole := false
	for !whole {
		line, err := rd.ReadString('\n')
		require.NoError(t, err, "cut by the shutdown")
		whole = strings.Contains(line, "[DONE]")
	}
	require.NoError(t, conn.Close())
	require.NoError(t, <-done)
}

// A stop once closed kept connections at once, and with them requests that crossed it.
func TestStopAnswersRequestThatCrosses(t *testing.T) {
	fx := newFixture(t)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", fx.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	ask := func(conn net.Conn, br *bufio.Reader) bool {
		_, err := fmt.Fprintf(conn, "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		rsp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "a request on a kept connection has no answer")
		defer func() { _ = rsp.Body.Close() }()
		_, err = io.Copy(io.Discard, rsp.Body)
		require.NoError(t, err)
		return rsp.Close
	}
	idle, idleReader := dial()
	require.False(t, ask(idle, idleReader))
	busy, busyReader := dial()
	ended := make(chan error, 1)
	go func() { ended <- fx.server.Shutdown(context.Background()) }()
	for !ask(busy, busyReader) {
	}
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := idleReader.Peek(1)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the kept connection is closed")
	require.NoError(t, idle.SetReadDeadline(time.Time{}))
	require.True(t, ask(idle, idleReader))
	require.NoError(t, <-ended)
}
