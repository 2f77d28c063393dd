package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/gateway"
)

const (
	undelimitedHeader = "HTTP/1.1 200 OK\r\n" + sealedHeader + "\r\n"
	startAnswer       = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":1}"
	plainAnswer       = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n"
	firstEvents       = "id: 1\ndata: one\n\nid: 2\ndata: two three\n\n"
)

type (
	// scriptedEndpoint sends the parts of its response to each request and closes the connection, with a reset
	// if isReset is set. Before each part but the first, and before the end, it receives from proceed unless
	// that is nil. If isKilled is set, it stops listening before it closes the connection. Asked which start it is, it does not
	// answer if isMute is set, and takes it for a malformed request if isPlain is set. It counts the connections on which it has
	// read a request.
	scriptedEndpoint struct {
		listener net.Listener
		parts    []string
		isReset  bool
		isKilled bool
		isMute   bool
		isPlain  bool
		proceed  chan struct{}
		opened   atomic.Int64
	}

	// clientResponse is a response as a client received it; err is the error that ended its body.
	clientResponse struct {
		*http.Response
		body string
		err  error
	}
)

func startScriptedEndpoint(t *testing.T, se *scriptedEndpoint) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	se.listener = ln
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go se.serve(cn)
		}
	}()
}

func (se *scriptedEndpoint) serve(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(cn))
	if err != nil {
		return
	}
	if rq.URL.Path == "/report" {
		if se.isMute {
			_, _ = io.Copy(io.Discard, cn)
		}
		if se.isPlain {
			_, _ = io.WriteString(cn, plainAnswer)
			return
		}
		_, _ = io.WriteString(cn, startAnswer)
		return
	}
	se.opened.Add(1)
	for i, part := range se.parts {
		if i > 0 && se.proceed != nil {
			<-se.proceed
		}
		if _, err := io.WriteString(cn, strings.ReplaceAll(part, "%s", rq.Header.Get("X-Request-Id"))); err != nil {
			return
		}
	}
	if se.proceed != nil {
		<-se.proceed
	}
	if se.isKilled {
		_ = se.listener.Close()
	}
	if tcp, ok := cn.(*net.TCPConn); ok && se.isReset {
		_ = tcp.SetLinger(0)
	}
}

// startScriptedGateway returns the address of a gateway in front of se.
func startScriptedGateway(t *testing.T, se *scriptedEndpoint) string {
	startScriptedEndpoint(t, se)
	sv := httptest.NewServer(newGatewayTo(t, 0, se.listener.Addr().String()))
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

func dialClient(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	cn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = cn.Close() })
	require.NoError(t, cn.SetDeadline(time.Now().Add(10*time.Second)))
	return cn, bufio.NewReader(cn)
}

// exchange sends a request without a body in the given version of HTTP and reads the response. It calls onHeader,
// unless that is nil, once it has read the header.
func exchange(t *testing.T, cn net.Conn, br *bufio.Reader, version, path string, onHeader func()) clientResponse {
	_, err := fmt.Fprintf(cn, "POST %s HTTP/%s\r\nHost: shop.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	rsp, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	defer func() { _ = rsp.Body.Close() }()
	if onHeader != nil {
		onHeader()
	}
	data, err := io.ReadAll(rsp.Body)
	return clientResponse{Response: rsp, body: string(data), err: err}
}

func TestPartialResponseIsNotComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	half := long[:len(long)/2+1]
	chunked := "HTTP/1.1 200 OK\r\n" + sealedHeader + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, tc := range map[string]struct {
		path     string
		response string
		// isReset makes the endpoint reset the connection, once the client has the header if awaitClient is set.
		isReset, awaitClient bool
		// status is 200 if a part of the response may reach the client, and then body is what reaches it at most.
		status int
		body   string
	}{
		"plain, reset":                          {"/pay", undelimitedHeader + "the bo", true, false, 502, ""},
		"plain without body, reset":             {"/pay", undelimitedHeader, true, false, 502, ""},
		"plain that fills the buffer, reset":    {"/pay", undelimitedHeader + long[:128<<10], true, true, 200, long[:128<<10]},
		"long, reset":                           {"/pay", undelimitedHeader + half, true, true, 200, half},
		"long in chunks, cut":                   {"/pay", chunked + chunk(half), false, true, 200, half},
		"stream, reset within the first event":  {"/stream/", undelimitedHeader + "id: 1\nda", true, false, 502, ""},
		"stream, ends within the first event":   {"/stream/", undelimitedHeader + "id: 1\nda", false, false, 502, ""},
		"stream, reset before the first event":  {"/stream/", undelimitedHeader, true, false, 502, ""},
		"stream, reset between events":          {"/stream/", undelimitedHeader + firstEvents, true, true, 200, firstEvents},
		"stream, reset within an event":         {"/stream/", undelimitedHeader + firstEvents + "id: 3\ndata: ha", true, true, 200, firstEvents},
		"stream, ends within an ID":             {"/stream/", undelimitedHeader + firstEvents + "id: ", false, true, 200, firstEvents},
		"stream, ends within data":              {"/stream/", undelimitedHeader + firstEvents + "id: 3\ndata: ha", false, true, 200, firstEvents},
		"stream, ends after a line":             {"/stream/", undelimitedHeader + firstEvents + "id: 3\ndata: half\n", false, true, 200, firstEvents},
		"stream, ends after a line with CR":     {"/stream/", undelimitedHeader + firstEvents + "id: 3\r\ndata: half\r\n", false, true, 200, firstEvents},
		"stream, ends within the last line end": {"/stream/", undelimitedHeader + firstEvents + "id: 3\r\ndata: half\r\n\r", false, true, 200, firstEvents},
		"stream in chunks, ends within event":   {"/stream/", chunked + chunk(firstEvents+"id: 3\nda") + "0\r\n\r\n", false, true, 200, firstEvents},
		"stream in chunks, ends after a line":   {"/stream/", chunked + chunk(firstEvents) + chunk("id: 3\ndata: half\n") + "0\r\n\r\n", false, true, 200, firstEvents},
		"stream in chunks, cut between events":  {"/stream/", chunked + chunk(firstEvents), false, true, 200, firstEvents},
		"stream with length, ends within event": {"/stream/", "HTTP/1.1 200 OK\r\n" + sealedHeader + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(firstEvents)+3) + firstEvents + "id:", false, true, 200, firstEvents},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP "+version, func(t *testing.T) {
				se := &scriptedEndpoint{parts: []string{tc.response}, isReset: tc.isReset}
				if tc.awaitClient {
					se.proceed = make(chan struct{})
				}
				cn, br := dialClient(t, startScriptedGateway(t, se))
				re := exchange(t, cn, br, version, tc.path, func() {
					if tc.awaitClient {
						close(se.proceed)
					}
				})
				require.Equal(t, tc.status, re.StatusCode)
				if tc.status != http.StatusOK {
					require.NoError(t, re.err)
					require.Empty(t, re.Header.Get("X-Response-Seal"))
					return
				}
				require.Error(t, re.err, "a partial response must not look complete")
				require.True(t, strings.HasPrefix(tc.body, re.body), "the client received %q", re.body)
				if version == "1.1" && tc.path == "/stream/" {
					require.Equal(t, tc.body, re.body)
				}
			})
		}
	}
}

// Guards against taking the end of the connection of a killed process for the end of its response.
func TestResponseThatEndsWithItsEndpointIsNotComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	half := long[:len(long)/2+1]
	failed := strings.Replace(undelimitedHeader, "200 OK", "404 Not Found", 1)
	for name, tc := range map[string]struct {
		path, response string
		// status is 200 if a part of the response may reach the client, and then body is what reaches it at most.
		status int
		body   string
	}{
		"plain":                      {"/pay", undelimitedHeader + "the bo", 502, ""},
		"plain without body":         {"/pay", undelimitedHeader, 502, ""},
		"failure":                    {"/pay", failed + "the bo", 502, ""},
		"long":                       {"/pay", undelimitedHeader + half, 200, half},
		"plain that fills a buffer":  {"/pay", undelimitedHeader + long[:128<<10], 200, long[:128<<10]},
		"stream between events":      {"/stream/", undelimitedHeader + firstEvents, 200, firstEvents},
		"stream before events":       {"/stream/", undelimitedHeader, 502, ""},
		"stream after a comment":     {"/stream/", undelimitedHeader + firstEvents + ": wait\n\n", 200, firstEvents + ": wait\n\n"},
		"stream of unnamed events":   {"/stream/", undelimitedHeader + "data: one\n\n", 200, "data: one\n\n"},
		"stream of HTTP/1.0":         {"/stream/", strings.Replace(undelimitedHeader, "HTTP/1.1", "HTTP/1.0", 1) + firstEvents, 200, firstEvents},
		"failure of a stream":        {"/stream/", failed + "the bo", 502, ""},
		"stream of a later response": {"/stream/", strings.Replace(undelimitedHeader, "200 OK", "201 Created", 1) + firstEvents, 502, ""},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			for cause, se := range map[string]*scriptedEndpoint{"killed": {isKilled: true}, "mute": {isMute: true}} {
				t.Run(name+", HTTP "+version+", "+cause, func(t *testing.T) {
					t.Parallel()
					se.parts, se.proceed = []string{tc.response}, make(chan struct{})
					if tc.status != http.StatusOK {
						close(se.proceed)
					}
					cn, br := dialClient(t, startScriptedGateway(t, se))
					re := exchange(t, cn, br, version, tc.path, func() {
						if tc.status == http.StatusOK {
							close(se.proceed)
						}
					})
					require.Equal(t, tc.status, re.StatusCode)
					if tc.status != http.StatusOK {
						require.NoError(t, re.err)
						require.Empty(t, re.Header.Get("X-Response-Seal"))
						return
					}
					require.Error(t, re.err, "a partial response must not look complete")
					require.True(t, strings.HasPrefix(tc.body, re.body), "the client received %q", re.body)
				})
			}
		}
	}
}

func TestResponseThatEndsWithItsConnectionIsDelivered(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, tc := range map[string]struct {
		path, body string
		// length is the announced length towards an HTTP/1.1 client; -1 means chunks.
		length int64
	}{
		"plain":                      {"/pay", "the body", 8},
		"plain without body":         {"/pay", "", 0},
		"plain that fills a buffer":  {"/pay", long[:128<<10], -1},
		"long":                       {"/pay", long, -1},
		"stream":                     {"/stream/", firstEvents, -1},
		"stream with CR":             {"/stream/", strings.ReplaceAll(firstEvents, "\n", "\r\n"), -1},
		"stream with a last comment": {"/stream/", firstEvents + ": end\n\n", -1},
		"stream without events":      {"/stream/", "", 0},
	} {
		for _, isPlain := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, plain %v", name, isPlain), func(t *testing.T) {
				se := &scriptedEndpoint{parts: []string{undelimitedHeader + tc.body}, isPlain: isPlain}
				address := startScriptedGateway(t, se)
				cn, br := dialClient(t, address)
				const requests = 3
				for range requests {
					re := exchange(t, cn, br, "1.1", tc.path, nil)
					require.NoError(t, re.err)
					require.Equal(t, http.StatusOK, re.StatusCode)
					require.Equal(t, tc.body, re.body)
					require.Equal(t, tc.length, re.ContentLength)
					require.Equal(t, tc.length < 0, len(re.TransferEncoding) == 1)
					require.False(t, re.Close, "the client's connection stays open")
					require.Equal(t, "seal", re.Header.Get("X-Response-Seal"))
				}
				require.Equal(t, int64(requests), se.opened.Load(), "the connections to the endpoint are not reused")
				cn, br = dialClient(t, address)
				re := exchange(t, cn, br, "1.0", tc.path, nil)
				require.NoError(t, re.err)
				require.Equal(t, tc.body, re.body)
				require.Empty(t, re.TransferEncoding)
				_, err := br.ReadByte()
				require.ErrorIs(t, err, io.EOF)
			})
		}
	}
}

func TestEventsOfAnUndelimitedStreamArriveOneByOne(t *testing.T) {
	events := []string{"id: 1\ndata: one\n\n", "id: 2\r\ndata: two three\r\n\r\n", "id: 3\ndata: four\n\n"}
	se := &scriptedEndpoint{parts: []string{undelimitedHeader + events[0], events[1], events[2]}, proceed: make(chan struct{})}
	rq, err := http.NewRequest(http.MethodPost, "http://"+startScriptedGateway(t, se)+"/stream/", http.NoBody)
	require.NoError(t, err)
	rq.Host = "shop.example"
	rq.Header.Set("X-Request-Id", "id")
	rsp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(rq)
	require.NoError(t, err)
	defer func() { _ = rsp.Body.Close() }()
	for _, event := range events {
		got := make([]byte, len(event))
		_, err := io.ReadFull(rsp.Body, got)
		require.NoError(t, err)
		require.Equal(t, event, string(got))
		se.proceed <- struct{}{}
	}
	_, err = rsp.Body.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against completing a response because the client has closed its sending side.
func TestHalfClosedClientGetsNoPartialResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		path  string
		parts []string
		// received is the part of the body that the client awaits before it closes its sending side.
		received string
	}{
		"before the response": {"/pay", []string{"", undelimitedHeader + "the body"}, ""},
		"before a stream":     {"/stream/", []string{"", undelimitedHeader + firstEvents}, ""},
		"within a stream":     {"/stream/", []string{undelimitedHeader + firstEvents, "id: 3\ndata: four\n\n"}, firstEvents},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP "+version, func(t *testing.T) {
				se := &scriptedEndpoint{parts: tc.parts, proceed: make(chan struct{})}
				startScriptedEndpoint(t, se)
				sv := httptest.NewUnstartedServer(newGatewayTo(t, 0, se.listener.Addr().String()))
				sv.Config.ConnContext = gateway.WithClientConn
				sv.Start()
				t.Cleanup(sv.Close)
				t.Cleanup(func() { close(se.proceed) })
				cn, br := dialClient(t, sv.Listener.Addr().String())
				halfClose := func() {
					tcp, ok := cn.(*net.TCPConn)
					require.True(t, ok)
					require.NoError(t, tcp.CloseWrite())
				}
				_, err := fmt.Fprintf(cn, "POST %s HTTP/%s\r\nHost: shop.example\r\nX-Request-Id: id\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", tc.path, version)
				require.NoError(t, err)
				if tc.received == "" {
					require.Eventually(t, func() bool { return se.opened.Load() == 1 }, 5*time.Second, time.Millisecond)
					halfClose()
					data, _ := io.ReadAll(br)
					require.Empty(t, string(data), "the client got a response that the endpoint did not send")
					return
				}
				rsp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				defer func() { _ = rsp.Body.Close() }()
				_, err = io.ReadFull(rsp.Body, make([]byte, len(tc.received)))
				require.NoError(t, err)
				halfClose()
				_, err = io.ReadAll(rsp.Body)
				require.Error(t, err, "a partial response must not look complete")
			})
		}
	}
}
