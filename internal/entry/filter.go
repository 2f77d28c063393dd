package entry

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

type (
	// Readiness reports whether a host may accept new work.
	Readiness interface {
		// Ready returns nil if the host is ready, else the refusal to send to clients.
		Ready() error
	}

	// Runner executes a job on an endpoint.
	Runner interface {
		Run(ctx context.Context, job dispatch.Job) (*dispatch.Answer, error)
	}

	// chatRequest is the body of a chat-completions request.
	chatRequest struct {
		Model     string           `json:"model"`
		Messages  []engine.Message `json:"messages"`
		Stream    bool             `json:"stream"`
		MaxTokens int              `json:"max_tokens"`
	}
)

const (
	servicePrefix = "/services/"
	// maxMessages bounds the number of messages in one request.
	maxMessages = 10_000
)

// RequireReady refuses requests while the host is not ready. It also sets the configuration snapshot
// that all later filters of the request use.
func RequireReady(rd Readiness, snapshot func() *configuration.Snapshot) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, rq *Request) (Reply, error) {
			if err := rd.Ready(); err != nil {
				return Reply{}, err
			}
			rq.Snapshot = snapshot()
			return next(ctx, rq)
		}
	}
}

// Authenticate sets the team that the bearer token belongs to.
func Authenticate(next Handler) Handler {
	return func(ctx context.Context, rq *Request) (Reply, error) {
		team, ok := rq.Snapshot.TeamOfToken(rq.Token)
		if !ok {
			return Reply{}, refusal.New(refusal.Unauthenticated, "the bearer token is missing or not known")
		}
		rq.Team = team
		return next(ctx, rq)
	}
}

// ParseChat decodes and validates the body of a chat-completions request.
func ParseChat(next Handler) Handler {
	return func(ctx context.Context, rq *Request) (Reply, error) {
		var cr chatRequest
		if err := json.Unmarshal(rq.Call.Body, &cr); err != nil {
			return Reply{}, refusal.New(refusal.InvalidRequest, "the body is not a chat-completions request: %v", err)
		}
		switch {
		case cr.Model == "":
			return Reply{}, refusal.New(refusal.InvalidRequest, "model must name a class of work")
		case len(cr.Messages) == 0 || len(cr.Messages) > maxMessages:
			return Reply{}, refusal.New(refusal.InvalidRequest, "messages must have from 1 to %d entries", maxMessages)
		case cr.MaxTokens < 0:
			return Reply{}, refusal.New(refusal.InvalidRequest, "max_tokens must not be negative")
		}
		rq.Class.Name = cr.Model
		rq.Messages = cr.Messages
		rq.MaxTokens = cr.MaxTokens
		rq.IsStream = cr.Stream
		return next(ctx, rq)
	}
}

// Classify sets the class and the model, and refuses a history that exceeds the model's context
// window.
func Classify(next Handler) Handler {
	return func(ctx context.Context, rq *Request) (Reply, error) {
		class, ok := rq.Snapshot.Class(rq.Class.Name)
		if !ok {
			rq.Class = configuration.Class{}
			return Reply{}, refusal.New(refusal.UnknownClass, "model names no class of work")
		}
		model, ok := rq.Snapshot.Model(class.Model)
		if !ok {
			return Reply{}, refusal.New(refusal.NoEndpoint, "class %s has no model", class.Name)
		}
		rq.Class, rq.Model = class, model
		if n := history.Tokens(engine.RenderPrompt(rq.Messages)); n > model.ContextWindow {
			return Reply{}, refusal.New(refusal.HistoryTooLong, "the history has about %d tokens, above %d", n, model.ContextWindow)
		}
		return next(ctx, rq)
	}
}

// RefuseQuarantined sets the fingerprint and refuses a request whose fingerprint was running on
// quarantine.CrashLimit endpoints when they crashed.
func RefuseQuarantined(tr *quarantine.Tracker) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, rq *Request) (Reply, error) {
			rq.Fingerprint = quarantine.NewFingerprint(rq.Team.Name, rq.Class.Name, rq.Call.Body)
			if tr.State(rq.Fingerprint) == quarantine.Refused {
				return Reply{}, refusal.New(refusal.Quarantined,
					"the request was running when %d endpoints crashed", quarantine.CrashLimit)
			}
			return next(ctx, rq)
		}
	}
}

// Admit waits until the host has capacity for the request, and releases the capacity when the
// reply is closed.
func Admit(li *admission.Limiter) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, rq *Request) (Reply, error) {
			release, err := li.Acquire(ctx, admission.Request{
				Class:      rq.Class.Name,
				Priority:   rq.Class.Priority,
				Team:       rq.Team.Name,
				Weight:     rq.Team.Weight,
				QueueLimit: rq.Class.QueueLimit,
				MaxWait:    rq.Class.FirstTokenTarget.Std(),
			})
			if err != nil {
				return Reply{}, err
			}
			rp, err := next(ctx, rq)
			if err != nil {
				release()
				return Reply{}, err
			}
			rp.onClose(release)
			return rp, nil
		}
	}
}

// Dispatch returns the handler that runs the request on an endpoint.
func Dispatch(rn Runner) Handler {
	return func(ctx context.Context, rq *Request) (Reply, error) {
		an, err := rn.Run(ctx, dispatch.Job{
			ID:          rq.ID,
			Team:        rq.Team.Name,
			Class:       rq.Class,
			Model:       rq.Model,
			Messages:    rq.Messages,
			MaxTokens:   rq.MaxTokens,
			Fingerprint: rq.Fingerprint,
			Received:    rq.Received,
		})
		if err != nil {
			return Reply{}, err
		}
		return Reply{Answer: an}, nil
	}
}

// FindService sets the plain service that the path names, and removes its prefix from the path.
func FindService(next Handler) Handler {
	return func(ctx context.Context, rq *Request) (Reply, error) {
		name, path, _ := strings.Cut(strings.TrimPrefix(rq.Call.Path, servicePrefix), "/")
		svc, ok := rq.Snapshot.Service(name)
		if !ok || len(svc.Addresses) == 0 {
			return Reply{}, refusal.New(refusal.NotFound, "the path names no service")
		}
		rq.Service = svc
		rq.Call.Path = "/" + path
		return next(ctx, rq)
	}
}
