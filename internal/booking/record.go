// Package booking implements the log of calls that run at most once.
//
// Bookings are partitioned into ranges. Each range is a log in the platform's key-value service: a head
// to which records are appended by compare-and-swap, and full segments that never change. A record is
// valid only after its compare-and-swap has succeeded, regardless of the host that writes it. Therefore
// two hosts that both consider themselves the owner of a range cannot both record an intent for the
// same booking.
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
	// State is the state of a booking. The zero value is Absent.
	State int

	// Record is an entry of the log. The latest record of a booking is the valid one.
	Record struct {
		// BookingID identifies the booking, see NewID.
		BookingID string `json:"id"`
		// AttemptID identifies the attempt that the record belongs to.
		AttemptID string `json:"intent"`
		// RequestHash is the hash of the call's method, path and body.
		RequestHash string `json:"body"`
		State       State  `json:"state"`
		// AtMs is the time at which the record was submitted, in Unix milliseconds.
		AtMs int64 `json:"at-ms"`
		// Response is the response of the service if State is Done and the response fits into the log.
		Response *service.Response `json:"answer,omitempty"`
		// ResponseKey is the key of the entry that holds a response too large for the log.
		ResponseKey string `json:"answer-key,omitempty"`
	}

	// Attempt identifies one attempt to run a call at most once.
	Attempt struct {
		// BookingID identifies the booking, see NewID.
		BookingID string `json:"id"`
		// AttemptID identifies this attempt; no other attempt has the same value.
		AttemptID string `json:"intent"`
		// RequestHash is the hash of the call's method, path and body.
		RequestHash string `json:"body"`
	}

	// Verdict tells the caller of Begin what to do. The zero value is invalid.
	Verdict int

	// Decision is the result of Begin.
	Decision struct {
		Verdict Verdict `json:"verdict"`
		// Response is the recorded response if Verdict is Replay. It is nil if the response is stored
		// outside the log; see Ledger.LoadResponse.
		Response *service.Response `json:"answer,omitempty"`
	}

	// segment is a section of a log: the head or a full segment. The key of a full segment contains the
	// revision of the head from which it was copied, so its content never changes.
	segment struct {
		// Previous is the key of the preceding segment, empty for the first one.
		Previous string   `json:"previous,omitempty"`
		Records  []Record `json:"records"`
	}

	// EntryError reports an entry of the key-value service that cannot be encoded or decoded.
	EntryError struct {
		key   string
		cause error
	}

	// SettleError reports a booking that cannot be settled in its current state or at its current age.
	SettleError struct {
		state State
		age   time.Duration
	}
)

const (
	// Absent means that there is no record.
	Absent State = iota
	// Intended means that the call may have been dispatched and that no outcome is recorded.
	Intended
	// Done means that the response of the call is recorded.
	Done
	// Released means that the call was certainly not dispatched. The key may be used again.
	Released
	// SettledRan means that an operator declared that the call ran. It never runs again.
	SettledRan
)

const (
	// Proceed means that the intent is durable and that the caller must dispatch the call now, once.
	Proceed Verdict = iota + 1
	// Replay means that the call already ran and that its response is recorded.
	Replay
	// Pending means that the intent of another attempt is recorded, whose outcome is unknown or still to
	// come.
	Pending
	// Conflict means that the key was already used for a different call.
	Conflict
	// SettledByOperator means that an operator declared that the call ran; its response is unknown.
	SettledByOperator
)

// hashDigits is the number of hexadecimal digits to which hashes are truncated.
const hashDigits = 32

// String returns the name of the state, in kebab case.
func (s State) String() string {
	return [...]string{"absent", "intended", "done", "released", "settled-ran"}[min(max(s, 0), SettledRan)]
}

// NewID returns the identifier of the booking for a team's idempotency key. The same key of two teams
// gives two identifiers.
func NewID(team, key string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d\x00%s\x00%s", len(team), team, key)))
	return hex.EncodeToString(sum[:])[:hashDigits]
}

// HashRequest returns a hash of the method, path and body of a call. Two calls with the same key are equal
// if their hashes are.
func HashRequest(rq service.Request) string {
	h := sha256.New()
	h.Write([]byte(rq.Method + "\x00" + rq.Path + "\x00"))
	h.Write(rq.Body)
	return hex.EncodeToString(h.Sum(nil))[:hashDigits]
}

// Error returns a message with the key of the entry and the cause.
func (e *EntryError) Error() string {
	return fmt.Sprintf("booking: cannot read %q: %v", e.key, e.cause)
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.cause }

// Error returns a message with the reason why the booking cannot be settled.
func (e *SettleError) Error() string {
	return fmt.Sprintf("booking: state is %v for %v; only an intended one older than %v can be settled",
		e.state, e.age.Round(time.Second), minSettleAge)
}

// decide returns the decision on att if rec is the latest record of its booking. The zero Decision means
// that a new intent may be recorded.
func (rec Record) decide(att Attempt) Decision {
	switch {
	case rec.State == Absent || rec.State == Released:
		return Decision{}
	case rec.RequestHash != att.RequestHash:
		return Decision{Verdict: Conflict}
	case rec.State == Done:
		return Decision{Verdict: Replay, Response: rec.Response}
	case rec.State == SettledRan:
		return Decision{Verdict: SettledByOperator}
	case rec.AttemptID == att.AttemptID:
		return Decision{Verdict: Proceed}
	default:
		return Decision{Verdict: Pending}
	}
}

// mayBeStale reports whether the decision could be another one after a record that this host has not read
// yet.
func (d Decision) mayBeStale() bool {
	return d.Verdict == Pending || d.Verdict == Conflict
}

// parseSegment decodes the segment stored at key; empty data is an empty segment.
func parseSegment(key string, data []byte) (segment, error) {
	var sg segment
	if len(data) == 0 {
		return sg, nil
	}
	if err := json.Unmarshal(data, &sg); err != nil {
		return sg, &EntryError{key: key, cause: err}
	}
	return sg, nil
}
