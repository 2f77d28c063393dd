package attempt

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// unacknowledgedTimeout bounds how long sent bytes may stay unacknowledged. It is long enough for two
	// consecutive lost packets.
	unacknowledgedTimeout = 900 * time.Millisecond
	// probeTimeout bounds the check whether an endpoint still listens. It is far above the round trip
	// between zones.
	probeTimeout = 100 * time.Millisecond
	// endpointBufferBytes bounds what the kernel holds of a response while its client does not read; it takes twice as much with its
	// own records.
	endpointBufferBytes = 128 << 10
)

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// RefusesConnections reports whether the target refuses connections because nothing listens there any more.
// The check takes at most 100 ms; a target that does not respond in time counts as listening.
func (po *Pool) RefusesConnections(ctx context.Context, target Target) bool {
	return errors.Is(po.probe(ctx, target), syscall.ECONNREFUSED)
}

// Accepts reports whether the target accepts a connection within 100 ms.
func (po *Pool) Accepts(ctx context.Context, target Target) bool { return po.probe(ctx, target) == nil }

// probe opens a connection and closes it.
func (po *Pool) probe(ctx context.Context, target Target) error {
	raw, err := po.dial(ctx, target, min(probeTimeout, po.opts.DialTimeout))
	switch {
	case err == nil:
		closeConn(raw)
	case errors.Is(err, syscall.ECONNREFUSED):
		po.doubt(target)
	}
	return err
}

func (po *Pool) dial(ctx context.Context, target Target, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := po.opts.Dialer.DialContext(ctx, "tcp", target.Address)
	if rb, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok && err == nil {
		// Without it the kernel's own bound applies, which is some MiB.
		_ = rb.SetReadBuffer(endpointBufferBytes)
	}
	return nc, err
}

// setUserTimeout sets the timeout for unacknowledged bytes on a new socket.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	// The value of TCP_USER_TIMEOUT, which package syscall does not define.
	const tcpUserTimeout = 18
	return rc.Control(func(fd uintptr) {
		// Without the option only the deadline of the request detects a peer that stopped responding.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
}
