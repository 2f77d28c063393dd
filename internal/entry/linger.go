package entry

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// lingerTimeout bounds how long a connection is drained after a refusal of a request that the client
	// is still sending.
	lingerTimeout = 2 * time.Second
	// maxLingerBytes bounds the bytes that are drained.
	maxLingerBytes = 64 << 20
	// lingerBufferBytes is the size of the reads while draining.
	lingerBufferBytes = 32 << 10
)

type (
	// lingerListener accepts connections of type *lingerConn.
	lingerListener struct {
		net.Listener
		ck clock.Clock
	}

	// lingerConn is a connection that can be drained before it is closed. Closing a TCP connection with
	// unread bytes resets it, and a reset discards a response that the client has not read yet.
	lingerConn struct {
		net.Conn
		ck      clock.Clock
		lingers atomic.Bool
	}
)

// Accept returns the next connection.
func (ln *lingerListener) Accept() (net.Conn, error) {
	cn, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: cn, ck: ln.ck}, nil
}

// linger makes Close drain the connection. It does nothing if cn is neither a *lingerConn nor a TLS connection
// over one.
func linger(cn net.Conn) {
	if tc, ok := cn.(interface{ NetConn() net.Conn }); ok {
		cn = tc.NetConn()
	}
	if lc, ok := cn.(*lingerConn); ok {
		lc.lingers.Store(true)
	}
}

// Close closes the connection. If it lingers, Close first ends the sending direction, and then reads until the
// client closes its side, but at most maxLingerBytes and for lingerTimeout.
func (lc *lingerConn) Close() error {
	if lc.lingers.CompareAndSwap(true, false) {
		lc.drain()
	}
	return lc.Conn.Close()
}

func (lc *lingerConn) drain() {
	half, ok := lc.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	if lc.SetReadDeadline(lc.ck.Now().Add(lingerTimeout)) != nil {
		return
	}
	// An error means that the client is gone or slow; nothing more can be done for it.
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(lc.Conn, maxLingerBytes), make([]byte, lingerBufferBytes))
}
