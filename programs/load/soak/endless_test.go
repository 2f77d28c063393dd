package soak_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	endlessStatus  = "HTTP/1.1 200 OK\r\n"
	endlessSeal    = "X-Request-Id: %s\r\nX-Response-Seal: seal\r\n"
	endlessTimeout = 3 * time.Second
	// hostMemoryMiB is the memory of a host: 134 MB.
	hostMemoryMiB = 128
)

// endlessAnswer is what an endpoint in trouble sends: a beginning, which may hold the request's ID, and then a chunk, again and
// again. After so many chunks it sends only single bytes, slowly, if fastChunks is not zero.
type endlessAnswer struct {
	path, beginning, chunk string
	fastChunks             int
}

// serveEndless answers the requests on a connection until the caller closes it.
func (ea endlessAnswer) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	rq, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	_, err = io.WriteString(nc, strings.ReplaceAll(ea.beginning, "%s", rq.Header.Get("X-Request-Id")))
	for n := 0; err == nil && (ea.fastChunks == 0 || n < ea.fastChunks); n++ {
		_, err = io.WriteString(nc, ea.chunk)
	}
	for err == nil {
		time.Sleep(10 * time.Millisecond)
		_, err = io.WriteString(nc, "x")
	}
}

// memoryHost is a host that runs as a process, with its metadata store.
type memoryHost struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startMemoryHost starts a host with sound endpoints of the service desk, and faulty ones of the service engines.
func startMemoryHost(t *testing.T, binary string, ea endlessAnswer) *memoryHost {
	t.Helper()
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	for i := range 2 {
		ep, err := site.NewEndpoint(site.EndpointOptions{ID: fmt.Sprint("sound-", i), Service: "desk", Zone: "here"})
		require.NoError(t, err)
		t.Cleanup(ep.Close)
		_, err = st.Put(ep.Entry("ready"))
		require.NoError(t, err)
	}
	for i := range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go ea.serve(nc)
			}
		}()
		_, err = st.Put(fmt.Sprint("servers/faulty-", i), map[string]any{
			"service": "engines", "address": ln.Addr().String(), "zone": "here", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "born": 1000, "seq": 0,
		})
		require.NoError(t, err)
	}
	require.NoError(t, st.Configure(1, "",
		site.Route{Name: "look", Kind: "idempotent", Service: "desk", MaxAttempts: 2, Timeout: endlessTimeout},
		site.Route{Name: "plain", Kind: "idempotent", Service: "engines", MaxAttempts: 2, Timeout: endlessTimeout},
		site.Route{Name: "note", Kind: "streaming", Service: "engines", MaxAttempts: 2, Timeout: endlessTimeout},
	))
	addresses := make([]string, 3)
	for i := range addresses {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		addresses[i] = ln.Addr().String()
		require.NoError(t, ln.Close())
	}
	data, err := json.Marshal(map[string]any{
		"host": "host-0", "availability-zone": "here", "listen": addresses[0], "ready-listen": addresses[1], "peer-listen": addresses[2],
		"metadata-store": st.Address(), "memory-mib": hostMemoryMiB,
		"bounds": map[string]any{"stop-ms": 8000, "lease-ms": 1500, "weights-ms": 15000, "repeat-ratio": 0.2, "repeat-window-s": 10, "repeat-slack": 50},
	})
	require.NoError(t, err)
	settingsPath := filepath.Join(t.TempDir(), "host.json")
	require.NoError(t, os.WriteFile(settingsPath, data, 0o600))
	mh := &memoryHost{address: addresses[0], cmd: exec.Command(binary, "gateway"), exited: make(chan struct{})}
	mh.cmd.Env = append(os.Environ(), "BERGAMOTWAY_SETTINGS="+settingsPath)
	require.NoError(t, mh.cmd.Start())
	go func() {
		_ = mh.cmd.Wait()
		close(mh.exited)
	}()
	t.Cleanup(func() {
		_ = mh.cmd.Process.Signal(syscall.SIGKILL)
		<-mh.exited
	})
	require.Eventually(t, func() bool {
		rsp, err := http.Get("http://" + addresses[1] + "/readyz")
		if err != nil {
			return false
		}
		_ = rsp.Body.Close()
		return rsp.StatusCode == http.StatusOK
	}, 15*time.Second, 20*time.Millisecond)
	return mh
}

// residentMiB returns the resident memory of the process, or the highest that it has had, by the name of the field.
func (mh *memoryHost) residentMiB(t *testing.T, field string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", mh.cmd.Process.Pid))
	require.NoError(t, err, "the process has ended")
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, field+":"); ok {
			kib, err := strconv.Atoi(strings.Fields(text)[0])
			require.NoError(t, err)
			return kib >> 10
		}
	}
	t.Fatalf("the status has no field %q", field)
	return 0
}

// Guards against a process that ends for want of memory while endpoints send bytes without end.
func TestResponsesWithoutEndStayWithinTheMemoryOfAProcess(t *testing.T) {
	const (
		requests = 500
		// minSoundShare is the share of sound requests that must be served beside them.
		minSoundShare = 0.98
	)
	binary := filepath.Join(t.TempDir(), "bergamotway")
	build := exec.Command("go", "build", "-o", binary, ".")
	build.Dir = filepath.Join("..", "..", "bergamotway")
	build.Stderr = os.Stderr
	require.NoError(t, build.Run())
	filler := strings.Repeat("x", 4<<10)
	chunked := fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	const chunkedHeader = endlessStatus + endlessSeal + "Transfer-Encoding: chunked\r\n\r\n"
	for name, ea := range map[string]endlessAnswer{
		"header":                    {"/plain/", endlessStatus + "X-Long: ", filler, 0},
		"long header that trickles": {"/plain/", endlessStatus + endlessSeal + "X-Long: ", filler, 15},
		"many fields that trickle":  {"/plain/", endlessStatus + endlessSeal, strings.Repeat("a:\r\nb:\r\n", 500), 3},
		"long header before a body": {
			"/note/", endlessStatus + endlessSeal + "X-Long: " + strings.Repeat("x", 60<<10) + "\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 30,
		},
		"interim responses":        {"/plain/", "", strings.Repeat("HTTP/1.1 103 Early\r\nA: b\r\n\r\n", 100), 0},
		"body":                     {"/plain/", chunkedHeader, chunked, 0},
		"undelimited body":         {"/plain/", endlessStatus + endlessSeal + "\r\n", filler, 0},
		"body that trickles":       {"/plain/", endlessStatus + endlessSeal + "\r\n", filler, 31},
		"event":                    {"/note/", chunkedHeader, chunked, 0},
		"event that trickles":      {"/note/", chunkedHeader, chunked, 31},
		"empty lines":              {"/note/", endlessStatus + endlessSeal + "\r\n", strings.Repeat("\n", 4<<10), 0},
		"comments":                 {"/note/", endlessStatus + endlessSeal + "\r\n", strings.Repeat(": x\n\n", 800), 0},
		"trailer":                  {"/plain/", chunkedHeader + "0\r\n", strings.Repeat("a:\r\n", 1000), 0},
		"response to another":      {"/plain/", endlessStatus + "X-Request-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0},
		"rejection with long body": {"/plain/", "HTTP/1.1 503 Busy\r\n" + endlessSeal + "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunked, 0},
	} {
		t.Run(name, func(t *testing.T) {
			mh := startMemoryHost(t, binary, ea)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			send := func(id, path string) site.Reply {
				tr := &http.Transport{DisableKeepAlives: true}
				return site.Send(ctx, tr, mh.address, site.Request{ID: id, Method: http.MethodPost, URI: path + "1", Timeout: endlessTimeout})
			}
			var faulty, sound sync.WaitGroup
			var mu sync.Mutex
			statuses := make(map[int]int)
			for i := range requests {
				faulty.Go(func() {
					re := send(fmt.Sprint("faulty-", i), ea.path)
					mu.Lock()
					statuses[re.Status]++
					mu.Unlock()
				})
			}
			done := make(chan struct{})
			served, sent := 0, 0
			var slowest time.Duration
			sound.Go(func() {
				for running := true; running; sent++ {
					select {
					case <-done:
						running = false
					case <-time.After(5 * time.Millisecond):
					}
					started := time.Now()
					if re := send(fmt.Sprint("sound-", sent), "/look/"); re.Complete && re.Status == http.StatusOK && re.Sealed() {
						served++
					}
					slowest = max(slowest, time.Since(started))
				}
			})
			faulty.Wait()
			close(done)
			sound.Wait()
			highest := mh.residentMiB(t, "VmHWM")
			t.Logf("highest resident memory %d MiB; %d of %d sound requests served, the slowest in %v; statuses %v", highest, served, sent, slowest, statuses)
			require.Less(t, highest, hostMemoryMiB)
			require.Greater(t, float64(served), minSoundShare*float64(sent))
			require.Equal(t, http.StatusOK, send("last", "/look/").Status)
		})
	}
}
