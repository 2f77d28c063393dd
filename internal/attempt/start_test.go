package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

// startCodec is a codec whose answers are a number.
type startCodec struct{}

func (startCodec) EncodeStartRequest(attempt.Target) []byte {
	return []byte("GET /start HTTP/1.1\r\nHost: x\r\n\r\n")
}

func (startCodec) DecodeStart(status int, body []byte) (attempt.StartAnswer, bool) {
	n, err := strconv.ParseInt(string(body), 10, 64)
	return attempt.StartAnswer{IsOther: status == 421, StartTimeMs: n}, err == nil || status == 421
}

func newStartPool() *attempt.Pool { return attempt.NewPool(attempt.Options{StartCodec: startCodec{}}) }

func answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against taking a later start of an endpoint, or another endpoint at its address, for the one that was known.
func TestStartThatAnswersIsCompared(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		response string
		known    int64
		want     attempt.StartState
	}{
		"same start":                 {answer(200, "7"), 7, attempt.StartAlive},
		"later start":                {answer(200, "8"), 7, attempt.StartEnded},
		"another endpoint":           {answer(421, ""), 7, attempt.StartEnded},
		"entry without a start time": {answer(200, "8"), 0, attempt.StartAlive},
		"no start time":              {answer(200, "0"), 7, attempt.StartUnknown},
		"no answer to the question":  {answer(404, "not here"), 7, attempt.StartUnknown},
		"garbage":                    {"no answer\r\n\r\n", 7, attempt.StartUnknown},
		"endless head":               {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20), 7, attempt.StartUnknown},
		"endless body":               {answer(200, strings.Repeat(" ", 1<<20)), 7, attempt.StartUnknown},
		"half a body":                {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n7", 7, attempt.StartUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target, _ := serve(t, respondAlways(tc.response))
			target.StartTimeMs = tc.known
			begun := time.Now()
			got, err := newStartPool().CheckStart(t.Context(), target)
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.want == attempt.StartUnknown, err != nil)
			require.Less(t, time.Since(begun), 2*time.Second)
		})
	}
}

// Guards against waiting for a silent endpoint, and against taking silence for an end.
func TestStartOfSilentEndpointIsUnknown(t *testing.T) {
	t.Parallel()
	target, _ := serve(t, func(_ net.Conn, br *bufio.Reader) { _, _ = io.Copy(io.Discard, br) })
	begun := time.Now()
	state, err := newStartPool().CheckStart(t.Context(), target)
	require.Equal(t, attempt.StartUnknown, state)
	require.Error(t, err)
	require.Less(t, time.Since(begun), 2*time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	state, err = newStartPool().CheckStart(ctx, target)
	require.Equal(t, attempt.StartUnknown, state)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a killed process whose last connection, accepted before the end, hides the end.
func TestEndedStartIsFoundAfterItsConnectionBreaks(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		_ = ln.Close()
		reset(nc)
	}()
	target := attempt.Target{ID: "endpoint", Address: ln.Addr().String(), StartTimeMs: 1}
	for range 2 {
		state, err := newStartPool().CheckStart(t.Context(), target)
		require.NoError(t, err)
		require.Equal(t, attempt.StartEnded, state)
	}
}

// Guards against one question per waiting request, and against an answer that is older than the doubt.
func TestWaitingCallersShareACheckThatBeganLater(t *testing.T) {
	t.Parallel()
	asked, proceed := make(chan struct{}, 100), make(chan struct{})
	target, opened := serve(t, func(nc net.Conn, br *bufio.Reader) {
		if readHead(br) {
			asked <- struct{}{}
			<-proceed
			_, _ = io.WriteString(nc, answer(200, "7"))
		}
	})
	target.StartTimeMs = 7
	po := newStartPool()
	var wg sync.WaitGroup
	check := func() {
		defer wg.Done()
		state, _ := po.CheckStart(context.Background(), target)
		require.Equal(t, attempt.StartAlive, state)
	}
	wg.Add(1)
	go check()
	<-asked
	for range 20 {
		wg.Add(1)
		go check()
	}
	time.Sleep(30 * time.Millisecond)
	close(proceed)
	wg.Wait()
	require.GreaterOrEqual(t, opened.Load(), int64(2))
	require.LessOrEqual(t, opened.Load(), int64(4))
}

func TestEndpointThatRestartsInPlaceIsAnotherStart(t *testing.T) {
	t.Parallel()
	ep, err := site.NewEndpoint(site.EndpointOptions{ID: "engine", Model: site.Model})
	require.NoError(t, err)
	defer ep.Close()
	_, entry := ep.Entry("ready")
	born, isNumber := entry["born"].(int64)
	require.True(t, isNumber)
	target := attempt.Target{ID: "engine", Address: ep.Address(), StartTimeMs: born}
	po := attempt.NewPool(attempt.Options{StartCodec: platform.StartCodec{}})
	check := func(ta attempt.Target, want attempt.StartState) {
		state, err := po.CheckStart(t.Context(), ta)
		require.NoError(t, err)
		require.Equal(t, want, state)
	}
	check(target, attempt.StartAlive)
	check(attempt.Target{ID: "another", Address: target.Address, StartTimeMs: born}, attempt.StartEnded)
	ep.Close()
	check(target, attempt.StartEnded)
	ep.SetSoftwareVersion("v2")
	require.NoError(t, ep.Restart())
	require.Equal(t, target.Address, ep.Address())
	check(target, attempt.StartEnded)
	require.Equal(t, 3, ep.ReportCount())
}
