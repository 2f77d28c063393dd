package gateway

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// clientBufferBytes bounds what the kernel holds for a client that does not read; it takes twice as much with its own records.
const clientBufferBytes = 128 << 10

// unsentBytes bounds what the kernel takes beyond what the client has room for. A blocked write goes on once half of it has been sent,
// so that a client that reads slowly is told from one that does not.
const unsentBytes = 16 << 10

type clientConnKey struct{}

// WithClientConn returns a context that carries the client's connection, for http.Server.ConnContext. It
// lets the gateway drop the request of a disconnected client even if the HTTP server has not yet
// noticed the disconnect. It bounds the connection's write buffer.
func WithClientConn(ctx context.Context, nc net.Conn) context.Context {
	if wb, ok := nc.(interface{ SetWriteBuffer(bytes int) error }); ok {
		// Without it the kernel's own bound applies, which is some MiB.
		_ = wb.SetWriteBuffer(clientBufferBytes)
	}
	boundUnsent(nc)
	return context.WithValue(ctx, clientConnKey{}, nc)
}

// clientDisconnected reports whether the client has closed its side of the connection.
func clientDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	sc, ok := ctx.Value(clientConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	// Control does not wait for the server's pending read, unlike Read.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = (rerr == nil && n == 0) || errors.Is(rerr, syscall.ECONNRESET)
	})
	return err != nil || disconnected
}

// boundUnsent sets the bound for unsent bytes. Without it a blocked write goes on once a third of the buffer is free.
func boundUnsent(nc net.Conn) {
	// The value of TCP_NOTSENT_LOWAT, which package syscall does not define.
	const tcpNotSentLowat = 25
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, unsentBytes)
		})
	}
}
