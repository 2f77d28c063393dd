package attempt_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// Guards against headers that fit into the limit in bytes but take many times as much once they are decoded.
func TestHeadersOfManySmallLinesAreRejected(t *testing.T) {
	const (
		responses = 50
		maxMemory = 8 << 20
	)
	fields, interim := &strings.Builder{}, &strings.Builder{}
	for i := range 6000 {
		fmt.Fprintf(fields, "%x:\r\n", i)
	}
	for i := range 1500 {
		fmt.Fprintf(interim, "HTTP/1.1 100 C\r\n%x:\r\n\r\n", i)
	}
	for name, header := range map[string]string{
		"fields":            "HTTP/1.1 200 OK\r\n" + fields.String() + "\r\n",
		"interim responses": interim.String() + "HTTP/1.1 200 OK\r\n\r\n",
		"fields after an interim response": "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n" + fields.String() +
			"\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			t.Cleanup(func() { close(release) })
			target, _ := serve(t, func(nc net.Conn, br *bufio.Reader) {
				if readHead(br) {
					_, _ = io.WriteString(nc, header)
					<-release
				}
			})
			po := attempt.NewPool(attempt.Options{})
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var (
				held []*attempt.Response
				errs []error
			)
			for range responses {
				rs, err := send(t, po, target, "")
				errs = append(errs, err)
				if err == nil {
					held = append(held, rs)
				}
				if len(held) == 4 {
					break
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			t.Logf("%d responses hold %d KiB", len(held), (int64(after.HeapAlloc)-int64(before.HeapAlloc))>>10)
			runtime.KeepAlive(held)
			for _, rs := range held {
				rs.Close()
			}
			for _, err := range errs {
				var tooMany *attempt.HeaderLinesError
				require.ErrorAs(t, err, &tooMany)
			}
			require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxMemory))
		})
	}
}

func TestLinesOfABodyDoNotCountAsLinesOfTheHeader(t *testing.T) {
	body := strings.Repeat("\n", 6000)
	target, _ := serve(t, func(nc net.Conn, br *bufio.Reader) {
		for readHead(br) {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"+
				"HTTP/1.1 200 OK\r\nContent-Length: %[1]d\r\n\r\n%[2]s", len(body), body)
		}
	})
	rs, err := send(t, attempt.NewPool(attempt.Options{}), target, "")
	require.NoError(t, err)
	defer rs.Close()
	for range 2 {
		data, err := io.ReadAll(rs)
		require.NoError(t, err)
		require.Equal(t, body, string(data))
		if len(rs.Interim) > 0 {
			require.NoError(t, rs.Next())
		}
	}
}
