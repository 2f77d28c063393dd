// Package history names the pieces of KV cache that the history of a conversation consists of.
//
// A name is a hash chain over team, model, adapter, weight version and all text up to the end of the piece.
// Equal texts of two teams or of two weight versions therefore have different names.
package history

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// PieceTokens is the length of a full piece, in tokens.
	PieceTokens = 4000
	// BytesPerToken is the estimated length of a token in bytes, used until an engine reports its own count.
	BytesPerToken = 4

	pieceBytes = PieceTokens * BytesPerToken
	nameBytes  = 16
)

type (
	// Name identifies a piece. The zero value is not the name of any piece.
	Name [nameBytes]byte

	// Scope limits the sharing of pieces. All fields are part of each name.
	Scope struct {
		Team    string
		Model   string
		Adapter string
		Version string
	}
)

// String returns the name in hexadecimal.
func (n Name) String() string {
	return hex.EncodeToString(n[:])
}

// Tokens returns the estimated number of tokens in a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Salt returns the name of the empty history of the scope. It tells an engine which runs may share its
// prefix cache without revealing the team.
func (sc Scope) Salt() Name { return sc.rootName() }

// ParseName parses a name in hexadecimal; ok is false if the text is not a name.
func ParseName(text string) (n Name, ok bool) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != nameBytes {
		return Name{}, false
	}
	copy(n[:], data)
	return n, true
}

// Names returns the names of the full pieces of text in order. A tail shorter than a piece has no name.
func Names(sc Scope, text string) []Name {
	return NamesFrom(sc.Salt(), text)
}

// NamesFrom is like Names, for a scope of which only the salt is known.
func NamesFrom(salt Name, text string) []Name {
	out := make([]Name, 0, len(text)/pieceBytes)
	prev := salt
	for len(text) >= pieceBytes {
		prev = chainName(prev, text[:pieceBytes])
		out = append(out, prev)
		text = text[pieceBytes:]
	}
	return out
}

// Root returns a name for a whole history: the name of its first piece, or a hash of the whole text if it is
// shorter than a piece. Requests with the same text have the same root, and a history that fills a piece
// keeps its root as it grows.
func Root(sc Scope, text string) Name {
	if len(text) > pieceBytes {
		text = text[:pieceBytes]
	}
	if names := Names(sc, text); len(names) > 0 {
		return names[0]
	}
	return chainName(sc.rootName(), text)
}

// rootName returns the hash of the scope. Each field is preceded by its length, so that different scopes
// never hash the same bytes.
func (sc Scope) rootName() Name {
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

// chainName returns the name of the piece text that follows the piece prev.
func chainName(prev Name, text string) Name {
	h := sha256.New()
	h.Write(prev[:])
	h.Write([]byte(text))
	var n Name
	copy(n[:], h.Sum(nil))
	return n
}
