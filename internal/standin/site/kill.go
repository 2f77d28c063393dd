package site

import (
	"net"
	"sync"
)

type (
	// trackedListener remembers the connections that it has accepted and that are open.
	trackedListener struct {
		net.Listener

		mu   sync.Mutex
		open map[net.Conn]bool
	}

	// trackedConn is a connection of a trackedListener.
	trackedConn struct {
		*net.TCPConn
		listener *trackedListener
	}
)

// Accept waits for the next connection.
func (tl *trackedListener) Accept() (net.Conn, error) {
	nc, err := tl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	tc := &trackedConn{TCPConn: tcp, listener: tl}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	if tl.open == nil {
		tl.open = make(map[net.Conn]bool)
	}
	tl.open[tc] = true
	return tc, nil
}

// Close closes the connection.
func (tc *trackedConn) Close() error {
	tc.listener.mu.Lock()
	delete(tc.listener.open, tc)
	tc.listener.mu.Unlock()
	return tc.TCPConn.Close()
}

// closeConns closes all connections in order, without a reset.
func (tl *trackedListener) closeConns() {
	tl.mu.Lock()
	open := tl.open
	tl.open = nil
	tl.mu.Unlock()
	for nc := range open {
		// An error means that the connection is closed already.
		_ = nc.Close()
	}
}

// Kill stops the endpoint as a kernel ends a process that is killed: the listener and all connections are closed in order, also
// those of unfinished responses.
func (ep *Endpoint) Kill() {
	ep.mu.Lock()
	tl := ep.tracked
	ep.mu.Unlock()
	_ = tl.Close()
	tl.closeConns()
	ep.Close()
}
