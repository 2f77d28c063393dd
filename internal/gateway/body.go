package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// bodyFirst is the first buffer of a body of unknown length, in bytes; it doubles as the body grows.
	bodyFirst = 8 << 10
	// bodySmall is up to which length a body may take its time: it costs little, and most arrive whole.
	bodySmall = 64 << 10
	// bodyTime bounds sending a larger body for clients that do not say how long they wait.
	bodyTime = 30 * time.Second
)

type (
	// CrowdedError reports a body for which there is no memory beside the bodies of other requests.
	CrowdedError struct{ held, most int64 }

	// bodies counts the bytes of the bodies that are held. Zero most means no bound.
	bodies struct {
		most int64
		held atomic.Int64
	}

	// body is the body of one request.
	body struct {
		of   *bodies
		size int64
		data []byte
	}
)

// Error says how much is held.
func (e *CrowdedError) Error() string {
	return fmt.Sprintf("gateway: bodies of %d bytes are held, of at most %d", e.held, e.most)
}

// grow makes room for n bytes in all. It fails with a *CrowdedError.
func (bo *body) grow(n int64) error {
	held := bo.of.held.Add(n - bo.size)
	if bo.of.most > 0 && held > bo.of.most {
		bo.of.held.Add(bo.size - n)
		return &CrowdedError{held: held - (n - bo.size), most: bo.of.most}
	}
	data := make([]byte, len(bo.data), n)
	copy(data, bo.data)
	bo.data, bo.size = data, n
	return nil
}

// release gives the room back.
func (bo *body) release() {
	bo.of.held.Add(-bo.size)
	bo.size, bo.data = 0, nil
}

// read reads up to the end of r; length is what the client has announced, negative if nothing. Room is
// taken as the body arrives, so that a client that only announces much takes none.
func (bo *body) read(r io.Reader, length int64) error {
	next := int64(bodyFirst)
	if length >= 0 && length < next {
		// One byte more than the body shows its end without growing.
		next = length + 1
	}
	for {
		if len(bo.data) == cap(bo.data) {
			if err := bo.grow(next); err != nil {
				return err
			}
			next = 2 * bo.size
			if length >= 0 && length+1 > bo.size {
				next = min(next, length+1)
			}
		}
		n, err := r.Read(bo.data[len(bo.data):cap(bo.data)])
		bo.data = bo.data[:len(bo.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBody reads the body of a request. Large bodies must arrive while the client waits.
func (gw *Gateway) readBody(w http.ResponseWriter, hr *http.Request, rq *Request, limit int64) (*body, error) {
	bo := &body{of: &gw.bodies}
	if hr.ContentLength > bodySmall || hr.ContentLength < 0 {
		within := rq.Limit
		if within == 0 {
			within = bodyTime
		}
		rc := http.NewResponseController(w)
		// A connection without deadlines is bounded by the client's patience only.
		_ = rc.SetReadDeadline(rq.arrived.Add(within))
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	err := bo.read(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength)
	return bo, err
}
