package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// initialBodyBytes is the initial size of a body's buffer, which doubles as the body grows. A body with a
	// shorter announced length gets a smaller one.
	initialBodyBytes = 8 << 10
	// smallBodyBytes is the largest announced length that is read without a deadline: such bodies take
	// little memory, and most arrive in one piece.
	smallBodyBytes = 64 << 10
	// defaultBodyTimeout bounds reading a larger body from a client that announces no timeout.
	defaultBodyTimeout = 30 * time.Second
)

type (
	// BodyMemoryError reports a body that does not fit into the memory shared by all request bodies.
	BodyMemoryError struct{ used, limit int64 }

	// bodyBudget counts the bytes that all request bodies reserve together. A zero limit means no bound.
	bodyBudget struct {
		limit int64
		used  atomic.Int64
	}

	// body is the body of one request; reserved is the part of the budget that it uses, in bytes.
	body struct {
		budget   *bodyBudget
		reserved int64
		data     []byte
	}
)

// Error returns a message with the used bytes and the limit.
func (e *BodyMemoryError) Error() string {
	return fmt.Sprintf("gateway: request bodies already use %d of %d bytes", e.used, e.limit)
}

// grow enlarges the buffer to n bytes in total. It fails with a *BodyMemoryError if that would exceed the
// budget.
func (bo *body) grow(n int64) error {
	used := bo.budget.used.Add(n - bo.reserved)
	limit := bo.budget.limit
	if n > initialBodyBytes {
		// The last quarter is kept for small ones.
		limit -= limit / 4
	}
	if limit > 0 && used > limit {
		bo.budget.used.Add(bo.reserved - n)
		return &BodyMemoryError{used: used - (n - bo.reserved), limit: limit}
	}
	data := make([]byte, len(bo.data), n)
	copy(data, bo.data)
	bo.data, bo.reserved = data, n
	return nil
}

// release frees the buffer and returns its bytes to the budget.
func (bo *body) release() {
	bo.budget.used.Add(-bo.reserved)
	bo.reserved, bo.data = 0, nil
}

// read reads r to its end. ContentLength is the length that the client announced, negative if it announced
// none. Memory is reserved as the body arrives, so that a client that only announces a large body reserves
// no more than initialBodyBytes.
func (bo *body) read(r io.Reader, contentLength int64) error {
	nextSize := int64(initialBodyBytes)
	if contentLength >= 0 && contentLength < nextSize {
		// The extra byte lets the read reach EOF without growing the buffer.
		nextSize = contentLength + 1
	}
	for {
		if len(bo.data) == cap(bo.data) {
			if err := bo.grow(nextSize); err != nil {
				return err
			}
			nextSize = 2 * bo.reserved
			if contentLength >= 0 && contentLength+1 > bo.reserved {
				nextSize = min(nextSize, contentLength+1)
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

// readBody reads the body of a request, at most limit bytes. A large body must arrive within the timeout of
// the request. The caller must release the returned body, also after an error.
func (gw *Gateway) readBody(w http.ResponseWriter, hr *http.Request, rq *Request, limit int64) (*body, error) {
	bo := &body{budget: &gw.bodyBudget}
	if hr.ContentLength > smallBodyBytes || hr.ContentLength < 0 {
		timeout := rq.Timeout
		if timeout == 0 {
			timeout = defaultBodyTimeout
		}
		rc := http.NewResponseController(w)
		// If the writer does not support deadlines, only the client can end the read.
		_ = rc.SetReadDeadline(rq.arrived.Add(timeout))
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	err := bo.read(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength)
	return bo, err
}
