package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// initialBodyBytes is the first buffer of a body of unknown length; it doubles as the body grows.
	initialBodyBytes = 8 << 10
	// smallBodyBytes is the largest announced body without a read deadline: it takes little memory, and
	// most arrive in one piece.
	smallBodyBytes = 64 << 10
	// defaultBodyTimeout bounds reading a larger body from a client that announces no timeout.
	defaultBodyTimeout = 30 * time.Second
)

type (
	// BodyMemoryError reports a body that does not fit into the memory shared by all request bodies.
	BodyMemoryError struct{ held, limit int64 }

	// bodyBudget counts the bytes reserved for request bodies. A zero limit means no bound.
	bodyBudget struct {
		limit int64
		held  atomic.Int64
	}

	// body is the body of one request, with its share of the budget.
	body struct {
		budget   *bodyBudget
		reserved int64
		data     []byte
	}
)

// Error returns the reserved bytes and the limit.
func (e *BodyMemoryError) Error() string {
	return fmt.Sprintf("gateway: request bodies already use %d of %d bytes", e.held, e.limit)
}

// grow enlarges the buffer to n bytes in total. It fails with a *BodyMemoryError if the budget is used up.
func (bo *body) grow(n int64) error {
	held := bo.budget.held.Add(n - bo.reserved)
	if bo.budget.limit > 0 && held > bo.budget.limit {
		bo.budget.held.Add(bo.reserved - n)
		return &BodyMemoryError{held: held - (n - bo.reserved), limit: bo.budget.limit}
	}
	data := make([]byte, len(bo.data), n)
	copy(data, bo.data)
	bo.data, bo.reserved = data, n
	return nil
}

// release frees the buffer and returns its bytes to the budget.
func (bo *body) release() {
	bo.budget.held.Add(-bo.reserved)
	bo.reserved, bo.data = 0, nil
}

// read reads r to its end. The length that the client announced is contentLength, negative if it
// announced none. Memory is reserved as the body arrives, so that announcing a large body reserves none.
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

// readBody reads the body of a request. A large body must arrive before the timeout of the request.
func (gw *Gateway) readBody(w http.ResponseWriter, hr *http.Request, rq *Request, limit int64) (*body, error) {
	bo := &body{budget: &gw.bodyBudget}
	if hr.ContentLength > smallBodyBytes || hr.ContentLength < 0 {
		timeout := rq.Timeout
		if timeout == 0 {
			timeout = defaultBodyTimeout
		}
		rc := http.NewResponseController(w)
		// Without support for deadlines only the client ends the read.
		_ = rc.SetReadDeadline(rq.arrived.Add(timeout))
		defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	}
	err := bo.read(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength)
	return bo, err
}
