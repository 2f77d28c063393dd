// Package dispatch runs a request on an endpoint and streams its answer.
//
// It chooses an endpoint, imports the history there, opens the run, and resumes the answer on
// another endpoint when an endpoint or a connection fails.
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
	// Stream is the token stream of one attempt.
	Stream interface {
		Next() (engine.Token, error)
		Close() error
		CachedTokens() int
		StartID() string
	}

	// Engines sends runs, transfer requests and load queries to the engines of endpoints.
	Engines interface {
		Open(ctx context.Context, address string, rn engine.Run) (Stream, error)
		FetchLoad(ctx context.Context, address string) (engine.LoadReport, error)
		Import(ctx context.Context, address, salt string, pieces []engine.Piece) (engine.TransferResult, error)
		Export(ctx context.Context, address, salt, store string, names []string) (engine.TransferResult, error)
		Cancel(ctx context.Context, address, runID string) error
	}

	// Stores looks up the pieces that store hosts hold.
	Stores interface {
		Lookup(ctx context.Context, address string, names []string) ([]engine.Piece, error)
	}

	// Slots acquires slots from the owners of endpoints and releases them there.
	Slots interface {
		Acquire(ctx context.Context, req slot.AcquireRequest) (slot.AcquireResponse, error)
		Release(ctx context.Context, rl slot.ReleaseRequest)
	}

	// LinkScheduler grants turns on the links of store hosts. Wait returns once the turn is granted; after
	// an error the transfer must not begin.
	LinkScheduler interface {
		Wait(ctx context.Context, req link.TurnRequest) (link.TurnResponse, error)
	}

	// Announcer announces crashes to the other hosts. AnnounceCrash returns once the neighboring
	// hosts have received the announcement.
	Announcer interface {
		AnnounceCrash(ctx context.Context, id string, fps []quarantine.Fingerprint)
	}

	// Meter records metrics of attempts, retries, token sources and transfers.
	Meter interface {
		Dispatched(class string)
		Retried(reason, class string)
		AddHistoryTokens(source telemetry.TokenSource, n int)
		ObserveFirstToken(class string, d time.Duration)
		AddAcceleratorTime(class string, seconds float64)
		AddLinkBytes(direction string, bytes int64)
	}

	// Dependencies holds the dependencies of a Dispatcher. All fields are required.
	Dependencies struct {
		Host          string
		Clock         clock.Clock
		Snapshot      func() *configuration.Snapshot
		Engines       Engines
		Stores        Stores
		Slots         Slots
		LinkScheduler LinkScheduler
		Registry      *endpoint.Registry
		Quarantine    *quarantine.Tracker
		RetryBudget   *retry.Budget
		Announcer     Announcer
		Meter         Meter
		Log           logrus.FieldLogger
		Rand          *rand.Rand
	}

	// Job is a validated and admitted request.
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

	// Dispatcher runs jobs on endpoints. It is safe for concurrent use.
	Dispatcher struct {
		Dependencies
		links *linkStats

		mu sync.Mutex
		// hitRate is a moving average of the share of prompt tokens found in the KV cache,
		// not counting imported ones.
		hitRate float64
	}
)

// initialHitRate is the share of a history assumed to be cached on its preferred endpoint before
// any run has finished.
const initialHitRate = 0.3

// New returns a Dispatcher with the given dependencies.
func New(deps Dependencies) *Dispatcher {
	return &Dispatcher{Dependencies: deps, links: newLinkStats(deps.Clock), hitRate: initialHitRate}
}

// Run starts a job and returns its answer once the first token has arrived. An error is a
// *refusal.Error that states whether the job may have run. The caller must close the answer.
func (di *Dispatcher) Run(ctx context.Context, job Job) (*Answer, error) {
	di.RetryBudget.RecordRequest(job.Class.Name, job.Class.RetryShare)
	an := newAnswer(di, job)
	if err := an.start(ctx); err != nil {
		an.Close()
		return nil, err
	}
	return an, nil
}

func (di *Dispatcher) randomUint64() uint64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.Rand.Uint64()
}

// expectedHitRate returns the share of a history that its preferred endpoint likely has cached.
func (di *Dispatcher) expectedHitRate() float64 {
	di.mu.Lock()
	defer di.mu.Unlock()
	return di.hitRate
}

// updateHitRate adds a finished run to the moving average of the hit rate.
func (di *Dispatcher) updateHitRate(cached, tokens int) {
	if tokens == 0 {
		return
	}
	const sampleWeight = 0.05
	di.mu.Lock()
	defer di.mu.Unlock()
	di.hitRate += sampleWeight * (min(1, float64(cached)/float64(tokens)) - di.hitRate)
}
