// Package refusal defines the errors that a caller can receive.
//
// Each refusal has a stable code and tells whether the request may have run.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

type (
	// Code identifies the reason for a refusal. The zero value is Internal.
	Code int

	// ExecutionState tells whether a refused request may have run. The zero value is NotRun.
	ExecutionState int

	// Error is a refusal as the caller sees it. The zero value is an internal error of a request that has
	// not run.
	Error struct {
		code       Code
		execution  ExecutionState
		message    string
		retryAfter time.Duration
	}

	// codeInfo holds the stable name and the HTTP status of a code.
	codeInfo struct {
		name   string
		status int
	}
)

const (
	// NotRun means that no byte of the request has been sent to an endpoint.
	NotRun ExecutionState = iota
	// MayHaveRun means that at least one byte of the request may have been sent to an endpoint.
	MayHaveRun
)

// The reasons for refusals.
const (
	// Internal is an unexpected error in the system itself.
	Internal Code = iota
	// InvalidRequest is a request that cannot be parsed or has a field of the wrong type.
	InvalidRequest
	// Unauthenticated is a request without a known bearer token.
	Unauthenticated
	// UnknownClass is a model name that belongs to no configured class.
	UnknownClass
	// NotFound is a path, key or stream that does not exist for the team.
	NotFound
	// BodyTooLarge is a body above the configured limit.
	BodyTooLarge
	// HistoryTooLong is a conversation history that exceeds the context window of the model.
	HistoryTooLong
	// TeamLimit is a team that has reached its share of a queue or of the concurrent requests.
	TeamLimit
	// QueueFull is a class whose queue has reached its limit.
	QueueFull
	// QueueDeadline is a request that waited in the queue longer than its class allows.
	QueueDeadline
	// NoEndpoint is a model without an endpoint that accepts new requests.
	NoEndpoint
	// NotReady is a host without an active configuration.
	NotReady
	// Leaving is a host that is shutting down.
	Leaving
	// KeyMissing is a call that is not idempotent and carries no idempotency key.
	KeyMissing
	// KeyConflict is an idempotency key that was used before with a different body.
	KeyConflict
	// OutcomeUnknown is a call that may have run but whose outcome is unknown.
	OutcomeUnknown
	// LedgerUnavailable is a call whose intent record cannot be written durably.
	LedgerUnavailable
	// Quarantined is a request that was running when two endpoints crashed.
	Quarantined
	// EndpointFailed is a run that failed at the endpoint before the response began.
	EndpointFailed
	// StreamBroken is a response that broke off after it began and could not be resumed.
	StreamBroken
	// RetryBudget is a request whose class has used up its retry budget.
	RetryBudget
	// ServiceFailed is a plain service that responded with an error of its own.
	ServiceFailed

	codeCount
)

var codeInfos = [codeCount]codeInfo{
	Internal:          {"internal", http.StatusInternalServerError},
	InvalidRequest:    {"invalid-request", http.StatusBadRequest},
	Unauthenticated:   {"unauthenticated", http.StatusUnauthorized},
	UnknownClass:      {"unknown-class", http.StatusNotFound},
	NotFound:          {"not-found", http.StatusNotFound},
	BodyTooLarge:      {"body-too-large", http.StatusRequestEntityTooLarge},
	HistoryTooLong:    {"history-too-long", http.StatusBadRequest},
	TeamLimit:         {"team-limit", http.StatusTooManyRequests},
	QueueFull:         {"queue-full", http.StatusTooManyRequests},
	QueueDeadline:     {"queue-deadline", http.StatusTooManyRequests},
	NoEndpoint:        {"no-endpoint", http.StatusServiceUnavailable},
	NotReady:          {"not-ready", http.StatusServiceUnavailable},
	Leaving:           {"leaving", http.StatusServiceUnavailable},
	KeyMissing:        {"key-missing", http.StatusBadRequest},
	KeyConflict:       {"key-conflict", http.StatusUnprocessableEntity},
	OutcomeUnknown:    {"outcome-unknown", http.StatusConflict},
	LedgerUnavailable: {"ledger-unavailable", http.StatusServiceUnavailable},
	Quarantined:       {"quarantined", http.StatusUnprocessableEntity},
	EndpointFailed:    {"endpoint-failed", http.StatusBadGateway},
	StreamBroken:      {"stream-broken", http.StatusBadGateway},
	RetryBudget:       {"retry-budget", http.StatusServiceUnavailable},
	ServiceFailed:     {"service-failed", http.StatusBadGateway},
}

// String returns the stable name of the code in kebab case. A code out of range counts as Internal.
func (c Code) String() string {
	if c < 0 || c >= codeCount {
		return codeInfos[Internal].name
	}
	return codeInfos[c].name
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if c < 0 || c >= codeCount {
		return http.StatusInternalServerError
	}
	return codeInfos[c].status
}

// ParseCode returns the code with the given name; ok is false for an unknown name.
func ParseCode(name string) (code Code, ok bool) {
	for i, ci := range codeInfos {
		if ci.name == name {
			return Code(i), true
		}
	}
	return Internal, false
}

// String returns "not-run" or "may-have-run".
func (es ExecutionState) String() string {
	if es == MayHaveRun {
		return "may-have-run"
	}
	return "not-run"
}

// New returns a refusal of a request that has not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...)}
}

// NewMayHaveRun returns a refusal of a request that may have run.
func NewMayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{code: code, execution: MayHaveRun, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the refusal that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	cp := *e
	cp.retryAfter = d
	return &cp
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return "refusal: " + e.code.String() + ": " + e.message
}

// Code returns the reason for the refusal.
func (e *Error) Code() Code { return e.code }

// Execution tells whether the request may have run.
func (e *Error) Execution() ExecutionState { return e.execution }

// Message returns the message for the caller.
func (e *Error) Message() string { return e.message }

// RetryAfter returns the time after which the caller should retry; zero means no advice.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// FromError returns the refusal that err wraps. Any other error becomes an internal error with the given
// execution state, which must not claim more than the caller knows.
func FromError(err error, execution ExecutionState) *Error {
	var re *Error
	if errors.As(err, &re) {
		return re
	}
	return &Error{code: Internal, execution: execution, message: err.Error()}
}
