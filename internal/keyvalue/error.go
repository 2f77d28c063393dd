package keyvalue

import "fmt"

type (
	// ConflictError reports a failed compare-and-swap: the key does not have the expected revision.
	ConflictError struct {
		current Entry
	}

	// UnavailableError reports a call without a valid response. A write may have taken effect.
	UnavailableError struct {
		operation string
		cause     error
	}

	// SizeError reports a value larger than ValueLimit. Nothing was written.
	SizeError struct {
		key  string
		size int
	}

	statusError int
)

// NewConflictError returns a conflict error with the current entry of the key.
func NewConflictError(current Entry) *ConflictError {
	return &ConflictError{current: current}
}

// Error names the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("keyvalue: key %q is at revision %d", e.current.key, e.current.revision)
}

// Current returns the current entry of the key.
func (e *ConflictError) Current() Entry { return e.current }

// NewUnavailableError returns an error for an operation that failed with cause.
func NewUnavailableError(operation string, cause error) *UnavailableError {
	return &UnavailableError{operation: operation, cause: cause}
}

// Error names the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("keyvalue: %s: %v", e.operation, e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// NewSizeError returns an error for a value of size bytes.
func NewSizeError(key string, size int) *SizeError {
	return &SizeError{key: key, size: size}
}

// Error names the key, the size of the value and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("keyvalue: value of key %q has %d bytes, above %d", e.key, e.size, ValueLimit)
}

func (e statusError) Error() string {
	return fmt.Sprintf("keyvalue: unexpected status %d", int(e))
}
