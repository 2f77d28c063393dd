package gateway

import "io"

// replay keeps what is read of a body, up to and including the error that ends it, until rewind. Then it returns all of it again,
// and the rest of the body after it.
type replay struct {
	source    io.Reader
	kept      []byte
	err       error
	isRewound bool
}

// Read reads from the body, or again what has been read.
func (re *replay) Read(p []byte) (int, error) {
	switch {
	case !re.isRewound:
		n, err := re.source.Read(p)
		re.kept, re.err = append(re.kept, p[:n]...), err
		return n, err
	case len(re.kept) > 0:
		n := copy(p, re.kept)
		if re.kept = re.kept[n:]; len(re.kept) == 0 {
			// The array would live as long as the response.
			re.kept = nil
		}
		return n, nil
	case re.err != nil:
		return 0, re.err
	}
	return re.source.Read(p)
}

// rewind makes Read begin again.
func (re *replay) rewind() { re.isRewound = true }
