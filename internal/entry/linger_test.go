package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset instead of the refusal: a client that sends its whole body before it reads the
// response must get the response, also if the body is far above the limit.
func TestClientThatIsStillSendingGetsRefusal(t *testing.T) {
	t.Parallel()
	const (
		clients   = 12
		bodyBytes = 8 << 20
	)
	// With a short timeout, a host under load may rightly refuse a header that arrives late.
	fx := newFixtureWithReadTimeout(t, 30*time.Second)
	body := strings.Repeat("a", bodyBytes)
	statuses := make([]int, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			cn, err := net.Dial("tcp", fx.address)
			if err != nil {
				return
			}
			defer func() { _ = cn.Close() }()
			if _, err := fmt.Fprintf(cn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, body); err != nil {
				return
			}
			rsp, err := http.ReadResponse(bufio.NewReader(cn), nil)
			if err != nil {
				return
			}
			_ = rsp.Body.Close()
			statuses[i] = rsp.StatusCode
		})
	}
	wg.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusRequestEntityTooLarge, status)
	}
}

// A client that never stops sending is disconnected after a bounded time.
func TestClientThatNeverStopsSendingIsDisconnected(t *testing.T) {
	t.Parallel()
	fx := newFixture(t)
	cn, err := net.Dial("tcp", fx.address)
	require.NoError(t, err)
	defer func() { _ = cn.Close() }()
	_, err = fmt.Fprintf(cn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", int64(1)<<40)
	require.NoError(t, err)
	require.NoError(t, cn.SetDeadline(time.Now().Add(20*time.Second)))
	chunk := []byte(strings.Repeat("a", 64<<10))
	for err == nil {
		_, err = cn.Write(chunk)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the server still reads")
}
