// Package attempt sends one request to one endpoint over a pooled connection. Each error tells whether
// the request may have run.
package attempt

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// defaultDialTimeout is far above the round trip between zones, and short enough to try another
	// endpoint in time if one does not respond.
	defaultDialTimeout = 300 * time.Millisecond
	// maxSyncWriteBytes is the largest request that is written before the response is read. Larger ones
	// are written concurrently, because an endpoint may respond before it has read them.
	maxSyncWriteBytes = 2 << 10
	// maxHeaderBytes bounds the header of a response together with the interim responses before it. An
	// endpoint in trouble may send a header without end.
	maxHeaderBytes = 64 << 10
)

type (
	// Options configures a Pool. The zero value is usable.
	Options struct {
		// DialTimeout is the timeout for opening a connection; zero means 300 ms.
		DialTimeout time.Duration
		// Clock is the time source; nil means the system clock.
		Clock clock.Clock
		// Dialer opens the connections; nil means TCP connections that end when sent bytes stay unacknowledged for 900 ms.
		Dialer Dialer
		// Memory bounds what the responses in flight hold together; nil means no bound.
		Memory *Memory
		// OnOpen, if not nil, is called for each new connection.
		OnOpen func()
		// StartCodec translates the question which start of an endpoint answers; nil means that it can't be asked.
		StartCodec StartCodec
		// IsConfirmed reports whether the host has learned lately which starts there are; nil means always.
		IsConfirmed func() bool
	}

	// Pool holds reusable connections to endpoints. It is safe for concurrent use.
	Pool struct {
		opts Options

		mu      sync.Mutex
		targets map[Target]*targetConns
		// checks holds the targets of which the start is being checked.
		checks map[Target]*startChecks
		// open holds the connections that are idle or in use.
		open openConns
		// now counts what happens to connections.
		now moment
	}

	// Target identifies one start of an endpoint. Connections to an earlier or later start are never used
	// for it.
	Target struct {
		// ID identifies the endpoint.
		ID string
		// Address is an IP number and a port.
		Address string
		// StartTimeMs is the start time of the endpoint, in Unix milliseconds.
		StartTimeMs int64
	}

	// targetConns holds the idle connections to a target; open counts these and the ones in use.
	targetConns struct {
		idle  []*conn
		open  int
		trust trust
	}

	// Response is the response to a request. Its body is read with Read, and Close must be called.
	Response struct {
		// Status is the HTTP status.
		Status int
		// Header is the response header.
		Header http.Header
		// Interim holds the headers of the interim responses before it.
		Interim []http.Header
		// Reused reports that the connection has carried earlier requests.
		Reused bool

		pool       *Pool
		target     Target
		conn       *conn
		rsp        *http.Response
		method     string
		stopCancel func() bool
		writeDone  chan error
		bodyRead   bool
		// openAt is when the endpoint was last known not to have closed the connection.
		openAt    time.Time
		closeOnce sync.Once
	}
)

// String returns an identifier of this start of the endpoint.
func (ta Target) String() string { return ta.ID + "@" + strconv.FormatInt(ta.StartTimeMs, 36) }

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	if opts.Dialer == nil {
		opts.Dialer = &net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	}
	return &Pool{opts: opts, targets: make(map[Target]*targetConns), checks: make(map[Target]*startChecks)}
}

// Send sends a request, header and body, to target and returns once the header of a response has
// arrived. At most limit connections to the target are open at a time; zero means no bound. Send fails
// with a *NotSentError or a *BrokenError. The end of ctx aborts the exchange, after which the connection
// is not reused.
func (po *Pool) Send(ctx context.Context, target Target, limit int, method string, head, body []byte) (*Response, error) {
	return po.SendToStart(ctx, target, AnyStart, limit, method, head, body)
}

// SendToStart is Send for a request that needs the start that the target names. While that is in doubt, a connection is used only
// once the start has answered on it. If another one answers, the cause of the *NotSentError is a *OtherStartError.
func (po *Pool) SendToStart(ctx context.Context, target Target, need StartNeed, limit int, method string, head, body []byte) (*Response, error) {
	cn, err := po.acquireAtStart(ctx, target, need, limit)
	if err != nil {
		return nil, err
	}
	rs := &Response{pool: po, target: target, conn: cn, method: method, Reused: cn.requests > 0, openAt: po.opts.Clock.Now()}
	cn.requests++
	rs.stopCancel = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := rs.write(head, body); err != nil {
		if ctx.Err() == nil {
			po.doubt(target)
		}
		rs.Close()
		return nil, err
	}
	if err := rs.Next(); err != nil {
		rs.Close()
		if !errors.Is(ctx.Err(), context.Canceled) {
			po.doubt(target)
		}
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, &BrokenError{target: target, cause: err}
	}
	return rs, nil
}

// write sends the request. A large one is written concurrently, and writeDone receives the result.
func (rs *Response) write(head, body []byte) error {
	message := append(head, body...)
	if len(message) <= maxSyncWriteBytes {
		n, err := rs.conn.Write(message)
		switch {
		case err != nil && n == 0:
			return &NotSentError{target: rs.target, cause: err}
		case err != nil:
			return &BrokenError{target: rs.target, cause: err}
		}
		return nil
	}
	rs.writeDone = make(chan error, 1)
	go func() {
		_, err := rs.conn.Write(message)
		rs.writeDone <- err
	}()
	return nil
}

// Next reads the header of the next response on the connection. Callers use it after a response that
// belongs to an earlier request. It fails with a *HeaderSizeError or *HeaderLinesError if the header, with the interim
// responses before it, exceeds 64 KiB or 512 lines.
func (rs *Response) Next() error {
	rs.Interim = nil
	rs.conn.source.holding.release()
	rs.conn.source.limit(maxHeaderBytes)
	defer rs.conn.source.unlimit()
	for {
		buffered, _ := rs.conn.reader.Peek(rs.conn.reader.Buffered())
		if err := rs.conn.source.beginHeader(buffered); err != nil {
			return err
		}
		//nolint:bodyclose // Read reads the body; Close closes or reuses the underlying connection.
		rsp, err := http.ReadResponse(rs.conn.reader, &http.Request{Method: rs.method})
		if err != nil {
			return err
		}
		if rsp.StatusCode >= 100 && rsp.StatusCode < 200 {
			rs.Interim = append(rs.Interim, rsp.Header)
			continue
		}
		rs.rsp, rs.Status, rs.Header, rs.bodyRead = rsp, rsp.StatusCode, rsp.Header, false
		rs.noteOpen()
		return nil
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (rs *Response) Read(p []byte) (int, error) {
	n, err := rs.rsp.Body.Read(p)
	if err == nil {
		rs.noteOpen()
	}
	switch {
	case errors.Is(err, io.EOF) && !rs.hasDelimitedBody() && isReset(rs.conn.Conn):
		err = rs.BrokenError(syscall.ECONNRESET)
	case errors.Is(err, io.EOF):
		// Nobody uses the trailer.
		rs.bodyRead, rs.rsp.Trailer = true, nil
	case err != nil:
		err = rs.BrokenError(err)
	}
	if err != nil && !rs.bodyRead && !errors.Is(err, os.ErrDeadlineExceeded) {
		rs.pool.doubt(rs.target)
	}
	return n, err
}

// BrokenError returns the error for a body that ended early although it is complete by its framing, which only the
// caller can tell.
func (rs *Response) BrokenError(cause error) *BrokenError {
	return &BrokenError{target: rs.target, cause: cause}
}

// BodyLength returns the announced length of the body in bytes, or -1 if the response announces none.
func (rs *Response) BodyLength() int64 { return rs.rsp.ContentLength }

// Close ends the exchange. The connection returns to the pool if the response was read completely and
// neither side asks to close it. Further calls do nothing.
func (rs *Response) Close() {
	rs.closeOnce.Do(func() {
		rs.conn.source.holding.release()
		notCancelled := rs.stopCancel()
		reusable := notCancelled && rs.isReusable()
		if rs.writeDone != nil {
			select {
			case err := <-rs.writeDone:
				reusable = reusable && err == nil
			default:
				// The request body has not been written completely.
				reusable = false
			}
		}
		if reusable {
			rs.conn.idleTimeout = idleTimeout(rs.Header)
		}
		rs.pool.release(rs.target, rs.conn, reusable)
	})
}

// isReusable reports whether the connection can carry another request after the response.
func (rs *Response) isReusable() bool {
	return rs.bodyRead && rs.rsp != nil && !rs.rsp.Close && rs.conn.reader.Buffered() == 0 && rs.hasDelimitedBody()
}

// DiscardBody reads and drops the rest of the body, so that the connection can be reused. It gives up after
// maxBytes or the duration d; the connection is then closed by Close.
func (rs *Response) DiscardBody(maxBytes int64, d time.Duration) {
	if rs.conn.SetReadDeadline(rs.pool.opts.Clock.Now().Add(d)) != nil {
		return
	}
	// An error leaves the body unread, which Close takes into account.
	_, _ = io.Copy(io.Discard, io.LimitReader(rs, maxBytes))
}

// hasDelimitedBody reports whether the response marks the end of its body, so that the connection can carry
// another response after it.
func (rs *Response) hasDelimitedBody() bool {
	return rs.rsp.ContentLength >= 0 || len(rs.rsp.TransferEncoding) > 0
}

// CloseIdle closes the idle connections to a target that became unreachable. A request sent on one of them
// would fail.
func (po *Pool) CloseIdle(target Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	tc := po.targets[target]
	if tc == nil {
		return
	}
	for _, cn := range tc.idle {
		closeConn(cn)
		tc.open--
	}
	tc.idle = nil
}

// CloseIdleExcept closes the idle connections to all targets for which keep returns false.
func (po *Pool) CloseIdleExcept(keep func(Target) bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for target, tc := range po.targets {
		if keep(target) {
			continue
		}
		for _, cn := range tc.idle {
			closeConn(cn)
			tc.open--
		}
		tc.idle = nil
		if tc.open == 0 {
			delete(po.targets, target)
		}
	}
}

// acquire returns an idle connection to target or opens a new one.
func (po *Pool) acquire(ctx context.Context, target Target, limit int) (*conn, error) {
	po.mu.Lock()
	tc := po.conns(target)
	now := po.opts.Clock.Now()
	for len(tc.idle) > 0 {
		cn := tc.idle[len(tc.idle)-1]
		tc.idle = tc.idle[:len(tc.idle)-1]
		// The deadline of the last use may have passed, with which no check succeeds.
		if now.Sub(cn.idleSince) < cn.idleTimeout && cn.SetDeadline(time.Time{}) == nil {
			isUsable, isClosed := checkIdle(cn.Conn)
			if isUsable {
				po.mu.Unlock()
				return cn, nil
			}
			if isClosed {
				tc.trust.doubt(po.tick(), now)
			}
		}
		closeConn(cn)
		tc.open--
	}
	if limit > 0 && tc.open >= limit {
		po.mu.Unlock()
		return nil, &NotSentError{target: target, cause: &connectionLimitError{limit: limit}}
	}
	tc.open++
	po.mu.Unlock()
	raw, err := po.dial(ctx, target, po.opts.DialTimeout)
	if err != nil {
		if ctx.Err() == nil {
			po.doubt(target)
		}
		po.mu.Lock()
		tc.open--
		po.mu.Unlock()
		return nil, &NotSentError{target: target, cause: err}
	}
	if po.opts.OnOpen != nil {
		po.opts.OnOpen()
	}
	cn := newConn(raw, po.opts.Memory)
	cn.establishedAt = po.opts.Clock.Now()
	po.open.add(target, cn)
	isConfirmed := po.isConfirmed()
	po.mu.Lock()
	defer po.mu.Unlock()
	cn.openedAt, cn.openedTime = po.tick(), po.opts.Clock.Now()
	cn.isTrusted = !po.canAsk(target) || tc.trust.holds(isConfirmed, cn.openedTime)
	return cn, nil
}

// conns returns the connections to a target. The caller holds the lock.
func (po *Pool) conns(target Target) *targetConns {
	tc := po.targets[target]
	if tc == nil {
		tc = &targetConns{}
		po.targets[target] = tc
	}
	return tc
}

// release returns a connection to the pool if it is reusable and closes it otherwise.
func (po *Pool) release(target Target, cn *conn, reusable bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	tc := po.targets[target]
	if reusable && cn.idleTimeout > 0 && tc != nil {
		cn.idleSince = po.opts.Clock.Now()
		tc.idle = append(tc.idle, cn)
		return
	}
	closeConn(cn)
	if tc != nil {
		tc.open--
	}
}
