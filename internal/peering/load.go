package peering

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Key is the hash of an endpoint's identifier. Digests contain keys instead of identifiers, which
	// makes them a quarter as long. If two endpoints have the same key, each is assumed to have the
	// load of both.
	Key uint32

	// Load is the load of one or several hosts at one endpoint.
	Load struct {
		Endpoint Key
		Requests int
		// Tokens is the memory that the requests occupy, in tokens.
		Tokens int
		// PrefillTokens is the number of prompt tokens that have yet to be processed.
		PrefillTokens int
	}

	// Loads is a list of loads with a compact text encoding of a few bytes each.
	Loads []Load

	// LoadsError reports a text that is not a valid encoding of Loads.
	LoadsError struct {
		// offset is the position after base64 decoding; it is 0 if the text is not valid base64.
		offset int
		cause  error
	}

	// truncatedError reports data that ends within an element.
	truncatedError struct{ element string }
)

const (
	// keyBytes is the length of an encoded key before base64.
	keyBytes = 4
	// minLoadBytes is the least length of an encoded load.
	minLoadBytes = keyBytes + 3
	// maxTypicalLoadBytes is the length that most encoded loads do not exceed.
	maxTypicalLoadBytes = keyBytes + 8
)

// KeyOf returns the key of an endpoint's identifier or a cache store's address.
func KeyOf(id string) Key { return Key(rendezvous.Hash(id)) }

// Error returns a message with the offset of the invalid element and the cause.
func (e *LoadsError) Error() string {
	return errors.Wrapf(e.cause, "peering: invalid loads at byte %d", e.offset).Error()
}

// Error returns a message with the incomplete element.
func (e *truncatedError) Error() string { return "text ends within " + e.element }

// Unwrap returns the cause.
func (e *LoadsError) Unwrap() error { return e.cause }

// MarshalText encodes the loads. Negative numbers are encoded as zero.
func (ls Loads) MarshalText() ([]byte, error) {
	raw := ls.appendBinary(make([]byte, 0, len(ls)*maxTypicalLoadBytes))
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// appendBinary appends the binary encoding to out.
func (ls Loads) appendBinary(out []byte) []byte {
	for _, ld := range ls {
		out = binary.LittleEndian.AppendUint32(out, uint32(ld.Endpoint))
		for _, n := range [...]int{ld.Requests, ld.Tokens, ld.PrefillTokens} {
			out = binary.AppendUvarint(out, uint64(max(0, n)))
		}
	}
	return out
}

// UnmarshalText decodes the output of MarshalText. It fails with a *LoadsError.
func (ls *Loads) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return &LoadsError{cause: err}
	}
	return ls.decodeBinary(raw)
}

// decodeBinary decodes the output of appendBinary. It fails with a *LoadsError.
func (ls *Loads) decodeBinary(raw []byte) error {
	if len(raw) == 0 {
		*ls = nil
		return nil
	}
	out := make(Loads, 0, len(raw)/minLoadBytes)
	for offset := 0; offset < len(raw); {
		if len(raw)-offset < keyBytes {
			return &LoadsError{offset: offset, cause: &truncatedError{"a key"}}
		}
		ld := Load{Endpoint: Key(binary.LittleEndian.Uint32(raw[offset:]))}
		offset += keyBytes
		for _, n := range [...]*int{&ld.Requests, &ld.Tokens, &ld.PrefillTokens} {
			v, size := binary.Uvarint(raw[offset:])
			if size <= 0 || v > 1<<40 {
				return &LoadsError{offset: offset, cause: &truncatedError{"a number, or the number exceeds 2^40"}}
			}
			*n = int(v)
			offset += size
		}
		out = append(out, ld)
	}
	*ls = out
	return nil
}
