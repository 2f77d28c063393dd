package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/origin"
)

// reportingEndpoint answers /report with report, and then, on the same connection and a little later, with extra.
type reportingEndpoint struct {
	listener       net.Listener
	report, extra  string
	answer         string
	closes         bool
	reports, asked atomic.Int64
}

func startReporting(t *testing.T, re *reportingEndpoint) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	re.listener = ln
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = cn.Close() }()
				br := bufio.NewReader(cn)
				for {
					rq, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if rq.URL.Path == "/report" {
						re.reports.Add(1)
						_, _ = io.WriteString(cn, re.report)
						if re.closes {
							return
						}
						continue
					}
					re.asked.Add(1)
					if re.extra != "" {
						_, _ = io.WriteString(cn, re.extra)
					}
					_, _ = io.WriteString(cn, strings.ReplaceAll(re.answer, "%s", rq.Header.Get("X-Request-Id")))
				}
			}()
		}
	}()
}

// Guards against refusing, or spoiling, a take-up because of how an endpoint answers the question which start it is.
func TestTakeUpGoesOnWhateverItsEndpointSaysOfItsStart(t *testing.T) {
	t.Parallel()
	for name, re := range map[string]*reportingEndpoint{
		"tells its start":          {report: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}"},
		"says 400 (plain service)": {report: "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		"closes after each answer": {report: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n{\"born\":1}", closes: true},
		"report without a length":  {report: "HTTP/1.1 200 OK\r\n\r\n{\"born\":1}", closes: true},
		"report says no born, 200": {report: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fx := newVersionFixture(func(string) (string, bool) { return "v1", true })
			re.answer = restOfStream
			startReporting(t, re)
			fx.fl.Put(fleet.Entry{ID: "a", Service: "engines", Address: re.listener.Addr().String(), Zone: "here", Slots: 8, StartTimeMs: 1, SoftwareVersion: "v1"})
			fx.origins.Record(origin.Stream{Request: "first"}, origin.Origin{Service: "engines", Software: "v1"})
			for i := range 12 {
				status, body := fx.takeUp(fmt.Sprint("r", i), "first", "1")
				require.Equal(t, http.StatusOK, status, body)
			}
			vw := fx.fl.Views("engines")
			require.False(t, vw[0].Avoided)
			require.Zero(t, vw[0].FailureShare)
			require.False(t, fx.fl.IsCutOff("engines"))
		})
	}
}

// Guards against a late answer to the question that a client gets for its request.
func TestLateAnswerOfAStartIsNotTheClients(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(func(string) (string, bool) { return "v1", true })
	re := &reportingEndpoint{
		report: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}",
		extra:  "HTTP/1.1 404 Not Found\r\nContent-Length: 3\r\n\r\nabc", answer: restOfStream,
	}
	startReporting(t, re)
	fx.fl.Put(fleet.Entry{ID: "a", Service: "engines", Address: re.listener.Addr().String(), Zone: "here", Slots: 8, StartTimeMs: 1, SoftwareVersion: "v1"})
	fx.origins.Record(origin.Stream{Request: "first"}, origin.Origin{Service: "engines", Software: "v1"})
	for i := range 12 {
		status, body := fx.takeUp(fmt.Sprint("r", i), "first", "1")
		require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, status)
		require.NotContains(t, body, "abc")
	}
}

// Guards against a stream that begins at the start that a copy of the metadata store has, although a later one is known.
func TestRestoredEntryOfAnEarlierStartIsNotBelieved(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	ep, old := fx.addSite(t, "a", "v1")
	ep.Close()
	ep.SetSoftwareVersion("v2")
	require.NoError(t, ep.Restart())
	current := old
	current.SoftwareVersion = "v2"
	_, entry := ep.Entry("ready")
	born, isNumber := entry["born"].(int64)
	require.True(t, isNumber)
	current.StartTimeMs = born
	fx.fl.Put(current)
	fx.fl.ReplaceRestored([]fleet.Entry{old})
	for i := 0; ; i++ {
		id := fmt.Sprint("r", i)
		status, _ := fx.takeUp(id, "", "")
		if status == http.StatusServiceUnavailable {
			continue
		}
		fx.addSite(t, "b", "v1")
		_, body := fx.takeUp("again", id, "4")
		require.NotContains(t, body, "of v1")
		return
	}
}

// Guards against refusing a take-up because a sound endpoint is silent when it is asked, and against taking it for unreachable.
func TestTakeUpGoesOnAtAnEndpointThatIsSilentForAMoment(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(func(string) (string, bool) { return "v1", true })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	silentUntil := time.Now().Add(time.Second)
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = cn.Close() }()
				br := bufio.NewReader(cn)
				for {
					rq, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					time.Sleep(time.Until(silentUntil))
					if rq.URL.Path == "/report" {
						_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}")
						continue
					}
					_, _ = io.WriteString(cn, strings.ReplaceAll(restOfStream, "%s", rq.Header.Get("X-Request-Id")))
				}
			}()
		}
	}()
	fx.fl.Put(fleet.Entry{ID: "a", Service: "engines", Address: ln.Addr().String(), Zone: "here", Slots: 8, StartTimeMs: 1, SoftwareVersion: "v1"})
	fx.origins.Record(origin.Stream{Request: "first"}, origin.Origin{Service: "engines", Software: "v1"})
	status, body := fx.takeUp("r", "first", "1")
	require.Equal(t, http.StatusOK, status, body)
	require.False(t, fx.fl.Views("engines")[0].Avoided)
}
