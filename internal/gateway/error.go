package gateway

import "fmt"

type (
	// StatusError reports a response whose status ends the attempt.
	StatusError struct {
		status int
	}

	// RejectedError reports an endpoint that rejected the request without running it.
	RejectedError struct {
		endpoint string
	}

	// forwardError is a constant error that carries only a message.
	forwardError string
)

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("gateway: endpoint responded with status %d", e.status)
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error returns a message with the endpoint's ID.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("gateway: endpoint %s rejected the request without running it", e.endpoint)
}

// Error returns the message.
func (e forwardError) Error() string { return "gateway: " + string(e) }
