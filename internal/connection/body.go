package connection

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// defaultBodyMemoryBytes bounds the bodies that are held whole at the same time. They are decoded afterwards, which takes
	// about as much again.
	defaultBodyMemoryBytes = 16 << 20
	// bodyGrowthBytes is the part of a body for which memory is reserved at a time.
	bodyGrowthBytes = 32 << 10
)

type (
	// SizeError reports a body of more than the limit, in bytes.
	SizeError struct{ limit int }

	// MemoryError reports a body that does not fit into the memory shared by all bodies.
	MemoryError struct{ limit int64 }

	// bodyMemory counts the bytes that bodies hold together.
	bodyMemory struct {
		limit int64
		used  atomic.Int64
	}
)

// Error returns a message with the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("connection: body of more than %d bytes", e.limit)
}

// Error returns a message with the limit.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("connection: bodies already use the %d bytes that they may hold together", e.limit)
}

// reserve takes n bytes, unless they exceed the limit.
func (bm *bodyMemory) reserve(n int64) error {
	if bm.used.Add(n) > bm.limit {
		bm.used.Add(-n)
		return &MemoryError{limit: bm.limit}
	}
	return nil
}

// ReadAll reads the rest of the response body. It fails with a *BrokenError if the body breaks off, has more than limit bytes, or
// does not fit into the memory that all bodies of the dialer share while they are read.
func (ex *Exchange) ReadAll(limit int) ([]byte, error) {
	var (
		pieces   [][]byte
		total    int
		reserved int64
	)
	defer func() { ex.memory.used.Add(-reserved) }()
	for {
		if err := ex.memory.reserve(bodyGrowthBytes); err != nil {
			return nil, ex.brokenError(err)
		}
		reserved += bodyGrowthBytes
		// A buffer that doubles would hold several times as much while it is copied.
		piece := make([]byte, bodyGrowthBytes)
		n, err := io.ReadFull(ex, piece)
		pieces = append(pieces, piece[:n])
		total += n
		switch {
		case total > limit:
			return nil, ex.brokenError(&SizeError{limit: limit})
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && !isBroken(err):
			return bytes.Join(pieces, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// isBroken reports whether an error says that the exchange broke, and not only that a buffer was not filled.
func isBroken(err error) bool {
	var be *BrokenError
	return errors.As(err, &be)
}

func (ex *Exchange) brokenError(cause error) error {
	return newBrokenErrorFrom(ex.conn.RemoteAddr().String(), cause)
}
