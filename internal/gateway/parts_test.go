package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/retry"
)

const deadlyPart = "dead"

// fragileEndpoint streams one event in response to each request. A request whose prompt holds deadlyPart stops it, after
// the given response.
type fragileEndpoint struct {
	listener     net.Listener
	stop         func()
	lastResponse string
}

func startFragileEndpoint(t *testing.T, lastResponse string) *fragileEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fe := &fragileEndpoint{listener: ln, lastResponse: lastResponse, stop: sync.OnceFunc(func() { _ = ln.Close() })}
	t.Cleanup(fe.stop)
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go fe.serve(cn)
		}
	}()
	return fe
}

func (fe *fragileEndpoint) serve(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	br := bufio.NewReader(cn)
	rq, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if rq.URL.Path == "/report" {
		_, _ = io.WriteString(cn, startAnswer)
		return
	}
	if strings.Contains(rq.Header.Get("X-Prompt-Prefix"), deadlyPart) {
		fe.stop()
		if fe.lastResponse != "" {
			_, _ = fmt.Fprintf(cn, fe.lastResponse, rq.Header.Get("X-Request-Id"))
		}
		return
	}
	_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\n"+sealedHeader+"Connection: close\r\n\r\nid: 1\ndata: x\n\n", rq.Header.Get("X-Request-Id"))
}

// partFixture is a gateway in front of fragile endpoints. Its clock stands still between requests.
type partFixture struct {
	ck    *clockwork.FakeClock
	parts *quarantine.PartTracker
	fl    *fleet.Fleet
	gw    *gateway.Gateway
	sent  int
}

func newPartFixture(t *testing.T, maxAttempts int) *partFixture {
	t.Helper()
	fx := &partFixture{ck: clockwork.NewFakeClockAt(time.Now())}
	fx.parts = quarantine.NewPartTracker(quarantine.PartOptions{Clock: fx.ck, Host: "host"})
	fx.fl = fleet.New(fleet.Options{Clock: fx.ck, Host: "host"})
	opts := gatewayOptions(fx.ck, fx.fl)
	opts.Budget = retry.NewWindowBudget(fx.ck, retry.Limits{Window: time.Second, Slack: 100})
	opts.Parts = fx.parts
	fx.gw = gateway.New(opts)
	fx.gw.Configure(catalog.New(catalog.Spec{
		Version: 1, Routes: []catalog.Route{{
			Name: "note", Kind: catalog.Streaming, Resumable: true, Host: "shop.example", Prefix: "/", MaxAttempts: maxAttempts,
			Services: []catalog.WeightedService{{Service: "engines"}},
		}},
		Services: []catalog.Service{{Name: "engines"}},
	}))
	return fx
}

// addEndpoints starts endpoints.
func (fx *partFixture) addEndpoints(t *testing.T, count int) {
	t.Helper()
	fx.addRespondingEndpoints(t, count, "")
}

// addRespondingEndpoints starts endpoints that write a response before they stop.
func (fx *partFixture) addRespondingEndpoints(t *testing.T, count int, lastResponse string) {
	t.Helper()
	for range count {
		fe := startFragileEndpoint(t, lastResponse)
		id := fe.listener.Addr().String()
		fx.fl.Put(fleet.Entry{ID: id, Service: "engines", Address: id, Zone: "here", Slots: 8})
	}
}

// send sends a request whose prompt consists of the parts and one of its own. It returns the status and the body; the
// status is zero if the response was broken off.
func (fx *partFixture) send(parts ...string) (status int, body string) {
	fx.sent++
	hr := httptest.NewRequest(http.MethodPost, fmt.Sprint("/", fx.sent), nil)
	hr.Host = "shop.example"
	hr.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", fx.sent))
	hr.Header.Set("X-Prompt-Prefix", strings.Join(append(parts, fmt.Sprint("own", fx.sent)), ":10,")+":10")
	rr := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, body = 0, ""
		}
	}()
	fx.gw.ServeHTTP(rr, hr)
	return rr.Code, rr.Body.String()
}

// Guards against sending on requests of which no two are alike but all hold a part that crashes endpoints.
func TestPartThatCrashesEndpointsIsRefused(t *testing.T) {
	fx := newPartFixture(t, 1)
	fx.addEndpoints(t, 12)
	for i := range 3 {
		status, _ := fx.send("team", fmt.Sprint("session", i), deadlyPart)
		require.Equal(t, http.StatusBadGateway, status)
		fx.ck.Advance(400 * time.Millisecond)
		status, _ = fx.send("team", "other")
		require.Equal(t, http.StatusOK, status)
	}
	for i := range 5 {
		status, body := fx.send("team", fmt.Sprint("session", i), deadlyPart)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "crashes-endpoints\n", body)
		status, _ = fx.send("team", fmt.Sprint("session", i))
		require.Equal(t, http.StatusOK, status, "requests with the other parts are served")
	}
	require.Len(t, fx.parts.Verdicts(), 1)
	require.Equal(t, 3, fx.parts.Verdicts()[0].Crashes)
}

// Guards against a retry of a request whose part has been blocked since its first attempt.
func TestRetryOfBlockedPartIsNotSent(t *testing.T) {
	fx := newPartFixture(t, 3)
	fx.addEndpoints(t, 12)
	crashes := func() int { return fx.parts.Verdicts()[0].Crashes }
	fx.parts.Merge(quarantine.Verdict{Part: deadlyPart, Crashes: 3, Strikes: 1, LastCrash: fx.ck.Now()})
	fx.ck.Advance(31 * time.Second)
	status, _ := fx.send("team", deadlyPart)
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, 4, crashes(), "the trial crashes one endpoint")
	fx.ck.Advance(31 * time.Second)
	status, _ = fx.send("team", deadlyPart)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, 4, crashes())
}

// Guards against a part that stays blocked although a trial with it was answered.
func TestAnsweredTrialClearsPart(t *testing.T) {
	fx := newPartFixture(t, 1)
	fx.addEndpoints(t, 1)
	fx.parts.Merge(quarantine.Verdict{Part: "sound", Crashes: 3, Strikes: 1, LastCrash: fx.ck.Now()})
	status, _ := fx.send("sound")
	require.Equal(t, http.StatusServiceUnavailable, status)
	fx.ck.Advance(31 * time.Second)
	for range 3 {
		status, _ = fx.send("sound")
		require.Equal(t, http.StatusOK, status)
	}
	require.Empty(t, fx.parts.Verdicts())
}

// Guards against blocking the part that belongs to one request alone.
func TestLastPartIsNotAccused(t *testing.T) {
	fx := newPartFixture(t, 1)
	fx.addEndpoints(t, 6)
	for range 3 {
		fx.ck.Advance(400 * time.Millisecond)
		fx.sent = 0
		hr := httptest.NewRequest(http.MethodPost, "/", nil)
		hr.Host = "shop.example"
		hr.Header.Set("X-Request-Id", "id")
		hr.Header.Set("X-Prompt-Prefix", deadlyPart+":10")
		fx.gw.ServeHTTP(httptest.NewRecorder(), hr)
	}
	require.Zero(t, fx.parts.SuspectCount())
}

// Guards against a crash that looked like the end of a stream, or like its first event.
func TestCrashBeforeTheFirstEventAccusesPartInEachForm(t *testing.T) {
	const undelimited = "HTTP/1.1 200 OK\r\n" + sealedHeader + "\r\n"
	const chunked = "HTTP/1.1 200 OK\r\n" + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n"
	for name, lastResponse := range map[string]string{
		"header without length": undelimited,
		"blank line":            undelimited + "\n",
		"comment":               undelimited + ": alive\n\n",
		"half an event":         undelimited + "id: 1\nda",
		"chunked header":        chunked,
		"chunked blank line":    chunked + "1\r\n\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			fx := newPartFixture(t, 1)
			fx.addRespondingEndpoints(t, 12, lastResponse)
			forwarded := 0
			for range 8 {
				if _, body := fx.send("team", deadlyPart); body != "crashes-endpoints\n" {
					forwarded++
				}
				fx.ck.Advance(400 * time.Millisecond)
				fx.send("team", "other")
			}
			require.LessOrEqual(t, forwarded, 5)
		})
	}
}
