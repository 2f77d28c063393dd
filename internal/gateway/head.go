package gateway

import (
	"io"

	"github.com/pkg/errors"
)

// initialHeadBytes is the initial size of the buffer for the beginning of a body, which doubles as the body arrives.
const initialHeadBytes = 2 << 10

// readHead reads the first maxBufferedResponseBytes of a body, or the whole body if it is shorter. Hold is told how many bytes
// it holds. Length is the announced length of the body, negative if there is none.
func readHead(r io.Reader, length int64, hold func(n int) error) ([]byte, error) {
	head := make([]byte, 0, initialHeadBytes)
	for len(head) < maxBufferedResponseBytes {
		if len(head) == cap(head) {
			size := min(2*cap(head), maxBufferedResponseBytes)
			if length >= int64(cap(head)) && length < int64(size) {
				// The extra byte lets the read reach the end without growing the buffer.
				size = int(length) + 1
			}
			if err := hold(size); err != nil {
				return nil, err
			}
			head = append(make([]byte, 0, size), head...)
		}
		n, err := r.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if errors.Is(err, io.EOF) {
			return head, nil
		}
		if err != nil {
			return head, err
		}
	}
	return head, nil
}
