package attempt

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// idleTimeoutMargin is how long before the endpoint's own idle timeout a connection ceases to be reused.
	idleTimeoutMargin = time.Second
	// maxIdleTime bounds the idle time of a connection, also if the endpoint announces no timeout.
	maxIdleTime     = 4 * time.Second
	readBufferBytes = 8 << 10
)

// conn is a connection with its read buffer; requests is the number of requests sent on it.
type conn struct {
	net.Conn
	source      *headerLimitReader
	reader      *bufio.Reader
	idleTimeout time.Duration
	idleSince   time.Time
	requests    int
	// openedAt and openedTime are the moment and the time at which the connection was open. isTrusted is set if its start was trusted then, and isVerified if
	// the start has answered on it.
	openedAt              moment
	openedTime            time.Time
	isTrusted, isVerified bool
}

func newConn(raw net.Conn) *conn {
	source := &headerLimitReader{reader: raw}
	return &conn{Conn: raw, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// closeConn closes a connection that is no longer used. The error is of no use: any fault of the
// connection has been reported by then.
func closeConn(nc net.Conn) { _ = nc.Close() }

// checkIdle reports whether an idle connection is open and has no unread bytes, which belong to no request, and whether the
// endpoint has closed it.
func checkIdle(nc net.Conn) (isUsable, isClosed bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, true
	}
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isUsable = errors.Is(rerr, syscall.EAGAIN)
		isClosed = !isUsable && n <= 0
		return true
	})
	return err == nil && isUsable, err != nil || isClosed
}

// isReset reports whether a connection of which the end has been read was reset. The kernel reports a reset to
// only one call: if a concurrent write has received the error, reads return io.EOF.
func isReset(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		// A connection that the peer has closed still has a peer; one that was reset has none.
		_, perr := syscall.Getpeername(int(fd))
		reset = errors.Is(perr, syscall.ENOTCONN)
	})
	return err != nil || reset
}

// idleTimeout returns how long a connection may stay idle after a response with header hd.
func idleTimeout(hd http.Header) time.Duration {
	for _, param := range strings.Split(hd.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return min(time.Duration(seconds)*time.Second-idleTimeoutMargin, maxIdleTime)
		}
	}
	return maxIdleTime
}
