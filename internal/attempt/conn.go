package attempt

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
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
	// establishedAt is when the connection was open, and onClose is called when it is closed; nil for none.
	establishedAt time.Time
	onClose       func()
}

func newConn(raw net.Conn, memory *Memory) *conn {
	source := &headerLimitReader{reader: raw, holding: holding{memory: memory}}
	return &conn{Conn: raw, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// closeConn closes a connection that is no longer used. The error is of no use: any fault of the
// connection has been reported by then.
func closeConn(nc net.Conn) { _ = nc.Close() }

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
