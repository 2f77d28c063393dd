package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Server serves the calls of other hosts. Register all methods before Serve.
type Server struct {
	handlers  map[string]Handler
	tlsConfig *tls.Config
	meter     Meter

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server. A nil TLS configuration means plain TCP; a nil meter counts nothing.
func NewServer(conf *tls.Config, meter Meter) *Server {
	return &Server{
		handlers:  make(map[string]Handler),
		tlsConfig: conf,
		meter:     meter,
		conns:     make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Register sets the handler of a method. It must not be called after Serve.
func (sv *Server) Register(method string, h Handler) {
	sv.handlers[method] = h
}

// Serve accepts connections until the listener is closed, and then returns nil.
func (sv *Server) Serve(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		sv.accept(ctx, conn)
	}
}

// Close closes all connections.
func (sv *Server) Close() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for jc := range sv.conns {
		_ = jc.Close()
	}
}

func (sv *Server) accept(ctx context.Context, conn net.Conn) {
	conn = WithMeter(conn, sv.meter)
	if sv.tlsConfig != nil {
		conn = tls.Server(conn, sv.tlsConfig)
	}
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(sv.handle))
	jc := jsonrpc2.NewConn(ctx, newStream(conn), handler, discardLog())
	sv.mu.Lock()
	sv.conns[jc] = struct{}{}
	sv.mu.Unlock()
	go func() {
		<-jc.DisconnectNotify()
		sv.mu.Lock()
		delete(sv.conns, jc)
		sv.mu.Unlock()
	}()
}

func (sv *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := sv.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	out, err := h(ctx, params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
	return out, nil
}
