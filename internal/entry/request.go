// Package entry serves client requests over HTTP on an entry host. A chain of filters
// authenticates, classifies, admits and deduplicates each request before it is dispatched.
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
	// Request is one request of a client. Each filter sets the fields that it determines.
	Request struct {
		// ID identifies the request at every step and is returned to the client.
		ID string
		// Token is the bearer token. It is never logged.
		Token string
		// Call holds the method, path, content type, idempotency key and body as received. The
		// service prefix is removed from the path of a service call.
		Call service.Request
		// Received is when the request arrived.
		Received time.Time

		// Snapshot is the configuration that all filters of this request use.
		Snapshot *configuration.Snapshot
		// Team is set by Authenticate.
		Team configuration.Team
		// Class and Model are set by Classify.
		Class configuration.Class
		Model configuration.Model
		// Messages, MaxTokens and IsStream are set by ParseChat.
		Messages  []engine.Message
		MaxTokens int
		IsStream  bool
		// Fingerprint is set by RefuseQuarantined.
		Fingerprint quarantine.Fingerprint
		// Service is set by FindService.
		Service configuration.Service
	}

	// Reply is the reply to a request. Exactly one of Answer and ServiceResponse is set. Close
	// must be called once the reply has been sent.
	Reply struct {
		Answer          *dispatch.Answer
		ServiceResponse *service.Response
		// IsReplay reports whether ServiceResponse is the stored response of an earlier call under the
		// same key.
		IsReplay bool

		closers []func()
	}

	// Handler serves a request. Its error is a *refusal.Error.
	Handler func(ctx context.Context, rq *Request) (Reply, error)

	// Filter wraps a handler with a step that runs before it.
	Filter func(next Handler) Handler
)

// Chain returns a handler that applies the filters in order and then calls last.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

// Close releases the resources held by the reply. It may be called more than once.
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
