package attempt

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

type (
	// NotSentError reports a request of which no byte has left this host.
	NotSentError struct {
		target Target
		cause  error
	}

	// fullError reports that as many connections are open as this host may have.
	fullError struct{ limit int }

	// BrokenError reports a request that may have run: bytes may have left, and no answer came.
	BrokenError struct {
		target Target
		cause  error
	}
)

// Error names the bound.
func (e *fullError) Error() string {
	return fmt.Sprintf("all %d connections that this host may open are in use", e.limit)
}

// Error names the endpoint and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("attempt: nothing was sent to %s at %s: %v", e.target.ID, e.target.Address, e.cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IsFull reports that the bound on connections was reached, which says nothing on the endpoint.
func (e *NotSentError) IsFull() bool {
	var fe *fullError
	return errors.As(e.cause, &fe)
}

// Error names the endpoint and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("attempt: the exchange with %s at %s broke: %v", e.target.ID, e.target.Address, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// IsSilent reports that the endpoint has acknowledged nothing for so long that it is taken as gone.
func (e *BrokenError) IsSilent() bool { return errors.Is(e.cause, syscall.ETIMEDOUT) }
