// Package history names the pieces of KV cache that a prompt is made of.
//
// A name is a hash chain over team, model, adapter, weight version and all text up to the end
// of the piece. Equal text of two teams, or of two weight versions, therefore has different names.
package history

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// PieceTokens is the length of a full piece, in tokens.
	PieceTokens = 4000
	// BytesPerToken is the estimate used before an engine reports its own count, in bytes.
	BytesPerToken = 4

	pieceBytes = PieceTokens * BytesPerToken
	nameBytes  = 16
)

type (
	// Name identifies a piece. Its zero value names nothing.
	Name [nameBytes]byte

	// Scope bounds who may share a piece. All fields are part of each name.
	Scope struct {
		Team    string
		Model   string
		Adapter string
		Version string
	}
)

// String returns the name in hexadecimal digits.
func (n Name) String() string {
	return hex.EncodeToString(n[:])
}

// Tokens returns the estimated number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Salt returns the name of the empty history. It tells an engine which runs may share its prefix
// cache without telling it the team.
func (sc Scope) Salt() Name { return sc.root() }

// ParseName reads a name from its hexadecimal digits; ok is false for anything else.
func ParseName(text string) (n Name, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != nameBytes {
		return Name{}, false
	}
	copy(n[:], data)
	return n, true
}

// Names returns the names of the full pieces of text, first piece first. The tail that does not
// fill a piece has no name.
func Names(sc Scope, text string) []Name {
	return NamesFrom(sc.Salt(), text)
}

// NamesFrom is Names for a scope of which only the salt is known.
func NamesFrom(salt Name, text string) []Name {
	out := make([]Name, 0, len(text)/pieceBytes)
	prev := salt
	for len(text) >= pieceBytes {
		prev = chain(prev, text[:pieceBytes])
		out = append(out, prev)
		text = text[pieceBytes:]
	}
	return out
}

// Root returns the name of the empty history of the scope and the first bytes of text. All
// returns of one history have the same root, also those shorter than a piece.
func Root(sc Scope, text string) Name {
	if len(text) > pieceBytes {
		text = text[:pieceBytes]
	}
	if names := Names(sc, text); len(names) > 0 {
		return names[0]
	}
	return chain(sc.root(), text)
}

func (sc Scope) root() Name {
	h := sha256.New()
	for _, part := range []string{sc.Team, sc.Model, sc.Adapter, sc.Version} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	var n Name
	copy(n[:], h.Sum(nil))
	return n
}

func chain(prev Name, text string) Name {
	h := sha256.New()
	h.Write(prev[:])
	h.Write([]byte(text))
	var n Name
	copy(n[:], h.Sum(nil))
	return n
}
