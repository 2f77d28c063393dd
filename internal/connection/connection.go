// Package connection sends one HTTP request per TCP connection. Its errors tell whether any byte of
// the request may have been sent.
package connection

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = 10 * time.Second
	headerBufferBytes  = 16 << 10
)

type (
	// Options configures a Dialer. The zero value is usable.
	Options struct {
		// DialTimeout is the timeout of the dial; zero means 1 s.
		DialTimeout time.Duration
		// IdleTimeout is the maximum time without a byte, before the first byte and between bytes; zero
		// means 10 s.
		IdleTimeout time.Duration
		// BodyMemoryBytes bounds the memory of all bodies that ReadAll reads at the same time; zero means 16 MiB.
		BodyMemoryBytes int64
		// Clock is used for deadlines; nil means the system clock.
		Clock clock.Clock
	}

	// Dialer sends requests, each on a new connection. It is safe for concurrent use.
	Dialer struct {
		opts   Options
		memory *bodyMemory
	}

	// Exchange is one request and its response on a dedicated connection. Close may be called at any
	// time and from any goroutine; it interrupts a pending read.
	Exchange struct {
		conn       *idleTimeoutConn
		memory     *bodyMemory
		rsp        *fasthttp.Response
		bodyReader io.Reader

		closeOnce sync.Once
	}

	// DialError reports a connection that could not be opened. No byte was sent.
	DialError struct {
		address string
		cause   error
	}

	// BrokenError reports a connection that failed after bytes may have been sent.
	BrokenError struct {
		address     string
		idleTimeout bool
		cause       error
	}

	idleTimeoutConn struct {
		net.Conn
		clk         clock.Clock
		idleTimeout time.Duration
	}
)

// NewDialer returns a dialer. Options that are zero get their defaults.
func NewDialer(opts Options) *Dialer {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	if opts.BodyMemoryBytes == 0 {
		opts.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	return &Dialer{opts: opts, memory: &bodyMemory{limit: opts.BodyMemoryBytes}}
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connection: cannot open %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// Error names the address and the cause.
func (e *BrokenError) Error() string {
	if e.idleTimeout {
		return fmt.Sprintf("connection: %s is silent: %v", e.address, e.cause)
	}
	return fmt.Sprintf("connection: %s broke: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// IsIdleTimeout reports whether the connection exceeded the idle timeout.
func (e *BrokenError) IsIdleTimeout() bool { return e.idleTimeout }

// NewDialError returns an error for a connection that could not be opened. It is exported for fakes.
func NewDialError(address string, cause error) *DialError {
	return &DialError{address: address, cause: cause}
}

// NewBrokenError returns an error for an open connection that failed. It is exported for fakes.
func NewBrokenError(address string, idleTimeout bool, cause error) *BrokenError {
	return &BrokenError{address: address, idleTimeout: idleTimeout, cause: cause}
}

// Read extends the read deadline by the idle timeout before each read.
func (c *idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.clk.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write extends the write deadline by the idle timeout before each write.
func (c *idleTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clk.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Open sends req to address and returns when the response header has arrived. It returns a
// *DialError if no byte can have been sent, otherwise a *BrokenError. The connection is closed when
// ctx ends.
func (dl *Dialer) Open(ctx context.Context, address string, req *fasthttp.Request) (*Exchange, error) {
	nd := net.Dialer{Timeout: dl.opts.DialTimeout}
	raw, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, NewDialError(address, err)
	}
	if err = ctx.Err(); err != nil {
		_ = raw.Close()
		return nil, NewDialError(address, err)
	}
	conn := &idleTimeoutConn{Conn: raw, clk: dl.opts.Clock, idleTimeout: dl.opts.IdleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	ex, err := send(conn, req)
	if err != nil {
		stop()
		_ = raw.Close()
		return nil, newBrokenErrorFrom(address, err)
	}
	ex.memory = dl.memory
	return ex, nil
}

func send(conn *idleTimeoutConn, req *fasthttp.Request) (*Exchange, error) {
	req.SetConnectionClose()
	bw := bufio.NewWriter(conn)
	if err := req.Write(bw); err != nil {
		return nil, err
	}
	if err := bw.Flush(); err != nil {
		return nil, err
	}
	rsp := &fasthttp.Response{StreamBody: true}
	if err := rsp.ReadLimitBody(bufio.NewReaderSize(conn, headerBufferBytes), 0); err != nil {
		return nil, err
	}
	ex := &Exchange{conn: conn, rsp: rsp, bodyReader: rsp.BodyStream()}
	return ex, nil
}

// Response returns the response with its header. The body must be read with Read.
func (ex *Exchange) Response() *fasthttp.Response { return ex.rsp }

// Read reads the response body. It returns io.EOF at the end and a *BrokenError on failure.
func (ex *Exchange) Read(p []byte) (int, error) {
	if ex.bodyReader == nil {
		return 0, io.EOF
	}
	n, err := ex.bodyReader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = ex.brokenError(err)
	}
	return n, err
}

// Close closes the connection. It may be called more than once.
func (ex *Exchange) Close() error {
	var err error
	ex.closeOnce.Do(func() { err = ex.conn.Close() })
	return err
}

// newBrokenErrorFrom returns a *BrokenError for a failed read or write and detects the idle timeout.
func newBrokenErrorFrom(address string, cause error) error {
	var ne net.Error
	idleTimeout := errors.As(cause, &ne) && ne.Timeout()
	return NewBrokenError(address, idleTimeout, cause)
}
