package peering

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

type (
	// FrameError reports a datagram that is no valid digest.
	FrameError struct{ cause error }

	// frameLengthError reports a header that is longer than its datagram.
	frameLengthError struct{ header, datagram int }
)

const (
	// frameMark is the first byte of a datagram with binary loads. A datagram without loads outside its header is
	// a JSON object and begins with a brace.
	frameMark = 0x01
	// messageMark is the first byte of a datagram that holds a message instead of a digest.
	messageMark = 0x02
)

// Error returns a message with the cause.
func (e *FrameError) Error() string { return fmt.Sprintf("peering: invalid digest: %v", e.cause) }

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.cause }

// Error returns a message with both lengths.
func (e *frameLengthError) Error() string {
	return fmt.Sprintf("header of %d bytes in a datagram of %d", e.header, e.datagram)
}

// EncodeDigest encodes a digest as a datagram: the mark, the length of the header, the header as JSON and the
// loads in binary. Nearly all of a digest are loads, which a host decodes a dozen times a second.
func EncodeDigest(dg Digest) ([]byte, error) {
	loads := dg.Loads
	dg.Loads = nil
	header, err := json.Marshal(dg)
	if err != nil {
		return nil, errors.Wrap(err, "peering: encode digest")
	}
	out := make([]byte, 0, len(header)+len(loads)*maxTypicalLoadBytes+8)
	out = append(out, frameMark)
	out = binary.AppendUvarint(out, uint64(len(header)))
	out = append(out, header...)
	return loads.appendBinary(out), nil
}

// DecodeDigest decodes a datagram. It also accepts a JSON object with the loads as text, the form that earlier
// versions send. It fails with a *FrameError.
func DecodeDigest(data []byte) (Digest, error) {
	var dg Digest
	if len(data) == 0 || data[0] != frameMark {
		if err := json.Unmarshal(data, &dg); err != nil {
			return Digest{}, &FrameError{cause: err}
		}
		return dg, nil
	}
	rest := data[1:]
	length, size := binary.Uvarint(rest)
	if size <= 0 || length > uint64(len(rest)-size) {
		return Digest{}, &FrameError{cause: &frameLengthError{header: int(min(length, 1<<31)), datagram: len(data)}}
	}
	rest = rest[size:]
	if err := json.Unmarshal(rest[:length], &dg); err != nil {
		return Digest{}, &FrameError{cause: err}
	}
	if err := dg.Loads.decodeBinary(rest[length:]); err != nil {
		return Digest{}, &FrameError{cause: err}
	}
	return dg, nil
}
