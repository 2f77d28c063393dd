package connection_test

import (
	"context"
	"errors"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/standin/raw"
)

const (
	okStatus  = "HTTP/1.1 200 OK\r\n"
	filler    = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n"
	testLimit = 1 << 20
)

// readAll sends a request and reads its whole response.
func readAll(dl *connection.Dialer, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/")
	ex, err := dl.Open(ctx, address, req)
	if err != nil {
		return err
	}
	defer func() { _ = ex.Close() }()
	_, err = ex.ReadAll(testLimit)
	return err
}

func TestResponseWithoutEndBreaksAtItsLimit(t *testing.T) {
	longFiller := strings.Repeat(filler, 256)
	for name, tc := range map[string]struct{ beginning, chunk string }{
		"no response":       {"", longFiller},
		"header line":       {okStatus + "X-Long: ", strings.Repeat("x", 1<<14)},
		"header lines":      {okStatus, strings.Repeat("X-Line: x\r\n", 1000)},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"undelimited body":  {okStatus + "\r\n", longFiller},
		"announced body":    {okStatus + "Content-Length: 1000000000000\r\n\r\n", longFiller},
		"chunked body":      {okStatus + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + longFiller + "\r\n"},
		"chunk size line":   {okStatus + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<14)},
		"chunk extension":   {okStatus + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<14)},
		"trailer":           {okStatus + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-T: x\r\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			en, err := raw.NewEndless(tc.beginning, tc.chunk)
			require.NoError(t, err)
			t.Cleanup(func() { _ = en.Close() })
			started := time.Now()
			err = readAll(connection.NewDialer(connection.Options{}), en.Address())
			var broken *connection.BrokenError
			require.ErrorAs(t, err, &broken)
			require.Less(t, time.Since(started), 10*time.Second, "ended by the context")
			require.Eventually(t, func() bool { return en.OpenConnections() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

func TestBodiesWithoutEndShareTheirMemory(t *testing.T) {
	const (
		requests      = 300
		memory        = 8 << 20
		maxHeapGrowth = 64 << 20
	)
	en, err := raw.NewEndless(okStatus+"\r\n", strings.Repeat(filler, 256))
	require.NoError(t, err)
	t.Cleanup(func() { _ = en.Close() })
	dl := connection.NewDialer(connection.Options{BodyMemoryBytes: memory})
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	errs := make([]error, requests)
	for i := range requests {
		wg.Go(func() { errs[i] = readAll(dl, en.Address()) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	highest := before.HeapAlloc
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		highest = max(highest, now.HeapAlloc)
	}
	for _, err := range errs {
		require.Error(t, err)
	}
	var full *connection.MemoryError
	require.ErrorAs(t, errors.Join(errs...), &full)
	require.Less(t, highest-before.HeapAlloc, uint64(maxHeapGrowth))
	// The memory is free again.
	sound, stop, err := raw.RespondOnce(okStatus+"Content-Length: 2\r\n\r\nok", false)
	require.NoError(t, err)
	t.Cleanup(func() { _ = stop() })
	require.NoError(t, readAll(dl, sound))
}
