// Package attempt sends one request to one endpoint on a kept connection, and says of each failure
// whether the request can have run.
package attempt

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// defaultDialLimit is far above the round trip between zones, and short enough to try another
	// endpoint in time when one is silent.
	defaultDialLimit = 300 * time.Millisecond
	// defaultUnacknowledged bounds how long sent bytes may stay unacknowledged; it outlasts two
	// lost packets in a row.
	defaultUnacknowledged = 900 * time.Millisecond
	// idleMargin is how long before the endpoint's own limit an idle connection is given up.
	idleMargin = time.Second
	// idleMost bounds the idle time on a connection whose endpoint names no limit.
	idleMost = 4 * time.Second
	// writeAtOnce is up to which size a request is written before the answer is read. Longer ones
	// are written meanwhile, because an endpoint may answer before it has read them.
	writeAtOnce = 2 << 10
	readerBytes = 8 << 10
	// refusedWithin bounds asking whether an endpoint still listens; it is far above the round trip
	// between zones.
	refusedWithin = 100 * time.Millisecond
)

type (
	// Options configures a Pool. The zero value is usable.
	Options struct {
		// DialLimit bounds opening a connection; zero means 300 ms.
		DialLimit time.Duration
		// Clock tells the time; nil means the system clock.
		Clock clock.Clock
		// Opened, if not nil, is called for each new connection.
		Opened func()
	}

	// Pool keeps connections to endpoints. It is safe for concurrent use.
	Pool struct {
		opts Options

		mu     sync.Mutex
		places map[Target]*place
	}

	// Target is one start of an endpoint. Connections to another start are never used for it.
	Target struct {
		// ID identifies the endpoint.
		ID string
		// Address is an IP number and a port.
		Address string
		// Born is the endpoint's start.
		Born int64
	}

	place struct {
		idle []*conn
		open int
	}

	conn struct {
		net.Conn
		reader    *bufio.Reader
		idleLimit time.Duration
		since     time.Time
		served    int
	}

	// Answer is the answer to a request. Its body must be read from Read, and Close must be called.
	Answer struct {
		// Status is the HTTP status.
		Status int
		// Header is the header of the answer.
		Header http.Header
		// Reused reports that the connection has served other requests before.
		Reused bool

		pool    *Pool
		target  Target
		conn    *conn
		rsp     *http.Response
		method  string
		stop    func() bool
		written chan error
		atEnd   bool
		once    sync.Once
	}
)

// String names one start of an endpoint.
func (ta Target) String() string { return ta.ID + "@" + strconv.FormatInt(ta.Born, 36) }

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.DialLimit == 0 {
		opts.DialLimit = defaultDialLimit
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Pool{opts: opts, places: make(map[Target]*place)}
}

// Send sends a request, header and body, to target and returns once the header of an answer has
// arrived. At most limit connections are open to the target; zero means no bound. It fails with a
// *NotSentError or a *BrokenError. When ctx ends, the connection is closed.
func (po *Pool) Send(ctx context.Context, target Target, limit int, method string, head, body []byte) (*Answer, error) {
	cn, err := po.take(ctx, target, limit)
	if err != nil {
		return nil, err
	}
	an := &Answer{pool: po, target: target, conn: cn, method: method, Reused: cn.served > 0}
	cn.served++
	an.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	if err := an.write(head, body); err != nil {
		an.Close()
		return nil, err
	}
	if err := an.Next(); err != nil {
		an.Close()
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, &BrokenError{target: target, cause: err}
	}
	return an, nil
}

func (an *Answer) write(head, body []byte) error {
	whole := append(head, body...)
	if len(whole) <= writeAtOnce {
		n, err := an.conn.Write(whole)
		switch {
		case err != nil && n == 0:
			return &NotSentError{target: an.target, cause: err}
		case err != nil:
			return &BrokenError{target: an.target, cause: err}
		}
		return nil
	}
	an.written = make(chan error, 1)
	go func() {
		_, err := an.conn.Write(whole)
		an.written <- err
	}()
	return nil
}

// Next reads the header of the next answer on the connection. It is for answers that turn out to
// belong to an earlier request.
func (an *Answer) Next() error {
	for {
		//nolint:bodyclose // The body is read by Read; Close ends the connection below it.
		rsp, err := http.ReadResponse(an.conn.reader, &http.Request{Method: an.method})
		if err != nil {
			return err
		}
		if rsp.StatusCode >= 100 && rsp.StatusCode < 200 {
			continue
		}
		an.rsp, an.Status, an.Header, an.atEnd = rsp, rsp.StatusCode, rsp.Header, false
		return nil
	}
}

// Read reads the body. It returns io.EOF only at the proper end of a whole body.
func (an *Answer) Read(p []byte) (int, error) {
	n, err := an.rsp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		an.atEnd = true
	case err != nil:
		err = &BrokenError{target: an.target, cause: err}
	}
	return n, err
}

// Close ends the exchange. The connection is kept for other requests if the answer was read whole
// and both sides agree. Closing twice is allowed.
func (an *Answer) Close() {
	an.once.Do(func() {
		clean := an.stop()
		keep := clean && an.atEnd && an.rsp != nil && !an.rsp.Close && an.conn.reader.Buffered() == 0 && an.isFramed()
		if an.written != nil {
			select {
			case err := <-an.written:
				keep = keep && err == nil
			default:
				// The endpoint still expects the rest of the body.
				keep = false
			}
		}
		if keep {
			an.conn.idleLimit = idleLimit(an.Header)
		}
		an.pool.put(an.target, an.conn, keep)
	})
}

func (an *Answer) isFramed() bool {
	return an.rsp.ContentLength >= 0 || len(an.rsp.TransferEncoding) > 0
}

// Forget closes the idle connections to a target that has fallen silent; each of them would cost the
// request that is sent on it.
func (po *Pool) Forget(target Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	pl := po.places[target]
	if pl == nil {
		return
	}
	for _, cn := range pl.idle {
		discard(cn)
		pl.open--
	}
	pl.idle = nil
}

// IsRefused reports whether nothing listens at a target any more, within 100 ms. A target that does
// not answer counts as listening.
func (po *Pool) IsRefused(ctx context.Context, target Target) bool {
	nd := net.Dialer{Timeout: min(refusedWithin, po.opts.DialLimit), KeepAlive: -1}
	raw, err := nd.DialContext(ctx, "tcp", target.Address)
	if err == nil {
		discard(raw)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Drop closes idle connections to endpoints that keep does not want.
func (po *Pool) Drop(keep func(Target) bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	for target, pl := range po.places {
		if keep(target) {
			continue
		}
		for _, cn := range pl.idle {
			discard(cn)
			pl.open--
		}
		pl.idle = nil
		if pl.open == 0 {
			delete(po.places, target)
		}
	}
}

func (po *Pool) take(ctx context.Context, target Target, limit int) (*conn, error) {
	po.mu.Lock()
	pl := po.places[target]
	if pl == nil {
		pl = &place{}
		po.places[target] = pl
	}
	now := po.opts.Clock.Now()
	for len(pl.idle) > 0 {
		cn := pl.idle[len(pl.idle)-1]
		pl.idle = pl.idle[:len(pl.idle)-1]
		if now.Sub(cn.since) < cn.idleLimit && isQuiet(cn.Conn) {
			po.mu.Unlock()
			_ = cn.SetDeadline(time.Time{})
			return cn, nil
		}
		discard(cn)
		pl.open--
	}
	if limit > 0 && pl.open >= limit {
		po.mu.Unlock()
		return nil, &NotSentError{target: target, cause: &fullError{limit: limit}}
	}
	pl.open++
	po.mu.Unlock()
	nd := net.Dialer{Timeout: po.opts.DialLimit, KeepAlive: -1, Control: setUserTimeout}
	raw, err := nd.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		po.mu.Lock()
		pl.open--
		po.mu.Unlock()
		return nil, &NotSentError{target: target, cause: err}
	}
	if po.opts.Opened != nil {
		po.opts.Opened()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readerBytes)}, nil
}

// discard closes a connection that is not used any more; what was to be learned of it is known.
func discard(nc net.Conn) { _ = nc.Close() }

func (po *Pool) put(target Target, cn *conn, keep bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	pl := po.places[target]
	if keep && cn.idleLimit > 0 && pl != nil {
		cn.since = po.opts.Clock.Now()
		pl.idle = append(pl.idle, cn)
		return
	}
	discard(cn)
	if pl != nil {
		pl.open--
	}
}

// isQuiet reports whether an idle connection is open and has nothing to read. Bytes that wait there
// belong to no request, and an end means that the endpoint has closed it.
func isQuiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleLimit returns how long a connection may stay idle after an answer with header hd.
func idleLimit(hd http.Header) time.Duration {
	for _, part := range strings.Split(hd.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return min(time.Duration(s)*time.Second-idleMargin, idleMost)
		}
	}
	return idleMost
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	// 18 is TCP_USER_TIMEOUT, which package syscall does not name.
	const tcpUserTimeout = 18
	return rc.Control(func(fd uintptr) {
		// Without the option a silent peer is noticed by the deadline of the request only.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(defaultUnacknowledged.Milliseconds()))
	})
}
