package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// serve starts an endpoint that handles each connection with handle. It also returns the counter of the
// connections opened to it.
func serve(t *testing.T, handle func(net.Conn, *bufio.Reader)) (attempt.Target, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	var opened atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			opened.Add(1)
			go func() {
				defer func() { _ = nc.Close() }()
				handle(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return attempt.Target{ID: "endpoint", Address: ln.Addr().String()}, &opened
}

// readHead reads a request up to the end of its header.
func readHead(br *bufio.Reader) bool {
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

// send sends a POST with at most 4 open connections and a timeout of 3 s.
func send(t *testing.T, po *attempt.Pool, target attempt.Target, body string) (*attempt.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	return po.Send(ctx, target, 4, "POST", []byte("POST / HTTP/1.1\r\nHost: x\r\n\r\n"), []byte(body))
}

// respondAlways handles each request with the same response.
func respondAlways(response string) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		for readHead(br) {
			if _, err := io.WriteString(nc, response); err != nil {
				return
			}
		}
	}
}

func TestConnectionIsReusedOnlyAfterACompleteResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, tc := range map[string]struct {
		response string
		opened   int64
	}{
		"clean":          {whole, 1},
		"closing":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"excess":         {whole + "more", 3},
		"short time":     {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 3},
		"interim before": {"HTTP/1.1 100 Continue\r\n\r\n" + whole, 1},
	} {
		t.Run(name, func(t *testing.T) {
			target, opened := serve(t, respondAlways(tc.response))
			po := attempt.NewPool(attempt.Options{})
			for range 3 {
				rs, err := send(t, po, target, "")
				require.NoError(t, err)
				data, err := io.ReadAll(rs)
				require.NoError(t, err)
				require.Equal(t, "ok", string(data))
				rs.Close()
				rs.Close()
			}
			require.Equal(t, tc.opened, opened.Load())
		})
	}
}

// Guards against a new connection after each rejection whose connection has been idle for longer than its body may take.
func TestConnectionIsReusedLongAfterItsBodyWasDiscarded(t *testing.T) {
	target, opened := serve(t, respondAlways("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
	po := attempt.NewPool(attempt.Options{Clock: clockwork.NewFakeClockAt(time.Unix(1, 0))})
	for range 3 {
		rs, err := send(t, po, target, "")
		require.NoError(t, err)
		rs.DiscardBody(1, time.Second)
		rs.Close()
	}
	require.Equal(t, int64(1), opened.Load())
}

func TestFailuresSayWhetherTheRequestMayHaveRun(t *testing.T) {
	po := attempt.NewPool(attempt.Options{})
	var unsent *attempt.NotSentError
	var broken *attempt.BrokenError

	_, err := send(t, po, attempt.Target{ID: "nobody", Address: "127.0.0.1:1"}, "")
	require.ErrorAs(t, err, &unsent)
	require.False(t, unsent.IsConnectionLimit())

	closing, _ := serve(t, func(_ net.Conn, br *bufio.Reader) { readHead(br) })
	_, err = send(t, po, closing, "")
	require.ErrorAs(t, err, &broken, "the endpoint read the request and closed the connection")

	truncated, _ := serve(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"))
	rs, err := send(t, po, truncated, "")
	require.NoError(t, err)
	go func() { time.AfterFunc(50*time.Millisecond, rs.Close) }()
	_, err = io.ReadAll(rs)
	require.Error(t, err, "a truncated body must not look complete")

	garbage, _ := serve(t, respondAlways("no answer\r\n\r\n"))
	_, err = send(t, po, garbage, "")
	require.ErrorAs(t, err, &broken)
}

func TestConnectionLimitIsKept(t *testing.T) {
	target, opened := serve(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	po := attempt.NewPool(attempt.Options{})
	var open []*attempt.Response
	for range 4 {
		rs, err := send(t, po, target, "")
		require.NoError(t, err)
		open = append(open, rs)
	}
	_, err := send(t, po, target, "")
	var unsent *attempt.NotSentError
	require.ErrorAs(t, err, &unsent)
	require.True(t, unsent.IsConnectionLimit())
	require.Equal(t, int64(4), opened.Load())
	for _, rs := range open {
		rs.Close()
	}
}

func TestResponseBeforeTheBodyIsReadClosesTheConnection(t *testing.T) {
	release := make(chan struct{})
	target, opened := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if !readHead(br) {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		<-release
	})
	defer close(release)
	po := attempt.NewPool(attempt.Options{})
	body := strings.Repeat("x", 16<<20)
	for want := int64(1); want <= 2; want++ {
		rs, err := send(t, po, target, body)
		require.NoError(t, err)
		require.Equal(t, 400, rs.Status)
		_, err = io.ReadAll(rs)
		require.NoError(t, err)
		rs.Close()
		require.Equal(t, want, opened.Load(), "the rest of a body must not be parsed as a request")
	}
}

func TestConnectionsOfAnEarlierStartAreNotReused(t *testing.T) {
	target, opened := serve(t, respondAlways("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	po := attempt.NewPool(attempt.Options{})
	for startTimeMs := range int64(3) {
		target.StartTimeMs = startTimeMs
		rs, err := send(t, po, target, "")
		require.NoError(t, err)
		_, err = io.ReadAll(rs)
		require.NoError(t, err)
		rs.Close()
	}
	require.Equal(t, int64(3), opened.Load())
	po.CloseIdle(target)
	po.CloseIdleExcept(func(attempt.Target) bool { return false })
}

// respondAndClose reads the header of a request, sends response and closes the connection, with a reset if
// isReset is set.
func respondAndClose(response string, isReset bool) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		if !readHead(br) {
			return
		}
		_, _ = io.WriteString(nc, response)
		if isReset {
			reset(nc)
		}
	}
}

// reset closes a connection with a reset.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

func TestBodyWithoutLengthEndsWithItsConnection(t *testing.T) {
	for name, response := range map[string]string{
		"HTTP/1.1":            "HTTP/1.1 200 OK\r\n\r\nok",
		"HTTP/1.1, closing":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
		"HTTP/1.1, kept open": "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=60\r\n\r\nok",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n\r\nok",
	} {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", isReset), func(t *testing.T) {
				target, opened := serve(t, respondAndClose(response, isReset))
				po := attempt.NewPool(attempt.Options{})
				for want := int64(1); want <= 3; want++ {
					rs, err := send(t, po, target, "")
					require.NoError(t, err)
					require.Equal(t, int64(-1), rs.BodyLength())
					data, err := io.ReadAll(rs)
					rs.Close()
					require.Equal(t, want, opened.Load(), "the connection must not be reused")
					if isReset {
						var broken *attempt.BrokenError
						require.ErrorAs(t, err, &broken)
						continue
					}
					require.NoError(t, err)
					require.Equal(t, "ok", string(data))
				}
			})
		}
	}
}

func TestBodyThatIsResetWhileTheRequestIsWrittenIsNotComplete(t *testing.T) {
	po := attempt.NewPool(attempt.Options{})
	body := strings.Repeat("x", 8<<20)
	for range 40 {
		proceed, closed := make(chan struct{}), make(chan struct{})
		target, _ := serve(t, func(nc net.Conn, br *bufio.Reader) {
			defer close(closed)
			if !readHead(br) {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nhalf")
			<-proceed
			reset(nc)
		})
		rs, err := send(t, po, target, body)
		require.NoError(t, err)
		close(proceed)
		<-closed
		_, err = io.ReadAll(rs)
		rs.Close()
		var broken *attempt.BrokenError
		require.ErrorAs(t, err, &broken)
	}
}
