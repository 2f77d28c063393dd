package metastore

import (
	"fmt"

	"github.com/pkg/errors"
)

type (
	// UnavailableError reports a call without a usable answer.
	UnavailableError struct {
		operation string
		uncertain bool
		cause     error
	}

	// ConflictError reports a transaction whose conditions did not hold. Nothing was written.
	ConflictError struct {
		current []Item
	}

	// CompactedError reports that the history after a revision is no longer kept.
	CompactedError struct{}

	// LeaseEndedError reports a lease that does not exist any more.
	LeaseEndedError struct{}
)

// IsCompacted reports whether err, or what it wraps, is a *CompactedError.
func IsCompacted(err error) bool {
	var ce *CompactedError
	return errors.As(err, &ce)
}

// IsLeaseEnded reports whether err, or what it wraps, is a *LeaseEndedError.
func IsLeaseEnded(err error) bool {
	var le *LeaseEndedError
	return errors.As(err, &le)
}

// Error says that the state must be read whole.
func (*CompactedError) Error() string { return "metastore: the history after this revision is gone" }

// Error says what the call met.
func (*LeaseEndedError) Error() string { return "metastore: the lease has ended" }

// NewUnavailableError returns the failure of an operation. Uncertain means that a write may have
// taken effect, or may do so later.
func NewUnavailableError(operation string, uncertain bool, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, uncertain: uncertain, cause: cause}
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("metastore: %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// IsUncertain reports whether the call may have taken effect, or may do so later.
func (e *UnavailableError) IsUncertain() bool { return e.uncertain }

// NewConflictError returns a conflict with the current items.
func NewConflictError(current []Item) *ConflictError { return &ConflictError{current: current} }

// Error counts the conditions that were looked at.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("metastore: a condition on one of %d keys does not hold", len(e.current))
}

// Current returns the items of the conditions as they are now. The caller must not change them.
func (e *ConflictError) Current() []Item { return e.current }
