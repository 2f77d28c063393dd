package gateway

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

type clientKey struct{}

// WithClient returns a context that knows the client's connection, for http.Server.ConnContext. With
// it, a request whose client has left is not sent on even if the host had no time to notice so far.
func WithClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

// hasLeft reports whether the client has closed its side of the connection.
func hasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	sc, ok := ctx.Value(clientKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	// Control does not wait for the read that the server has under way.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = (rerr == nil && n == 0) || errors.Is(rerr, syscall.ECONNRESET)
	})
	return err != nil || left
}
