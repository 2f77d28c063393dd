// Package booking keeps the log of work that runs at most once.
//
// Keys are spread over ranges. Each range is a log in the platform's key-value service: a head
// that takes new records by compare-and-swap, and full segments that never change. Whichever
// host writes, a record counts only once its compare-and-swap has succeeded, so two hosts that
// both believe to own a range cannot both record an intent for one key.
package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/bergamotway/bergamotway/internal/service"
)

type (
	// State is the state of a booking. The zero value is a key without a record.
	State int

	// Record is one line of the log. The last line for a key counts.
	Record struct {
		ID     string          `json:"id"`
		Intent string          `json:"intent"`
		Body   string          `json:"body"`
		State  State           `json:"state"`
		AtMs   int64           `json:"at-ms"`
		Answer *service.Answer `json:"answer,omitempty"`
		// AnswerKey names the entry that holds an answer too large for the log.
		AnswerKey string `json:"answer-key,omitempty"`
	}

	// Request asks to run a call at most once.
	Request struct {
		// ID names team and key, see NewID.
		ID string `json:"id"`
		// Intent is unique to this attempt.
		Intent string `json:"intent"`
		// Body is the hash of the call, see HashBody.
		Body string `json:"body"`
	}

	// Verdict says what the caller of Begin must do. The zero value is invalid.
	Verdict int

	// Decision is the answer to a Request.
	Decision struct {
		Verdict Verdict `json:"verdict"`
		// Answer is the known answer, for Replay.
		Answer *service.Answer `json:"answer,omitempty"`
	}

	// segment is a stretch of a log. Previous names the one before it, empty for the first. A cut
	// segment is named by the revision of the head that it was cut from, so its content is fixed.
	segment struct {
		Previous string   `json:"previous,omitempty"`
		Records  []Record `json:"records"`
	}

	// LogError reports a log entry that cannot be read.
	LogError struct {
		key   string
		cause error
	}

	// SettleError reports a booking that cannot be settled by hand.
	SettleError struct {
		state State
		age   time.Duration
	}
)

const (
	// Absent is a key without a record.
	Absent State = iota
	// Intended is a call that may have been dispatched and whose outcome is not recorded.
	Intended
	// Done is a call whose answer is recorded.
	Done
	// Released is a call that surely was not dispatched. The key may run again.
	Released
	// SettledRan is a call of which an operator says that it ran. It never runs again.
	SettledRan
)

const (
	// Proceed means that the intent is durable and the call must be dispatched now, once.
	Proceed Verdict = iota + 1
	// Replay means that the call ran before and its answer is known.
	Replay
	// Pending means that an attempt is recorded whose outcome is not known, or not yet.
	Pending
	// Conflict means that the key was used before with another body.
	Conflict
	// SettledByOperator means that an operator said that the call ran; its answer is not known.
	SettledByOperator
)

const idDigits = 32

// String returns the name of the state, in kebab case.
func (s State) String() string {
	return [...]string{"absent", "intended", "done", "released", "settled-ran"}[min(max(s, 0), SettledRan)]
}

// NewID returns the name of a team's key. Equal keys of two teams have different names.
func NewID(team, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d\x00%s\x00%s", len(team), team, key)))
	return hex.EncodeToString(sum[:])[:idDigits]
}

// HashBody returns the hash by which two calls under one key are compared.
func HashBody(ca service.Call) string {
	h := sha256.New()
	h.Write([]byte(ca.Method + "\x00" + ca.Path + "\x00"))
	h.Write(ca.Body)
	return hex.EncodeToString(h.Sum(nil))[:idDigits]
}

// Error names the entry and the cause.
func (e *LogError) Error() string {
	return fmt.Sprintf("booking: cannot read %q: %v", e.key, e.cause)
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.cause }

// Error says why the booking cannot be settled.
func (e *SettleError) Error() string {
	return fmt.Sprintf("booking: state is %v for %v; only an intended one older than %v can be settled",
		e.state, e.age.Round(time.Second), settleAge)
}

func (rec Record) decide(req Request) Decision {
	switch {
	case rec.State == Absent || rec.State == Released:
		return Decision{}
	case rec.Body != req.Body:
		return Decision{Verdict: Conflict}
	case rec.State == Done:
		return Decision{Verdict: Replay, Answer: rec.Answer}
	case rec.State == SettledRan:
		return Decision{Verdict: SettledByOperator}
	case rec.Intent == req.Intent:
		return Decision{Verdict: Proceed}
	default:
		return Decision{Verdict: Pending}
	}
}

// isOutdatable reports whether a later record may have changed the decision.
func (d Decision) isOutdatable() bool {
	return d.Verdict == Pending || d.Verdict == Conflict
}

func parseSegment(key string, data []byte) (segment, error) {
	var sg segment
	if len(data) == 0 {
		return sg, nil
	}
	if err := json.Unmarshal(data, &sg); err != nil {
		return sg, &LogError{key: key, cause: err}
	}
	return sg, nil
}
