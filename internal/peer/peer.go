// Package peer carries JSON-RPC calls between entry hosts, over TCP with mutual TLS where the
// settings name keys.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

type (
	// Handler answers one method. It must be safe for concurrent use.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Caller calls methods of other hosts.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
		// Notify calls a method whose answer does not matter.
		Notify(ctx context.Context, address, method string, params any) error
	}

	// Meter counts the bytes of control traffic. It must be safe for concurrent use.
	Meter interface {
		ControlBytes(sent, received int)
	}

	// UnreachableError reports a host that gave no answer. The call may have been carried out.
	UnreachableError struct {
		address string
		cause   error
	}

	// RemoteError reports a call that the other host answered with a failure.
	RemoteError struct {
		method  string
		message string
	}

	countedConn struct {
		net.Conn
		meter Meter
	}
)

// NewUnreachableError returns the failure to reach address.
func NewUnreachableError(address string, cause error) *UnreachableError {
	return &UnreachableError{address: address, cause: cause}
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: no answer from %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// Error names the method and the failure.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s failed: %s", e.method, e.message)
}

// Read counts what is received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.ControlBytes(0, n)
	return n, err
}

// Write counts what is sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.ControlBytes(n, 0)
	return n, err
}

// Count wraps conn so that meter counts its bytes; a nil meter returns conn itself.
func Count(conn net.Conn, meter Meter) net.Conn {
	if meter == nil {
		return conn
	}
	return &countedConn{Conn: conn, meter: meter}
}

// quiet drops the log of the library: every failure of a call reaches its caller.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(conn)
}
