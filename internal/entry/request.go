// Package entry is the path of a request through an entry host: a chain of filters that
// authenticate, classify, admit and deduplicate it before it is dispatched.
package entry

import (
	"context"
	"time"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/service"
)

type (
	// Request is one request of a caller. Filters fill in what they find out.
	Request struct {
		// ID goes through the whole path and back to the caller.
		ID string
		// Token is the bearer token. It is never logged.
		Token string
		// Call holds method, path, type, key and body as received.
		Call service.Call
		// Received is when the request arrived.
		Received time.Time

		// Snapshot is the configuration that all filters of this request use.
		Snapshot *configuration.Snapshot
		// Team is set by Authenticate.
		Team configuration.Team
		// Class and Model are set by Classify.
		Class configuration.Class
		Model configuration.Model
		// Messages, MaxTokens and IsStream are set by Parse.
		Messages  []engine.Message
		MaxTokens int
		IsStream  bool
		// Fingerprint is set by Quarantine.
		Fingerprint quarantine.Fingerprint
		// Service is set by Find.
		Service configuration.Service
	}

	// Reply is the answer to a request. Exactly one of Answer and Service is set. Close must be
	// called when the caller has it.
	Reply struct {
		Answer  *dispatch.Answer
		Service *service.Answer
		// IsReplay reports that a service's answer is that of an earlier call under the same key.
		IsReplay bool

		closers []func()
	}

	// Handler serves a request. A failure is a *refusal.Error.
	Handler func(ctx context.Context, rq *Request) (Reply, error)

	// Filter wraps a handler.
	Filter func(next Handler) Handler
)

// Chain returns the handler that passes through the filters in order before last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Close gives back what the reply holds. Closing twice is allowed.
func (rp *Reply) Close() {
	if rp.Answer != nil {
		rp.Answer.Close()
	}
	for _, f := range rp.closers {
		f()
	}
	rp.closers = nil
}

func (rp *Reply) onClose(f func()) {
	rp.closers = append(rp.closers, f)
}
