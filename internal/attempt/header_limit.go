package attempt

import "io"

// headerLimitReader bounds the bytes that are read while a response header is parsed. Bodies are not bounded.
type headerLimitReader struct {
	reader    io.Reader
	limited   bool
	remaining int
}

// Read reads at most the remaining bytes. It fails with a *HeaderSizeError if none remain.
func (hl *headerLimitReader) Read(p []byte) (int, error) {
	if !hl.limited {
		return hl.reader.Read(p)
	}
	if hl.remaining <= 0 {
		return 0, &HeaderSizeError{limit: maxHeaderBytes}
	}
	n, err := hl.reader.Read(p[:min(len(p), hl.remaining)])
	hl.remaining -= n
	return n, err
}

// limit bounds further reads to n bytes together.
func (hl *headerLimitReader) limit(n int) { hl.limited, hl.remaining = true, n }

// unlimit removes the bound.
func (hl *headerLimitReader) unlimit() { hl.limited = false }
