package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sealedHeader = "X-Request-Id: %s\r\nX-Response-Seal: seal\r\n"

// endlessEndpoint responds to each request with a beginning and then repeats a chunk until the peer closes the
// connection. Requests with the path /ok get a correct response.
type endlessEndpoint struct {
	listener  net.Listener
	beginning string
	chunk     string
	pause     time.Duration
	open      atomic.Int64
	accepted  atomic.Int64
}

func startEndlessEndpoint(t *testing.T, beginning, chunk string, pause time.Duration) *endlessEndpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	ee := &endlessEndpoint{listener: ln, beginning: beginning, chunk: chunk, pause: pause}
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			ee.open.Add(1)
			ee.accepted.Add(1)
			go ee.serve(cn)
		}
	}()
	return ee
}

func (ee *endlessEndpoint) serve(cn net.Conn) {
	defer ee.open.Add(-1)
	defer func() { _ = cn.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(cn))
	if err != nil {
		return
	}
	id := rq.Header.Get("X-Request-Id")
	if rq.URL.Path == "/ok" {
		_, _ = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\n"+sealedHeader+"Content-Length: 2\r\n\r\nok", id)
		return
	}
	_, err = io.WriteString(cn, strings.ReplaceAll(ee.beginning, "%s", id))
	for err == nil {
		if ee.pause > 0 {
			time.Sleep(ee.pause)
		}
		_, err = io.WriteString(cn, ee.chunk)
	}
}

// Guards against responses without end: the header of a response had no limit, nor had a line of an event, and a
// body could take 16 MiB for each request. The bytes that a host holds must stay bounded, the connection must be
// closed, and other requests must be served.
func TestEndlessResponsesAreCutWithBoundedMemory(t *testing.T) {
	const (
		requests       = 200
		timeout        = 1500 * time.Millisecond
		maxHeapGrowth  = 96 << 20
		maxTotalTime   = 30 * time.Second
		sampleInterval = 5 * time.Millisecond
		status         = "HTTP/1.1 200 OK\r\n"
	)
	filler := strings.Repeat("x", 16<<10)
	chunked := fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	for name, tc := range map[string]struct {
		path, beginning, chunk string
		pause                  time.Duration
	}{
		"header line":          {"/pay", status + "X-Long: ", filler, 0},
		"header lines":         {"/pay", status, "X-Line: " + filler[:100] + "\r\n", 0},
		"header that trickles": {"/pay", status + "X-Long: ", "x", 5 * time.Millisecond},
		"interim responses":    {"/pay", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"no response":          {"/pay", "", filler, 0},
		"chunked body":         {"/pay", status + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", chunked, 0},
		"undelimited body":     {"/pay", status + sealedHeader + "\r\n", filler, 0},
		"chunk size line":      {"/pay", status + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		"chunk extension":      {"/pay", status + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n1;", filler, 0},
		"trailer":              {"/pay", status + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-T: " + filler[:100] + "\r\n", 0},
		"response to another":  {"/pay", status + "X-Request-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0},
		"rejection":            {"/pay", "HTTP/1.1 503 Busy\r\n" + sealedHeader + "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0},
		"event line":           {"/stream/", status + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n", chunked, 0},
		"event lines":          {"/stream/", status + sealedHeader + "\r\n", "data: " + filler[:100] + "\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			ee := startEndlessEndpoint(t, tc.beginning, tc.chunk, tc.pause)
			sv := httptest.NewServer(newGatewayTo(t, 0, ee.listener.Addr().String()))
			t.Cleanup(sv.Close)
			send := func(id, path string) (status int, complete bool) {
				rq, err := http.NewRequest(http.MethodPost, sv.URL+path, http.NoBody)
				require.NoError(t, err)
				rq.Host = "shop.example"
				rq.Header.Set("X-Request-Id", id)
				rq.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
				rsp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(rq)
				if err != nil {
					return 0, false
				}
				defer func() { _ = rsp.Body.Close() }()
				_, err = io.Copy(io.Discard, rsp.Body)
				return rsp.StatusCode, err == nil
			}
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			var wg sync.WaitGroup
			succeeded := make([]bool, requests)
			for i := range requests {
				wg.Go(func() {
					status, complete := send(fmt.Sprint("endless-", i), tc.path)
					succeeded[i] = complete && status < 300
				})
			}
			done := make(chan struct{})
			go func() {
				wg.Wait()
				close(done)
			}()
			highest := before.HeapAlloc
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(sampleInterval):
				}
				var now runtime.MemStats
				runtime.ReadMemStats(&now)
				highest = max(highest, now.HeapAlloc)
			}
			require.Less(t, time.Since(started), maxTotalTime)
			require.NotContains(t, succeeded, true)
			require.Less(t, highest-before.HeapAlloc, uint64(maxHeapGrowth))
			t.Logf("highest growth of the heap %d KiB", (highest-before.HeapAlloc)>>10)
			require.Eventually(t, func() bool { return ee.open.Load() == 0 }, 10*time.Second, sampleInterval, "connections stay open")
			require.Eventually(t, func() bool {
				status, complete := send("ok", "/ok")
				return complete && status == http.StatusOK
			}, 10*time.Second, 20*time.Millisecond)
		})
	}
}
