package attempt

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

const (
	errNoStartCodec    = startError("nothing translates the question which start of the endpoint answers")
	errNoStart         = startError("the endpoint does not say which start it is")
	errStartAnswerSize = startError("the answer which start it is exceeds the size limit")
)

type (
	// startError reports why it is not known which start of an endpoint answers.
	startError string

	// unverifiedError reports that an endpoint did not say which start of it answers.
	unverifiedError struct{ cause error }

	// NotSentError reports that no byte of the request has left this host, so it has not run.
	NotSentError struct {
		target Target
		cause  error
	}

	// connectionLimitError reports that this host may open no further connection to the endpoint.
	connectionLimitError struct{ limit int }

	// OtherStartError reports that another start of the endpoint answers than the target names, or another endpoint.
	OtherStartError struct{}

	// HeaderSizeError reports a response whose header exceeds the limit, in bytes.
	HeaderSizeError struct{ limit int }

	// HeaderLinesError reports a response whose header exceeds the limit, in lines.
	HeaderLinesError struct{ limit int }

	// BrokenError reports a request that may have run: bytes may have left this host, and no complete
	// response arrived.
	BrokenError struct {
		target Target
		cause  error
	}
)

// Error returns the cause.
func (e *unverifiedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unverifiedError) Unwrap() error { return e.cause }

// Error returns the message.
func (e startError) Error() string { return string(e) }

// Error returns a message with the limit.
func (e *connectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections that this host may open to the endpoint are in use", e.limit)
}

// Error returns the message.
func (e *OtherStartError) Error() string { return "another start of the endpoint answers" }

// Error returns a message with the limit.
func (e *HeaderSizeError) Error() string {
	return fmt.Sprintf("the response header exceeds %d bytes", e.limit)
}

// Error returns a message with the limit.
func (e *HeaderLinesError) Error() string {
	return fmt.Sprintf("the response header exceeds %d lines", e.limit)
}

// Error returns a message with the endpoint and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("attempt: request not sent to endpoint %s at %s: %v", e.target.ID, e.target.Address, e.cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// IsUnverified reports whether the endpoint accepted a connection, but did not say which start of it does.
func (e *NotSentError) IsUnverified() bool {
	var ue *unverifiedError
	return errors.As(e.cause, &ue)
}

// IsConnectionLimit reports whether the connection limit was reached, which says nothing about the
// endpoint's health.
func (e *NotSentError) IsConnectionLimit() bool {
	var limitErr *connectionLimitError
	return errors.As(e.cause, &limitErr)
}

// Error returns a message with the endpoint and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("attempt: exchange with endpoint %s at %s failed: %v", e.target.ID, e.target.Address, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// IsUnacknowledged reports whether sent bytes stayed unacknowledged until the timeout, so that the endpoint
// counts as unreachable.
func (e *BrokenError) IsUnacknowledged() bool { return errors.Is(e.cause, syscall.ETIMEDOUT) }
