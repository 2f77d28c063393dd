// Package refusal defines the typed failures that a caller can receive.
//
// Each refusal has a stable code and says whether the work may have run.
package refusal

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

type (
	// Code identifies the reason of a refusal. The zero value is Internal.
	Code int

	// Run says whether refused work may have run.
	Run int

	// Error is a refusal as a caller sees it. Its zero value is an internal error that did not run.
	Error struct {
		code       Code
		run        Run
		message    string
		retryAfter time.Duration
	}

	codeInfo struct {
		name   string
		status int
	}
)

const (
	// NotRun means that no byte of the work can have left for a back end.
	NotRun Run = iota
	// MayHaveRun means that at least one byte of the work may have left for a back end.
	MayHaveRun
)

// The codes, each with one reason.
const (
	// Internal is a fault of the system itself.
	Internal Code = iota
	// InvalidRequest is a request that cannot be read or has a field of the wrong type.
	InvalidRequest
	// Unauthenticated is a request without a known bearer token.
	Unauthenticated
	// UnknownClass is a model name that names no class of work.
	UnknownClass
	// NotFound is a path, key or stream that the team does not have.
	NotFound
	// BodyTooLarge is a body above the limit of the settings.
	BodyTooLarge
	// HistoryTooLong is a history beyond the window of the model.
	HistoryTooLong
	// TeamLimit is a team above its share of concurrent requests.
	TeamLimit
	// QueueFull is a class whose queue is at its limit.
	QueueFull
	// QueueDeadline is a request whose class deadline passed in the queue.
	QueueDeadline
	// NoEndpoint is a model without an endpoint that may take new work.
	NoEndpoint
	// NotReady is a host that lacks a configuration in force.
	NotReady
	// Leaving is a host that is shutting down.
	Leaving
	// KeyMissing is a call that may not be repeated and has no idempotency key.
	KeyMissing
	// KeyConflict is an idempotency key used before with another body.
	KeyConflict
	// OutcomeUnknown is a call that may have run and whose outcome is not known.
	OutcomeUnknown
	// LedgerUnavailable is a call refused because its intent cannot be made durable.
	LedgerUnavailable
	// Quarantined is a request that crashed two endpoints.
	Quarantined
	// EndpointFailed is a run that an endpoint ended before its answer began.
	EndpointFailed
	// StreamBroken is an answer cut after it began and that could not be resumed.
	StreamBroken
	// RetryBudget is a request whose class has no retries left.
	RetryBudget
	// ServiceFailed is a plain service that answered with a failure of its own.
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

// String returns the stable name of the code, in kebab case.
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

// Parse returns the code with the given name; ok is false for an unknown name.
func Parse(name string) (code Code, ok bool) {
	for i, ci := range codeInfos {
		if ci.name == name {
			return Code(i), true
		}
	}
	return Internal, false
}

// String returns "not-run" or "may-have-run".
func (r Run) String() string {
	if r == MayHaveRun {
		return "may-have-run"
	}
	return "not-run"
}

// New returns a refusal of work that surely did not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{code: code, message: fmt.Sprintf(format, args...)}
}

// NewMayHaveRun returns a refusal of work that may have run.
func NewMayHaveRun(code Code, format string, args ...any) *Error {
	return &Error{code: code, run: MayHaveRun, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the refusal that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	cp := *e
	cp.retryAfter = d
	return &cp
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return "refusal: " + e.code.String() + ": " + e.message
}

// Code returns the reason.
func (e *Error) Code() Code { return e.code }

// Run says whether the work may have run.
func (e *Error) Run() Run { return e.run }

// Message returns the sentence for the caller.
func (e *Error) Message() string { return e.message }

// RetryAfter returns how long the caller is asked to wait; zero means no advice.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// From returns the refusal inside err. An error of another type becomes an internal error
// with the given run state, so that it never claims more than is known.
func From(err error, run Run) *Error {
	var re *Error
	if errors.As(err, &re) {
		return re
	}
	return &Error{code: Internal, run: run, message: err.Error()}
}
