package gateway

import (
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

const (
	// unreadTimeout bounds a write to a client that does not read.
	unreadTimeout = 5 * time.Second
	// slowWriteTime is the time from which a write to the client may be why an endpoint broke its response off.
	slowWriteTime = time.Second
	// copyBufferBytes is what is read of a long response before it is written: the client has unreadTimeout for it.
	copyBufferBytes = 16 << 10
)

// clientWriter writes parts of a response to the client, each within unreadTimeout.
type clientWriter struct {
	fw *forwarder
	// held is the number of bytes that the host holds of the response.
	held int
}

// Write implements io.Writer. Pieces let a client go on that reads slowly.
func (cw clientWriter) Write(data []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(data, copyBufferBytes) {
		n, err := cw.fw.bounded(cw.held, func() (int, error) { return cw.fw.w.Write(piece) })
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeToClient writes all of data to the client, while the host holds so many bytes of the response.
func (fw *forwarder) writeToClient(data []byte, held int) error {
	if len(data) > copyBufferBytes {
		if _, err := (clientWriter{fw: fw, held: held}).Write(data); err != nil {
			return err
		}
		data = nil
	}
	_, err := fw.bounded(held, func() (int, error) {
		if _, err := fw.w.Write(data); err != nil {
			return 0, err
		}
		return 0, http.NewResponseController(fw.w).Flush()
	})
	return err
}

// bounded calls write, which fails if the client does not read for unreadTimeout, or if others need the room.
func (fw *forwarder) bounded(held int, write func() (int, error)) (int, error) {
	fw.gw.setWriteDeadline(fw.w)
	fw.unread.BeginWrite(int64(held + len(fw.rq.Body)))
	n, err := write()
	fw.unread.EndWrite()
	if err == nil && fw.unread.IsCut() {
		// The client has read after all.
		fw.gw.setWriteDeadline(fw.w)
	}
	return n, err
}

// setWriteDeadline bounds the next writes to a client that does not read. Without support for write deadlines that of the request
// applies.
func (gw *Gateway) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(gw.opts.Clock.Now().Add(unreadTimeout))
}

// recordUnwritten records the end of a response that could not be written to the client.
func (fw *forwarder) recordUnwritten(rs *attempt.Response, err error) {
	outcome, cause := fw.unwritten(err)
	fw.recordEnd(outcome, rs.Status, cause)
}

// unwritten returns the outcome and the cause for a response whose write failed with err.
func (fw *forwarder) unwritten(err error) (outcome string, cause error) {
	switch {
	case fw.unread.IsCut():
		return "client-slow", errors.Wrap(err, "cut as others need the memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "client-slow", err
	default:
		return "client-left", err
	}
}

// releaseBody gives up the body of a request that is not sent again, if it is not small.
func (fw *forwarder) releaseBody() {
	if len(fw.rq.Body) <= initialBodyBytes {
		return
	}
	// The fingerprint contains the body.
	fw.fingerprint()
	fw.rq.Body = nil
	fw.body.release()
}
