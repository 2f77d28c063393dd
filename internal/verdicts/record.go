package verdicts

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// Prefix is the prefix of the keys that hosts and operators use.
	Prefix = "bergamotway/quarantine/"

	// keyHexDigits is the length of the hash in the key of an item.
	keyHexDigits = 32
)

// record is the value of an item. Parts are percent-encoded, as identifiers may hold any bytes.
type record struct {
	Part        string   `json:"part"`
	Crashes     int      `json:"crashes"`
	Strikes     int      `json:"strikes"`
	LastCrashMs int64    `json:"last-crash-ms"`
	Reporters   []string `json:"reporters,omitempty"`
	Companions  []string `json:"companions,omitempty"`
	ByOperator  bool     `json:"by-operator,omitempty"`
}

// Key returns the key of the item of a part.
func Key(prefix, part string) string {
	sum := sha256.Sum256([]byte(part))
	return prefix + hex.EncodeToString(sum[:])[:keyHexDigits]
}

// Encode returns the value of the item of a verdict.
func Encode(ve quarantine.Verdict) ([]byte, error) {
	value, err := json.Marshal(record{
		Part: url.PathEscape(ve.Part), Crashes: ve.Crashes, Strikes: ve.Strikes, LastCrashMs: ve.LastCrash.UnixMilli(),
		Reporters: ve.Reporters, Companions: escapeParts(ve.Companions), ByOperator: ve.ByOperator,
	})
	return value, errors.Wrap(err, "verdicts: encode record")
}

// Decode returns the verdict in the value of an item. Wall clocks differ between hosts; a crash in the future
// counts as now.
func Decode(value []byte, now time.Time) (quarantine.Verdict, error) {
	var rec record
	if err := json.Unmarshal(value, &rec); err != nil {
		return quarantine.Verdict{}, errors.Wrap(err, "verdicts: decode record")
	}
	part, err := url.PathUnescape(rec.Part)
	if err != nil {
		return quarantine.Verdict{}, errors.Wrap(err, "verdicts: decode part")
	}
	var companions []string
	for _, text := range rec.Companions {
		companion, err := url.PathUnescape(text)
		if err != nil {
			return quarantine.Verdict{}, errors.Wrap(err, "verdicts: decode companion")
		}
		companions = append(companions, companion)
	}
	age := max(0, now.Sub(time.UnixMilli(rec.LastCrashMs)))
	return quarantine.Verdict{
		Part: part, Crashes: rec.Crashes, Strikes: max(1, rec.Strikes), LastCrash: now.Add(-age), Reporters: rec.Reporters,
		Companions: companions, ByOperator: rec.ByOperator,
	}, nil
}

func escapeParts(parts []string) []string {
	var out []string
	for _, part := range parts {
		out = append(out, url.PathEscape(part))
	}
	return out
}
