package gateway

import "context"

const (
	// resetOnClose and endOnClose are arguments of SetLinger.
	resetOnClose = 0
	endOnClose   = -1
)

// lingerer is a connection of which can be set how it ends when it is closed.
type lingerer interface {
	SetLinger(seconds int) error
}

// setClientLinger sets how the connection to a client that uses HTTP/1.0 ends if it is closed, be it by the kernel because this
// process is killed. Such a client takes the end of the connection for the end of the response, but not a reset.
func (fw *forwarder) setClientLinger(ctx context.Context, seconds int) {
	if !fw.resetOnAbort {
		return
	}
	if nc, ok := ctx.Value(clientConnKey{}).(lingerer); ok {
		// It fails only for a connection that is closed already.
		_ = nc.SetLinger(seconds)
	}
}
