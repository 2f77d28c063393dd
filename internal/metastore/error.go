package metastore

import (
	"fmt"

	"github.com/pkg/errors"
)

type (
	// UnavailableError reports a call that the store refused or did not answer in a usable way.
	UnavailableError struct {
		operation string
		uncertain bool
		cause     error
	}

	// ConflictError reports a transaction with a condition that did not hold. Nothing was written.
	ConflictError struct {
		// current holds the current items of the keys with conditions.
		current []Item
	}

	// CompactedError reports that the store no longer has the history after the requested revision.
	CompactedError struct{}

	// RestoredError reports that the store has been restored from a copy, so that revisions of the era before say nothing
	// about its state.
	RestoredError struct{ era uint64 }

	// LeaseEndedError reports a lease that no longer exists.
	LeaseEndedError struct{}
)

// IsCompacted reports whether err, or what it wraps, is a *CompactedError.
func IsCompacted(err error) bool {
	var ce *CompactedError
	return errors.As(err, &ce)
}

// IsRestored reports whether err, or what it wraps, is a *RestoredError.
func IsRestored(err error) bool {
	var re *RestoredError
	return errors.As(err, &re)
}

// NewRestoredError returns the error of a call that names a revision of an era before the given one.
func NewRestoredError(era uint64) *RestoredError { return &RestoredError{era: era} }

// Error returns a message with the era.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("metastore: store was restored from a copy, era %d has begun", e.era)
}

// IsLeaseEnded reports whether err, or what it wraps, is a *LeaseEndedError.
func IsLeaseEnded(err error) bool {
	var le *LeaseEndedError
	return errors.As(err, &le)
}

// Error returns a fixed message.
func (*CompactedError) Error() string { return "metastore: history after the revision was compacted" }

// Error returns a fixed message.
func (*LeaseEndedError) Error() string { return "metastore: lease has ended" }

// NewUnavailableError returns the error of a failed operation. Uncertain means that the call may have
// taken effect, or may do so later.
func NewUnavailableError(operation string, uncertain bool, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, uncertain: uncertain, cause: cause}
}

// Error returns a message with the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("metastore: %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// IsUncertain reports whether the failed call may have taken effect, or may do so later.
func (e *UnavailableError) IsUncertain() bool { return e.uncertain }

// NewConflictError returns the error of a transaction. Current holds the current items of the keys with
// conditions.
func NewConflictError(current []Item) *ConflictError { return &ConflictError{current: current} }

// Error returns a message with the number of keys with conditions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("metastore: condition on one of %d keys does not hold", len(e.current))
}

// Current returns the current items of the keys with conditions. The caller must not modify them.
func (e *ConflictError) Current() []Item { return e.current }
