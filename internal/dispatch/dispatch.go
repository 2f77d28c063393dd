// Package dispatch runs a request on an endpoint and follows its answer to the end.
//
// It chooses an endpoint, brings the history there, opens the run, and resumes the answer
// elsewhere when an endpoint or a connection fails.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/endpoint"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/link"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/slot"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

type (
	// Stream is the answer of one attempt.
	Stream interface {
		Next() (engine.Token, error)
		Close() error
		CachedTokens() int
		StartID() string
	}

	// Engines runs requests and orders on endpoints.
	Engines interface {
		Open(ctx context.Context, address string, rn engine.Run) (Stream, error)
		Load(ctx context.Context, address string) (engine.Load, error)
		Import(ctx context.Context, address, salt string, pieces []engine.Piece) (engine.MovedPieces, error)
		Export(ctx context.Context, address, salt, store string, names []string) (engine.MovedPieces, error)
		Cancel(ctx context.Context, address, runID string) error
	}

	// Stores asks store hosts what they keep.
	Stores interface {
		Lookup(ctx context.Context, address string, names []string) ([]engine.Piece, error)
	}

	// Slots asks the owners of endpoints for places.
	Slots interface {
		Take(ctx context.Context, ask slot.Ask) (slot.Answer, error)
		Release(ctx context.Context, rl slot.Release)
	}

	// Turns gives turns on the links of store hosts.
	Turns interface {
		Wait(ctx context.Context, ask link.Ask) (link.Answer, error)
	}

	// Announcer spreads news of crashes and returns when its neighbours have it.
	Announcer interface {
		AnnounceCrash(ctx context.Context, id string, fps []quarantine.Fingerprint)
	}

	// Meter counts attempts, retries and the sources of histories.
	Meter interface {
		Dispatched(class string)
		Retried(reason, class string)
		Tokens(source telemetry.TokenSource, n int)
		FirstToken(class string, d time.Duration)
		Spent(class string, seconds float64)
		Moved(direction string, bytes int64)
	}

	// Parts are what a Dispatcher works with. All are required.
	Parts struct {
		Host      string
		Clock     clock.Clock
		Snapshot  func() *configuration.Snapshot
		Engines   Engines
		Stores    Stores
		Slots     Slots
		Turns     Turns
		Registry  *endpoint.Registry
		Board     *quarantine.Board
		Budget    *retry.Budget
		Announcer Announcer
		Meter     Meter
		Log       logrus.FieldLogger
		Rand      *rand.Rand
	}

	// Job is a request that has passed all checks.
	Job struct {
		ID          string
		Team        string
		Class       configuration.Class
		Model       configuration.Model
		Messages    []engine.Message
		MaxTokens   int
		Fingerprint quarantine.Fingerprint
		Received    time.Time
	}

	// Dispatcher is safe for concurrent use.
	Dispatcher struct {
		Parts
		links *links

		mu      sync.Mutex
		hitRate float64
	}
)

// initialHitRate is the belief, before any run, that a history is in the memory of the endpoint
// that it prefers.
const initialHitRate = 0.3

// New returns a dispatcher.
func New(parts Parts) *Dispatcher {
	return &Dispatcher{Parts: parts, links: newLinks(parts.Clock), hitRate: initialHitRate}
}

// Run opens the answer to a job and returns it with its first token at hand. A failure is a
// *refusal.Error that says whether the job may have run. The answer must be closed.
func (di *Dispatcher) Run(ctx context.Context, job Job) (*Answer, error) {
	di.Budget.Request(job.Class.Name, job.Class.RetryShare)
	an := newAnswer(di, job)
	if err := an.start(ctx); err != nil {
		an.Close()
		return nil, err
	}
	return an, nil
}

func (di *Dispatcher) random() uint64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.Rand.Uint64()
}

// believed returns the share of a history that the preferred endpoint likely has in memory.
func (di *Dispatcher) believed() float64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.hitRate
}

func (di *Dispatcher) learnHit(cached, tokens int) {
	if tokens == 0 {
		return
	}
	const weight = 0.05
	di.mu.Lock()
	defer di.mu.Unlock()
	di.hitRate += weight * (min(1, float64(cached)/float64(tokens)) - di.hitRate)
}
