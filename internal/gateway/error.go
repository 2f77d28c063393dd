package gateway

import "fmt"

type (
	// StatusError reports an answer with a status that ends the attempt.
	StatusError struct {
		status int
	}

	// RejectedError reports an endpoint that did not run the request, and will not.
	RejectedError struct {
		endpoint string
	}

	// failure is a reason without further content.
	failure string
)

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("gateway: status %d", e.status) }

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error names the endpoint.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("gateway: %s did not run the request", e.endpoint)
}

// Error returns the reason.
func (e failure) Error() string { return "gateway: " + string(e) }
