package attempt_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// Guards against many responses that each keep within their limit and together exceed the memory of a host.
func TestResponsesShareTheirMemory(t *testing.T) {
	const (
		memoryBytes = 200 << 10
		longBytes   = 40 << 10
	)
	target, _ := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for readHead(br) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("x", longBytes))
		}
	})
	small, _ := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for readHead(br) {
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	memory := attempt.NewMemory(memoryBytes)
	po := attempt.NewPool(attempt.Options{Memory: memory})
	first, err := send(t, po, target, "")
	require.NoError(t, err)
	_, err = send(t, po, target, "")
	var (
		broken *attempt.BrokenError
		full   *attempt.MemoryError
	)
	require.ErrorAs(t, err, &broken)
	require.ErrorAs(t, err, &full)
	ordinary, err := send(t, po, small, "")
	require.NoError(t, err, "an ordinary response has room")
	require.NoError(t, ordinary.Hold(16<<10))
	require.ErrorAs(t, ordinary.Hold(128<<10), &full)
	ordinary.Close()
	first.Close()
	require.Zero(t, memory.Used())
	again, err := send(t, po, target, "")
	require.NoError(t, err)
	again.Close()
	require.Zero(t, memory.Used())
}
