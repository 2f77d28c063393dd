package peering

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// Key stands for an endpoint in digests, which so stay a quarter as long as with identifiers. If
	// two endpoints share a key, each is taken to have the load of both.
	Key uint32

	// Load is the load of one host, or of several, at one endpoint.
	Load struct {
		Endpoint Key
		Requests int
		Tokens   int
		Unread   int
	}

	// Loads are loads that travel as a text of a few bytes each.
	Loads []Load

	// LoadsError reports a text that no host has written.
	LoadsError struct {
		at    int
		cause error
	}

	// cutError says what a text ends within.
	cutError struct{ what string }
)

// keyBytes is the length of a key in the text's bytes.
const keyBytes = 4

// KeyOf returns the key of an endpoint's identifier.
func KeyOf(id string) Key { return Key(rendezvous.Hash(id)) }

// Error says where the text ends to make sense.
func (e *LoadsError) Error() string {
	return errors.Wrapf(e.cause, "peering: loads at byte %d", e.at).Error()
}

// Error says what is not whole.
func (e *cutError) Error() string { return "the text ends within " + e.what }

// Unwrap returns the cause.
func (e *LoadsError) Unwrap() error { return e.cause }

// MarshalText writes the loads; negative numbers count as zero.
func (ls Loads) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(ls)*12)
	for _, ld := range ls {
		raw = binary.LittleEndian.AppendUint32(raw, uint32(ld.Endpoint))
		for _, n := range []int{ld.Requests, ld.Tokens, ld.Unread} {
			raw = binary.AppendUvarint(raw, uint64(max(0, n)))
		}
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText reads what MarshalText has written. It fails with a *LoadsError.
func (ls *Loads) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return &LoadsError{cause: err}
	}
	var out Loads
	for at := 0; at < len(raw); {
		if len(raw)-at < keyBytes {
			return &LoadsError{at: at, cause: &cutError{"a key"}}
		}
		ld := Load{Endpoint: Key(binary.LittleEndian.Uint32(raw[at:]))}
		at += keyBytes
		for _, n := range []*int{&ld.Requests, &ld.Tokens, &ld.Unread} {
			v, size := binary.Uvarint(raw[at:])
			if size <= 0 || v > 1<<40 {
				return &LoadsError{at: at, cause: &cutError{"a number, or the number is too large"}}
			}
			*n = int(v)
			at += size
		}
		out = append(out, ld)
	}
	*ls = out
	return nil
}
