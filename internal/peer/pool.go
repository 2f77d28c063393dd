package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout = time.Second

	dialTimeout = 500 * time.Millisecond
)

type (
	// Pool holds one connection to each called host. A connection on which a call gets no response
	// is closed, and the next call opens a new one. It is safe for concurrent use.
	Pool struct {
		tlsConfig *tls.Config
		meter     Meter
		dialFunc  DialFunc

		mu    sync.Mutex
		conns map[string]*pooledConn
	}

	// DialFunc opens a connection to an address.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)

	pooledConn struct {
		mu   sync.Mutex
		conn *jsonrpc2.Conn
	}

	ignoringHandler struct{}
)

// NewPool returns an empty pool over TCP. A nil TLS configuration means plain TCP.
func NewPool(conf *tls.Config, meter Meter) *Pool {
	nd := net.Dialer{Timeout: dialTimeout}
	return NewPoolWithDialFunc(func(ctx context.Context, address string) (net.Conn, error) {
		return nd.DialContext(ctx, "tcp", address)
	}, conf, meter)
}

// NewPoolWithDialFunc returns an empty pool that opens its connections with dialFunc.
func NewPoolWithDialFunc(dialFunc DialFunc, conf *tls.Config, meter Meter) *Pool {
	return &Pool{dialFunc: dialFunc, tlsConfig: conf, meter: meter, conns: make(map[string]*pooledConn)}
}

// Call calls a method of the host at address. It returns an *UnreachableError if the host did not
// respond and a *RemoteError if it responded with an error.
func (po *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	jc, err := po.connect(ctx, address)
	if err != nil {
		return NewUnreachableError(address, err)
	}
	err = jc.Call(ctx, method, params, result)
	var re *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &re):
		return &RemoteError{method: method, message: re.Message}
	default:
		po.discard(address, jc)
		return NewUnreachableError(address, err)
	}
}

// Notify calls a method of the host at address without waiting for a response. It returns an
// *UnreachableError if the call could not be sent.
func (po *Pool) Notify(ctx context.Context, address, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	jc, err := po.connect(ctx, address)
	if err != nil {
		return NewUnreachableError(address, err)
	}
	if err = jc.Notify(ctx, method, params); err != nil {
		po.discard(address, jc)
		return NewUnreachableError(address, err)
	}
	return nil
}

// HostCount returns the number of hosts in the pool. It includes hosts whose connection has closed
// or could not be opened.
func (po *Pool) HostCount() int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return len(po.conns)
}

// CloseExcept closes the connections to the addresses for which keep returns false.
func (po *Pool) CloseExcept(keep func(address string) bool) {
	po.mu.Lock()
	var closing []*pooledConn
	for address, pc := range po.conns {
		if !keep(address) {
			closing = append(closing, pc)
			delete(po.conns, address)
		}
	}
	po.mu.Unlock()
	for _, pc := range closing {
		pc.close()
	}
}

// Close closes all connections.
func (po *Pool) Close() {
	po.CloseExcept(func(string) bool { return false })
}

func (po *Pool) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	po.mu.Lock()
	pc := po.conns[address]
	if pc == nil {
		pc = &pooledConn{}
		po.conns[address] = pc
	}
	po.mu.Unlock()
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.isOpen() {
		return pc.conn, nil
	}
	conn, err := po.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	pc.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(conn), ignoringHandler{}, discardLog())
	return pc.conn, nil
}

func (po *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := po.dialFunc(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = WithMeter(conn, po.meter)
	if po.tlsConfig == nil {
		return conn, nil
	}
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	conf := po.tlsConfig.Clone()
	conf.ServerName = name
	tc := tls.Client(conn, conf)
	if err = tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tc, nil
}

// discard closes a connection. If it is still the one in the pool, the next call opens a new one.
func (po *Pool) discard(address string, jc *jsonrpc2.Conn) {
	po.mu.Lock()
	pc := po.conns[address]
	po.mu.Unlock()
	_ = jc.Close()
	if pc == nil {
		return
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn == jc {
		pc.conn = nil
	}
}

func (pc *pooledConn) isOpen() bool {
	if pc.conn == nil {
		return false
	}
	select {
	case <-pc.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (pc *pooledConn) close() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil {
		_ = pc.conn.Close()
	}
}

// Handle ignores requests from the server: only the dialing side sends calls.
func (ignoringHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
