package attempt

import (
	"fmt"
	"sync/atomic"
)

const (
	// smallResponseBytes is what each response may hold without being counted: most responses hold less, and the buffers of
	// their connections take as much.
	smallResponseBytes = 4 << 10
	// largeResponseBytes is the size above which a response may not use the last quarter of the memory, which is kept for
	// ordinary ones.
	largeResponseBytes = 16 << 10
	// headerMemoryFactor is how many bytes a byte of a header takes: it is held as text and as a line that is being read.
	headerMemoryFactor = 2
)

type (
	// Memory counts the bytes that responses in flight hold together, beyond a few KiB of each. It is safe for concurrent use.
	// Nil means no bound.
	Memory struct {
		limit int64
		used  atomic.Int64
	}

	// MemoryError reports a response that does not fit into the memory shared by all responses.
	MemoryError struct{ limit int64 }

	// holding is what one response holds, of which reserved bytes are counted in the memory.
	holding struct {
		memory   *Memory
		header   int64
		body     int64
		reserved int64
	}
)

// NewMemory returns a memory of limit bytes, or nil if the limit is zero.
func NewMemory(limit int64) *Memory {
	if limit == 0 {
		return nil
	}
	return &Memory{limit: limit}
}

// Used returns the bytes in use.
func (me *Memory) Used() int64 { return me.used.Load() }

// Error returns a message with the limit.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("responses in flight already use the %d bytes that they may hold together", e.limit)
}

// update counts what the response holds by now. It fails with a *MemoryError, and counts nothing more, if that does not fit.
func (ho *holding) update() error {
	if ho.memory == nil {
		return nil
	}
	total := headerMemoryFactor*ho.header + ho.body
	wanted := max(0, total-smallResponseBytes)
	more := wanted - ho.reserved
	used := ho.memory.used.Add(more)
	limit := ho.memory.limit
	if total > largeResponseBytes {
		limit -= limit / 4
	}
	if more > 0 && used > limit {
		ho.memory.used.Add(-more)
		return &MemoryError{limit: ho.memory.limit}
	}
	ho.reserved = wanted
	return nil
}

// release returns all bytes to the memory.
func (ho *holding) release() {
	if ho.memory != nil {
		ho.memory.used.Add(-ho.reserved)
	}
	ho.header, ho.body, ho.reserved = 0, 0, 0
}

// Hold states that the caller holds n bytes of the body from now on. It fails with a *BrokenError if they do not fit into the
// memory that all responses share. Close releases them.
func (rs *Response) Hold(n int) error {
	ho := &rs.conn.source.holding
	ho.body = int64(n)
	if err := ho.update(); err != nil {
		return rs.BrokenError(err)
	}
	return nil
}
