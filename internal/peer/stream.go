package peer

import (
	"fmt"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes bounds a message of another host; the largest ones hold a configuration.
const maxMessageBytes = 4 << 20

type (
	// MessageSizeError reports a message of more than the limit, in bytes.
	MessageSizeError struct{ limit int }

	// limitedConn bounds the bytes that are read for one message.
	limitedConn struct {
		net.Conn
		remaining int
	}

	// objectStream reads messages of a bounded size. One goroutine at a time reads.
	objectStream struct {
		jsonrpc2.ObjectStream
		conn *limitedConn
	}
)

// Error returns a message with the limit.
func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("peer: message of more than %d bytes", e.limit)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	lc := &limitedConn{Conn: conn}
	return &objectStream{ObjectStream: jsonrpc2.NewPlainObjectStream(lc), conn: lc}
}

// ReadObject reads the next message. After a *MessageSizeError the connection is of no more use.
func (os *objectStream) ReadObject(v any) error {
	os.conn.remaining = maxMessageBytes
	return os.ObjectStream.ReadObject(v)
}

// Read reads at most the remaining bytes of a message. It fails with a *MessageSizeError if none remain.
func (lc *limitedConn) Read(p []byte) (int, error) {
	if lc.remaining <= 0 {
		return 0, &MessageSizeError{limit: maxMessageBytes}
	}
	n, err := lc.Conn.Read(p[:min(len(p), lc.remaining)])
	lc.remaining -= n
	return n, err
}
