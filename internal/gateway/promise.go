package gateway

import (
	"net/http"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

// promisesNotRun reports whether a status tells clients that their request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// withholdPromise ends an attempt whose response promises that the request has not run, although nothing states it.
func (fw *forwarder) withholdPromise(status int) (nextStep, fleet.Outcome, error) {
	step, _, err := fw.retryOrGiveUp(&StatusError{status: status})
	return step, fleet.Neutral, err
}
