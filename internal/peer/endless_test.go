package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peer"
)

// sendWithoutEnd writes a beginning and then a filler until the other side closes the connection; it returns the written bytes.
func sendWithoutEnd(conn net.Conn, beginning string) int {
	defer func() { _ = conn.Close() }()
	filler := []byte(strings.Repeat("x", 1<<16))
	total, err := conn.Write([]byte(beginning))
	for err == nil && total < maxSentBytes {
		var n int
		n, err = conn.Write(filler)
		total += n
	}
	return total
}

// maxSentBytes is far above the size of any message and the buffers of a connection.
const maxSentBytes = 32 << 20

func TestCallWithoutEndEndsItsConnection(t *testing.T) {
	address := startServer(t, nil)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	require.Less(t, sendWithoutEnd(conn, `{"jsonrpc":"2.0","id":1,"method":"greet","params":"`), maxSentBytes)
	pool := peer.NewPool(nil, nil)
	t.Cleanup(pool.Close)
	var out greeting
	require.NoError(t, pool.Call(context.Background(), address, "greet", greeting{Name: "a"}, &out))
}

func TestResponseToCallWithoutEndEndsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		sent <- sendWithoutEnd(conn, `{"jsonrpc":"2.0","id":0,"result":"`)
	}()
	pool := peer.NewPool(nil, nil)
	t.Cleanup(pool.Close)
	var unreachable *peer.UnreachableError
	require.ErrorAs(t, pool.Call(context.Background(), ln.Addr().String(), "greet", greeting{Name: "a"}, new(greeting)), &unreachable)
	require.Less(t, <-sent, maxSentBytes)
}
