package control

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

type (
	// pipeNetwork connects the hosts of one process by pipes, because 320 hosts need more TCP connections
	// than one process may open.
	pipeNetwork struct {
		mu        sync.Mutex
		listeners map[string]*pipeListener
	}

	// pipeListener accepts connections to an address of a pipeNetwork.
	pipeListener struct {
		network   *pipeNetwork
		address   pipeAddress
		conns     chan net.Conn
		closed    chan struct{}
		closeOnce sync.Once
	}

	pipeAddress string
)

// Network returns the name of the network type.
func (pipeAddress) Network() string { return "pipe" }

// String returns the address.
func (pa pipeAddress) String() string { return string(pa) }

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[string]*pipeListener)}
}

// listen registers a listener for an address.
func (pn *pipeNetwork) listen(address string) net.Listener {
	pl := &pipeListener{network: pn, address: pipeAddress(address), conns: make(chan net.Conn), closed: make(chan struct{})}
	pn.mu.Lock()
	defer pn.mu.Unlock()
	pn.listeners[address] = pl
	return pl
}

// dial connects to the listener of an address once it accepts.
func (pn *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	pn.mu.Lock()
	pl := pn.listeners[address]
	pn.mu.Unlock()
	if pl == nil {
		return nil, errors.Wrap(net.ErrClosed, address)
	}
	local, remote := net.Pipe()
	select {
	case pl.conns <- remote:
		return local, nil
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

// Close unblocks Accept and makes further dials fail.
func (pl *pipeListener) Close() error {
	pl.closeOnce.Do(func() { close(pl.closed) })
	return nil
}

// Addr returns the address.
func (pl *pipeListener) Addr() net.Addr { return pl.address }
