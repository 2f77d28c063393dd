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
	// fixture is a server on a TCP port with the real filter chain and a fake engine.
	fixture struct {
		address       string
		server        *entry.Server
		cancelCalls   atomic.Int64
		openCalls     atomic.Int64
		tokenInterval time.Duration
		tokenCount    int
		// brokenAfter is the number of tokens after which an answer breaks off; zero means never.
		brokenAfter int
	}

	// fakeStream returns tokenCount tokens at a fixed interval.
	fakeStream struct {
		fx   *fixture
		ctx  context.Context
		next int
	}
)

const maxBodyBytes = 64 << 10

func (*fixture) Ready() error { return nil }

func (fx *fixture) Open(ctx context.Context, _ string, _ engine.Run) (dispatch.Stream, error) {
	fx.openCalls.Add(1)
	return &fakeStream{fx: fx, ctx: ctx}, nil
}

func (*fixture) FetchLoad(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, nil
}

func (*fixture) Import(context.Context, string, string, []engine.Piece) (engine.TransferResult, error) {
	return engine.TransferResult{}, nil
}

func (*fixture) Export(context.Context, string, string, string, []string) (engine.TransferResult, error) {
	return engine.TransferResult{}, nil
}

func (fx *fixture) Cancel(context.Context, string, string) error {
	fx.cancelCalls.Add(1)
	return nil
}

func (*fixture) Lookup(context.Context, string, []string) ([]engine.Piece, error) { return nil, nil }

func (*fixture) Acquire(context.Context, slot.AcquireRequest) (slot.AcquireResponse, error) {
	return slot.AcquireResponse{GrantID: "g", Version: "v1"}, nil
}

func (*fixture) Release(context.Context, slot.ReleaseRequest) {}

func (*fixture) Wait(context.Context, link.TurnRequest) (link.TurnResponse, error) {
	return link.TurnResponse{}, nil
}

func (*fixture) AnnounceCrash(context.Context, string, []quarantine.Fingerprint) {}

func (fs *fakeStream) Next() (engine.Token, error) {
	select {
	case <-fs.ctx.Done():
		return engine.Token{}, connection.NewBrokenError("engine", false, fs.ctx.Err())
	case <-time.After(fs.fx.tokenInterval):
	}
	fs.next++
	switch {
	case fs.fx.brokenAfter > 0 && fs.next > fs.fx.brokenAfter:
		return engine.Token{}, connection.NewBrokenError("engine", false, io.ErrUnexpectedEOF)
	case fs.next <= fs.fx.tokenCount:
		return engine.Token{Text: "word ", Sequence: fs.next - 1}, nil
	case fs.next == fs.fx.tokenCount+1:
		return engine.Token{FinishReason: "stop"}, nil
	default:
		return engine.Token{}, io.EOF
	}
}

func (*fakeStream) Close() error { return nil }

func (*fakeStream) CachedTokens() int { return 0 }

func (*fakeStream) StartID() string { return "start" }

func newFixture(t *testing.T) *fixture {
	return newFixtureWithReadTimeout(t, 500*time.Millisecond)
}

func newFixtureWithReadTimeout(t *testing.T, readTimeout time.Duration) *fixture {
	t.Helper()
	fx := &fixture{tokenCount: 3, tokenInterval: time.Millisecond}
	sn := configuration.NewSnapshot(1, "test", configuration.Document{
		Models:    []configuration.Model{{Name: "m", Version: "v1", ContextWindow: 2000}},
		Classes:   []configuration.Class{{Name: "crew", Model: "m", FirstTokenTarget: settings.Duration(time.Second)}},
		Endpoints: []configuration.Endpoint{{Name: "e", Address: "127.0.0.1:1", Model: "m"}},
		Teams:     []configuration.Team{{Name: "t", TokenHashes: []string{configuration.HashToken("secret")}}},
	})
	snapshot := func() *configuration.Snapshot { return sn }
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	meter, err := telemetry.New()
	require.NoError(t, err)
	clk := clock.System()
	tr := quarantine.NewTracker(clk)
	runner := dispatch.New(dispatch.Dependencies{
		Host: "h", Clock: clk, Snapshot: snapshot, Engines: fx, Stores: fx, Slots: fx, LinkScheduler: fx, Announcer: fx,
		Registry: endpoint.NewRegistry(clk, snapshot), Quarantine: tr, RetryBudget: &retry.Budget{}, Meter: meter, Log: lg,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	fx.server = entry.NewServer(entry.ServerOptions{
		Chat:    entry.ChatChain(fx, snapshot, tr, admission.NewLimiter(clk, 8), runner),
		Service: entry.ServiceChain(fx, snapshot, entry.ServiceOptions{Clock: clk}),
		Clock:   clk, Meter: meter, Log: lg, MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: 4096,
		ReadTimeout: readTimeout, WriteTimeout: 300 * time.Millisecond, HeartbeatInterval: 50 * time.Millisecond,
		DrainTime: 5 * time.Second,
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

func TestInvalidRequestsAreRefused(t *testing.T) {
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
		"body too large":    {"secret", chat, chatBody("crew", strings.Repeat("a", maxBodyBytes)), refusal.BodyTooLarge},
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
	require.Zero(t, fx.openCalls.Load(), "a refused request reached the engine")
	status, _, _ := fx.post(t, "secret", chat, chatBody("crew", "hi"))
	require.Equal(t, http.StatusOK, status)
}

// TestIncompleteBodyTimesOut sends only a part of the announced body: the server must refuse the
// request and close the connection once the read timeout has passed.
func TestIncompleteBodyTimesOut(t *testing.T) {
	fx := newFixture(t)
	conn, err := net.Dial("tcp", fx.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n{")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	data, err := io.ReadAll(conn)
	require.NoError(t, err, "the server must close the connection")
	require.Contains(t, string(data), "not-run")
}

// TestClientDisconnectCancelsRun closes the client's connection in the middle of a stream: the run
// must be canceled at the engine.
func TestClientDisconnectCancelsRun(t *testing.T) {
	fx := newFixture(t)
	fx.tokenCount, fx.tokenInterval = 100_000, 5*time.Millisecond
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
	require.Eventually(t, func() bool { return fx.cancelCalls.Load() == 1 }, 10*time.Second, 10*time.Millisecond)
}

// TestStalledClientCancelsRun keeps the connection open without reading from it: the run must be
// canceled at the engine once a write exceeds the write timeout.
func TestStalledClientCancelsRun(t *testing.T) {
	fx := newFixture(t)
	fx.tokenCount, fx.tokenInterval = 10_000_000, 0
	conn := fx.openStream(t)
	defer func() { _ = conn.Close() }()
	require.Eventually(t, func() bool { return fx.cancelCalls.Load() == 1 }, 30*time.Second, 10*time.Millisecond)
}

func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	fx := newFixture(t)
	fx.brokenAfter = 2
	for _, stream := range []bool{true, false} {
		body := fmt.Sprintf(`{"model":"crew","stream":%t,"messages":[{"role":"user","content":"hi"}]}`, stream)
		rq, err := http.NewRequest(http.MethodPost, "http://"+fx.address+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		rq.Header.Set("Authorization", "Bearer secret")
		rsp, err := http.DefaultClient.Do(rq)
		require.NoError(t, err)
		data, err := io.ReadAll(rsp.Body)
		require.NoError(t, rsp.Body.Close())
		require.NoError(t, err)
		require.Contains(t, string(data), `"error"`)
		require.NotContains(t, string(data), "[DONE]")
		require.NotContains(t, string(data), `"finish_reason":"stop"`)
		require.Equal(t, stream, rsp.StatusCode == http.StatusOK)
	}
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

// TestShutdownFinishesStreams shuts the server down during a stream: the client must still get the
// complete answer.
func TestShutdownFinishesStreams(t *testing.T) {
	fx := newFixture(t)
	fx.tokenCount, fx.tokenInterval = 50, 10*time.Millisecond
	conn := fx.openStream(t)
	defer func() { _ = conn.Close() }()
	rd := bufio.NewReader(conn)
	_, err := rd.ReadString('\n')
	require.NoError(t, err)
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- fx.server.Shutdown(context.Background()) }()
	isComplete := false
	for !isComplete {
		line, err := rd.ReadString('\n')
		require.NoError(t, err, "the shutdown cut the stream")
		isComplete = strings.Contains(line, "[DONE]")
	}
	require.NoError(t, conn.Close())
	require.NoError(t, <-shutdownErr)
}

// TestShutdownAnswersRequestsOnOpenConnections guards against a shutdown that closes idle keep-alive
// connections immediately: a request that is already on the wire would be lost.
func TestShutdownAnswersRequestsOnOpenConnections(t *testing.T) {
	fx := newFixture(t)
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", fx.address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	// send sends a request and reports whether the response announces that the connection closes.
	send := func(conn net.Conn, br *bufio.Reader) bool {
		_, err := fmt.Fprintf(conn, "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		rsp, err := http.ReadResponse(br, nil)
		require.NoError(t, err, "a request on an open connection got no response")
		defer func() { _ = rsp.Body.Close() }()
		_, err = io.Copy(io.Discard, rsp.Body)
		require.NoError(t, err)
		return rsp.Close
	}
	idle, idleReader := dial()
	require.False(t, send(idle, idleReader))
	busy, busyReader := dial()
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- fx.server.Shutdown(context.Background()) }()
	for !send(busy, busyReader) {
	}
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := idleReader.Peek(1)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the idle connection was closed at once")
	require.NoError(t, idle.SetReadDeadline(time.Time{}))
	require.True(t, send(idle, idleReader))
	require.NoError(t, <-shutdownErr)
}
