// Package peer implements JSON-RPC calls between entry hosts over TCP, with mutual TLS if
// certificates are configured.
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
	// Handler handles the calls of one method. It must be safe for concurrent use.
	Handler func(ctx context.Context, params json.RawMessage) (any, error)

	// Caller calls methods of other hosts.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
		// Notify calls a method without waiting for a response.
		Notify(ctx context.Context, address, method string, params any) error
	}

	// Meter counts the bytes of control traffic. It must be safe for concurrent use.
	Meter interface {
		AddControlBytes(sent, received int)
	}

	// UnreachableError reports a host that did not respond. The call may have been executed.
	UnreachableError struct {
		address string
		cause   error
	}

	// RemoteError reports an error response of the other host.
	RemoteError struct {
		method  string
		message string
	}

	meteredConn struct {
		net.Conn
		meter Meter
	}
)

// NewUnreachableError returns an error for the host at address, which did not respond.
func NewUnreachableError(address string, cause error) *UnreachableError {
	return &UnreachableError{address: address, cause: cause}
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer: no response from %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.cause }

// Error names the method and the error message of the other host.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: %s failed: %s", e.method, e.message)
}

// Read counts the bytes received.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.AddControlBytes(0, n)
	return n, err
}

// Write counts the bytes sent.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.AddControlBytes(n, 0)
	return n, err
}

// WithMeter wraps conn so that meter counts its bytes. It returns conn itself if meter is nil.
func WithMeter(conn net.Conn, meter Meter) net.Conn {
	if meter == nil {
		return conn
	}
	return &meteredConn{Conn: conn, meter: meter}
}

// discardLog returns the option that disables the library's log. The log is not needed, since every
// failed call returns its error to the caller.
func discardLog() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }
