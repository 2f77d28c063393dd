package keyvalue

import "fmt"

type (
	// ConflictError reports a compare-and-swap that lost: the key has another revision.
	ConflictError struct {
		current Entry
	}

	// UnavailableError reports a service that did not answer. A write may have taken effect.
	UnavailableError struct {
		operation string
		cause     error
	}

	// SizeError reports a value above ValueLimit. Nothing was written.
	SizeError struct {
		key  string
		size int
	}

	statusError int
)

// NewConflictError returns a conflict with the current entry.
func NewConflictError(current Entry) *ConflictError {
	return &ConflictError{current: current}
}

// Error names the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("keyvalue: key %q is at revision %d", e.current.key, e.current.revision)
}

// Current returns the entry that won.
func (e *ConflictError) Current() Entry { return e.current }

// NewUnavailableError returns the failure of an operation with its cause.
func NewUnavailableError(operation string, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, cause: cause}
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("keyvalue: %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// NewSizeError returns the refusal of a value with size bytes.
func NewSizeError(key string, size int) *SizeError {
	return &SizeError{key: key, size: size}
}

// Error names the key and its size.
func (e *SizeError) Error() string {
	return fmt.Sprintf("keyvalue: value of key %q has %d bytes, above %d", e.key, e.size, ValueLimit)
}

func (e statusError) Error() string {
	return fmt.Sprintf("keyvalue: unexpected status %d", int(e))
}
