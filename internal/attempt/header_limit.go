package attempt

import (
	"bytes"
	"io"
)

// maxHeaderLines bounds the lines of a response header together with the interim responses before it. Decoded, a line of
// a few bytes takes about a hundred.
const maxHeaderLines = 512

// headerLimitReader bounds the bytes and lines that are read while a response header is parsed. Bodies are not bounded.
type headerLimitReader struct {
	reader    io.Reader
	limited   bool
	remaining int
	lines     int
	// inHeader reports that the header has not ended, and lineEmpty that its last line has no bytes yet.
	inHeader  bool
	lineEmpty bool
	// holding is what the response in flight holds.
	holding holding
}

// Read reads at most the remaining bytes. It fails with a *HeaderSizeError if none remain, and with a *HeaderLinesError if
// they hold too many lines of a header, and with a *MemoryError if the header does not fit into the memory of all responses.
func (hl *headerLimitReader) Read(p []byte) (int, error) {
	if !hl.limited {
		return hl.reader.Read(p)
	}
	if hl.remaining <= 0 {
		return 0, &HeaderSizeError{limit: maxHeaderBytes}
	}
	n, err := hl.reader.Read(p[:min(len(p), hl.remaining)])
	hl.remaining -= n
	if lerr := hl.countLines(p[:n]); lerr != nil {
		return 0, lerr
	}
	hl.holding.header += int64(n)
	if merr := hl.holding.update(); merr != nil {
		return 0, merr
	}
	return n, err
}

// limit bounds further reads to n bytes and maxHeaderLines together.
func (hl *headerLimitReader) limit(n int) { hl.limited, hl.remaining, hl.lines = true, n, 0 }

// unlimit removes the bounds.
func (hl *headerLimitReader) unlimit() { hl.limited = false }

// beginHeader states that a header begins, of which some bytes have been read before.
func (hl *headerLimitReader) beginHeader(buffered []byte) error {
	hl.inHeader, hl.lineEmpty = true, false
	return hl.countLines(buffered)
}

// countLines counts the lines of p up to the empty line that ends the header.
func (hl *headerLimitReader) countLines(p []byte) error {
	for hl.inHeader && len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			hl.lineEmpty = hl.lineEmpty && len(p) == 1 && p[0] == '\r'
			return nil
		}
		hl.inHeader = !hl.lineEmpty || i > 1 || i == 1 && p[0] != '\r'
		hl.lineEmpty = true
		p = p[i+1:]
		if hl.lines++; hl.lines > maxHeaderLines {
			return &HeaderLinesError{limit: maxHeaderLines}
		}
	}
	return nil
}
