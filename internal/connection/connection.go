// Package connection sends one HTTP request on one TCP connection and says, when it fails,
// whether a byte of the request can have left.
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
	defaultSilence     = 10 * time.Second
	headerBufferBytes  = 16 << 10
)

type (
	// Options configures a Dialer. The zero value is usable.
	Options struct {
		// DialTimeout bounds opening a connection; zero means 1 s.
		DialTimeout time.Duration
		// Silence bounds the time without a byte, before the first byte and between bytes; zero
		// means 10 s.
		Silence time.Duration
		// Clock is used for deadlines; nil means the system clock.
		Clock clock.Clock
	}

	// Dialer opens connections. It is safe for concurrent use.
	Dialer struct {
		opts Options
	}

	// Exchange is one request with its answer on a connection of its own. Close may be called at
	// any time and from any goroutine; it ends a read in progress.
	Exchange struct {
		conn *silenceConn
		rsp  *fasthttp.Response
		body io.Reader

		once sync.Once
	}

	// DialError reports a connection that could not be opened. No byte has left.
	DialError struct {
		address string
		cause   error
	}

	// BrokenError reports a connection that failed after a byte may have left.
	BrokenError struct {
		address string
		silent  bool
		cause   error
	}

	silenceConn struct {
		net.Conn
		clk     clock.Clock
		silence time.Duration
	}
)

// NewDialer returns a dialer.
func NewDialer(opts Options) *Dialer {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.Silence == 0 {
		opts.Silence = defaultSilence
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Dialer{opts: opts}
}

// Error names the address and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connection: cannot open %s: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// Error names the address and the cause.
func (e *BrokenError) Error() string {
	if e.silent {
		return fmt.Sprintf("connection: %s is silent: %v", e.address, e.cause)
	}
	return fmt.Sprintf("connection: %s broke: %v", e.address, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// IsSilent reports whether the connection gave no byte for the silence limit.
func (e *BrokenError) IsSilent() bool { return e.silent }

// NewDialError returns the failure to open a connection, for use by fakes.
func NewDialError(address string, cause error) *DialError {
	return &DialError{address: address, cause: cause}
}

// NewBrokenError returns the failure of an open connection, for use by fakes.
func NewBrokenError(address string, silent bool, cause error) *BrokenError {
	return &BrokenError{address: address, silent: silent, cause: cause}
}

// Read sets the deadline of the silence limit before each read.
func (c *silenceConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.clk.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write sets the deadline of the silence limit before each write.
func (c *silenceConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.clk.Now().Add(c.silence)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Open sends req to address and returns once the header of the answer has arrived. It returns a
// *DialError if no byte can have left, else a *BrokenError. When ctx ends, the connection closes.
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
	conn := &silenceConn{Conn: raw, clk: dl.opts.Clock, silence: dl.opts.Silence}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	ex, err := send(conn, req)
	if err != nil {
		stop()
		_ = raw.Close()
		return nil, brokenBy(address, err)
	}
	return ex, nil
}

func send(conn *silenceConn, req *fasthttp.Request) (*Exchange, error) {
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
	ex := &Exchange{conn: conn, rsp: rsp, body: rsp.BodyStream()}
	return ex, nil
}

// Response returns the answer's header. Its body must be read from Body.
func (ex *Exchange) Response() *fasthttp.Response { return ex.rsp }

// Read reads the body. At its end it returns io.EOF; a failure is a *BrokenError.
func (ex *Exchange) Read(p []byte) (int, error) {
	if ex.body == nil {
		return 0, io.EOF
	}
	n, err := ex.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = brokenBy(ex.conn.RemoteAddr().String(), err)
	}
	return n, err
}

// Close closes the connection. Closing twice is allowed.
func (ex *Exchange) Close() error {
	var err error
	ex.once.Do(func() { err = ex.conn.Close() })
	return err
}

func brokenBy(address string, cause error) error {
	var ne net.Error
	silent := errors.As(cause, &ne) && ne.Timeout()
	return NewBrokenError(address, silent, cause)
}
