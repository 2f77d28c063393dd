package control

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

type (
	// network connects hosts of one process by pipes, because 320 hosts need more TCP connections
	// than one process may open.
	network struct {
		mu        sync.Mutex
		listeners map[string]*pipeListener
	}

	pipeListener struct {
		nw      *network
		address pipeAddress
		conns   chan net.Conn
		closed  chan struct{}
		once    sync.Once
	}

	pipeAddress string
)

// Network returns the name of the network.
func (pipeAddress) Network() string { return "pipe" }

// String returns the address.
func (pa pipeAddress) String() string { return string(pa) }

func newNetwork() *network {
	return &network{listeners: make(map[string]*pipeListener)}
}

func (nw *network) listen(address string) net.Listener {
	pl := &pipeListener{nw: nw, address: pipeAddress(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.listeners[address] = pl
	return pl
}

func (nw *network) dial(ctx context.Context, address string) (net.Conn, error) {
	nw.mu.Lock()
	pl := nw.listeners[address]
	nw.mu.Unlock()
	if pl == nil {
		return nil, errors.Wrap(net.ErrClosed, address)
	}
	own, other := net.Pipe()
	select {
	case pl.conns <- other:
		return own, nil
	case <-pl.closed:
		return nil, errors.Wrap(net.ErrClosed, address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for a connection.
func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pl.conns:
		return conn, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and refuses further connections.
func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.closed) })
	return nil
}

// Addr returns the address.
func (pl *pipeListener) Addr() net.Addr { return pl.address }
