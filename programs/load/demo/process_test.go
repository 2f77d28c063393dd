package demo_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/programs/load/demo"
)

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bergamotway-bin-")
	if err != nil {
		panic(err)
	}
	for _, name := range []string{"bergamotway", "bergamotctl", "standin"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(dir, name), ".")
		cmd.Dir = filepath.Join("..", "..", name)
		if out, buildErr := cmd.CombinedOutput(); buildErr != nil {
			panic(string(out))
		}
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func startFleet(t *testing.T) *demo.Fleet {
	t.Helper()
	fl, err := demo.NewFleet(binDir)
	require.NoError(t, err)
	t.Cleanup(fl.Close)
	require.NoError(t, fl.StartAll(context.Background()))
	return fl
}

// runCount returns how often the service has run the booking with an idempotency key.
func runCount(t *testing.T, fl *demo.Fleet, key string) int {
	t.Helper()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+fl.ServiceAddresses[0]+"/runs/"+key, 5*time.Second)
	require.NoError(t, err)
	n, err := strconv.Atoi(string(body))
	require.NoError(t, err)
	return n
}

// setFaults replaces the faults of the stand-in at an address.
func setFaults(t *testing.T, address, body string) {
	t.Helper()
	req, rsp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI("http://" + address + "/faults")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	require.NoError(t, fasthttp.DoTimeout(req, rsp, 5*time.Second))
	require.Equal(t, fasthttp.StatusOK, rsp.StatusCode())
}

// TestKillEntryHostDuringBookings kills an entry host while bookings are in flight and resends each booking through
// the other one: none may run twice.
func TestKillEntryHostDuringBookings(t *testing.T) {
	fl := startFleet(t)
	const bookings = 60
	var wg sync.WaitGroup
	var finished atomic.Int64
	for i := range bookings {
		wg.Go(func() {
			_, _ = fl.Book(fl.Hosts[0], fmt.Sprintf("visit-%d", i), `{}`)
			finished.Add(1)
		})
	}
	require.NoError(t, demo.Await(10*time.Second, "no booking has finished", func() bool { return finished.Load() > 0 }))
	fl.Kill(fl.Hosts[0].Name)
	wg.Wait()
	succeeded := 0
	for i := range bookings {
		if _, err := fl.Book(fl.Hosts[1], fmt.Sprintf("visit-%d", i), `{}`); err == nil {
			succeeded++
		}
		require.LessOrEqual(t, runCount(t, fl, fmt.Sprintf("visit-%d", i)), 1)
	}
	t.Logf("%d of %d resends succeeded, the others have an unknown outcome", succeeded, bookings)
	require.Positive(t, succeeded)
}

// TestFrozenEntryHost suspends an entry host by SIGSTOP: the other one must serve alone. After SIGCONT, the suspended
// host is not ready until it has heard from the others; then it must serve again.
func TestFrozenEntryHost(t *testing.T) {
	fl := startFleet(t)
	require.NoError(t, fl.Signal(fl.Hosts[0].Name, syscall.SIGSTOP))
	require.NoError(t, demo.Await(20*time.Second, "the other host does not serve alone", func() bool {
		_, _, err := fl.Chat(fl.Hosts[1], "Which steel?")
		return err == nil
	}))
	_, err := fl.Book(fl.Hosts[1], "visit", `{}`)
	require.NoError(t, err)
	require.NoError(t, fl.Signal(fl.Hosts[0].Name, syscall.SIGCONT))
	require.NoError(t, fl.AwaitReady(fl.Hosts[0]))
	_, _, err = fl.Chat(fl.Hosts[0], "Which steel?")
	require.NoError(t, err)
}

// TestGracefulStopUnderLoad stops an entry host and an engine gracefully under load: requests may be refused, but no
// accepted request may fail.
func TestGracefulStopUnderLoad(t *testing.T) {
	fl := startFleet(t)
	var stopped atomic.Bool
	var failed, served atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				// As behind a load balancer, requests go only to a host that reports that it is ready.
				eh := fl.Hosts[(i+n)%2]
				if !isReady(eh) {
					eh = fl.Hosts[1]
				}
				_, _, err := fl.Chat(eh, fmt.Sprintf("question %d %d", i, n))
				switch {
				case err == nil:
					served.Add(1)
				case strings.Contains(err.Error(), "leaving") || strings.Contains(err.Error(), "refused"):
				default:
					failed.Add(1)
					t.Log(err)
				}
			}
		})
	}
	awaitServed := func(n int64) {
		require.NoError(t, demo.Await(20*time.Second, "too few requests were served", func() bool { return served.Load() >= n }))
	}
	awaitServed(50)
	_, err := fl.RunBergamotctl(context.Background(), "--wait", "endpoint", "leave", "engine-1")
	require.NoError(t, err)
	require.NoError(t, fl.Stop(fl.Hosts[0].Name), "the host must exit with 0")
	require.NoError(t, fl.Stop("engine-1"))
	awaitServed(served.Load() + 50)
	stopped.Store(true)
	wg.Wait()
	require.Zero(t, failed.Load())
}

func isReady(eh demo.EntryHost) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+eh.OperatorAddress+"/health", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// TestSilentPlatformConnections blackholes every open connection to the key-value service for good. Hosts must open
// new ones: a change must come into force within 5 s, and bookings must succeed.
func TestSilentPlatformConnections(t *testing.T) {
	fl := startFleet(t)
	setFaults(t, fl.KeyValueAddress, `{"silence-open": true}`)
	start := time.Now()
	_, err := fl.RunBergamotctl(context.Background(), "--wait", "class", "set", "note", "--model", "assistant", "--first-token", "2s")
	require.NoError(t, err)
	require.Less(t, time.Since(start), 5*time.Second)
	require.NoError(t, demo.Await(15*time.Second, "no booking succeeded", func() bool {
		_, bookErr := fl.Book(fl.Hosts[0], "visit", `{}`)
		return bookErr == nil
	}))
	require.Equal(t, 1, runCount(t, fl, "visit"))
}

// TestSilentEngine makes the streams of one engine stall after their first token: responses must be complete, from
// the other engine.
func TestSilentEngine(t *testing.T) {
	fl := startFleet(t)
	setFaults(t, fl.EngineAddresses[0], `{"silent-after": 1}`)
	for i := range 3 {
		text, _, err := fl.Chat(fl.Hosts[0], fmt.Sprintf("question %d", i))
		require.NoError(t, err)
		require.Len(t, strings.Fields(text), 16)
	}
}

// TestServiceDiesAfterRunning closes the connection after the service has run a booking and before it responds: the
// outcome must be reported as unknown, and the booking must not run again.
func TestServiceDiesAfterRunning(t *testing.T) {
	fl := startFleet(t)
	setFaults(t, fl.ServiceAddresses[0], `{"lose-answers": true}`)
	_, err := fl.Book(fl.Hosts[0], "visit", `{}`)
	require.ErrorContains(t, err, "outcome-unknown")
	setFaults(t, fl.ServiceAddresses[0], `{}`)
	_, err = fl.Book(fl.Hosts[1], "visit", `{}`)
	require.ErrorContains(t, err, "may-have-run")
	require.Equal(t, 1, runCount(t, fl, "visit"))
	out, err := fl.RunBergamotctl(context.Background(), "booking", "hartlebury", "desk", "visit")
	require.NoError(t, err)
	require.Contains(t, out, "intended")
}

// TestControlExitCodes checks the documented exit codes of bergamotctl.
func TestControlExitCodes(t *testing.T) {
	fl := startFleet(t)
	exitCode := func(args ...string) int {
		_, err := fl.RunBergamotctl(context.Background(), args...)
		var ee *exec.ExitError
		require.ErrorAs(t, err, &ee)
		return ee.ExitCode()
	}
	require.Equal(t, 3, exitCode("zone", "out", "no-such-zone"))
	require.Equal(t, 2, exitCode("class", "set", "x", "--model", "no-such-model", "--first-token", "1s"))
	require.Equal(t, 2, exitCode("apply", "/no/such/file"))
	out, err := fl.RunBergamotctl(context.Background(), "--wait", "zone", "out", "mid-a")
	require.NoError(t, err)
	require.Contains(t, out, "in force on entry-1")
	out, err = fl.RunBergamotctl(context.Background(), "status")
	require.NoError(t, err)
	require.Contains(t, out, "ready")
	require.Equal(t, 2, exitCode("model", "set", "assistant", "--version", "v9"), "only a rollout changes the version of a model")
	out, err = fl.RunBergamotctl(context.Background(), "--json", "model", "set", "small", "--version", "v1", "--cold-limit", "3")
	require.NoError(t, err)
	require.Contains(t, out, `"accepted-revision"`)
	_, err = fl.RunBergamotctl(context.Background(), "endpoint", "set", "engine-9", "--address", "127.0.0.1:9", "--zone", "mid-a", "--model", "small")
	require.NoError(t, err)
	_, err = fl.RunBergamotctl(context.Background(), "endpoint", "remove", "engine-9")
	require.NoError(t, err)
	_, metrics, err := fasthttp.GetTimeout(nil, "http://"+fl.Hosts[0].OperatorAddress+"/metrics", 5*time.Second)
	require.NoError(t, err)
	require.Contains(t, string(metrics), "bergamotway_process_cpu")
	setFaults(t, fl.KeyValueAddress, `{"lose-answers": true}`)
	require.Equal(t, 1, exitCode("zone", "in", "mid-a"), "the key-value service does not respond to the first read")
}

// TestSecondSignalAbortsRequests sends a second SIGTERM while a long stream is running: the host must log that it
// aborted requests, and exit with 3.
func TestSecondSignalAbortsRequests(t *testing.T) {
	fl := startFleet(t)
	name := fl.Hosts[0].Name
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = fl.PostChat(fl.Hosts[0], demo.LongChatBody("draft", "hello", 100_000))
	}()
	require.NoError(t, demo.Await(10*time.Second, "no request is running", func() bool { return strings.Contains(statusBody(t, fl.Hosts[0]), `"running": 1`) }))
	require.NoError(t, fl.Signal(name, syscall.SIGTERM))
	require.NoError(t, demo.Await(10*time.Second, "the host is still ready", func() bool { return !isReady(fl.Hosts[0]) }))
	err := fl.Stop(name)
	var ee *exec.ExitError
	require.ErrorAs(t, err, &ee)
	require.Equal(t, 3, ee.ExitCode())
	require.Contains(t, fl.LogTail(name), "Stop cut requests.")
	<-done
}

func statusBody(t *testing.T, eh demo.EntryHost) string {
	t.Helper()
	_, body, err := fasthttp.GetTimeout(nil, "http://"+eh.OperatorAddress+"/status", 5*time.Second)
	require.NoError(t, err)
	return string(body)
}
