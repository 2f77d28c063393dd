package entry

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/booking"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/service"
)

type (
	// Ledger stores the intents and outcomes of service calls durably.
	Ledger interface {
		Begin(ctx context.Context, att booking.Attempt) (booking.Decision, booking.Attempt, error)
		Finish(ctx context.Context, att booking.Attempt, rsp service.Response) error
		Release(ctx context.Context, att booking.Attempt) error
		Get(ctx context.Context, id string) (booking.Record, error)
	}

	// Services calls plain services. Do sends a call once and never retries it.
	Services interface {
		Do(ctx context.Context, address string, rq service.Request) (service.Response, error)
	}

	// RetryMeter counts retries.
	RetryMeter interface {
		Retried(reason, class string)
	}

	// ServiceOptions configures the handler of plain service calls. All fields are required.
	ServiceOptions struct {
		Clock    clock.Clock
		Ledger   Ledger
		Services Services
		Budget   *retry.Budget
		Meter    RetryMeter
	}

	// serviceHandler serves calls of plain services.
	serviceHandler struct {
		ServiceOptions
	}
)

const (
	// pendingTimeout is how long a resent call waits for the outcome of an earlier attempt that is
	// still in flight.
	pendingTimeout = 3 * time.Second
	// firstPollDelay is the first delay between two reads of a record; each further delay doubles.
	firstPollDelay = 100 * time.Millisecond
	// outcomeRetryAfter is the Retry-After of a refusal while the outcome of a call is unknown.
	outcomeRetryAfter = 5 * time.Second
	// ledgerRetryAfter is the Retry-After of a refusal while intents cannot be stored durably.
	ledgerRetryAfter = 10 * time.Second

	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 256
	// retryBudgetClass is the class under which calls of plain services use the retry budget.
	retryBudgetClass = "service"
	// maxRetryShare bounds retries to a share of the calls.
	maxRetryShare = 0.1
	// recordTimeout bounds a write that records the end of a call.
	recordTimeout = 5 * time.Second
)

// CallService returns the handler that calls a plain service. It retries calls whose path the service
// declares repeatable, within the retry budget, and executes any other call at most once.
func CallService(opts ServiceOptions) Handler {
	sh := &serviceHandler{ServiceOptions: opts}
	return func(ctx context.Context, rq *Request) (Reply, error) {
		for _, prefix := range rq.Service.IdempotentPrefixes {
			if strings.HasPrefix(rq.Call.Path, prefix) {
				return sh.callWithRetries(ctx, rq)
			}
		}
		return sh.callOnce(ctx, rq)
	}
}

// callWithRetries tries each address of the service once, as far as the retry budget allows.
func (sh *serviceHandler) callWithRetries(ctx context.Context, rq *Request) (Reply, error) {
	sh.Budget.RecordRequest(retryBudgetClass, maxRetryShare)
	var lastErr error
	execution := refusal.NotRun
	for i, address := range rendezvous.Order(rq.ID, rq.Service.Addresses) {
		if i > 0 {
			if !sh.Budget.TryRetry(retryBudgetClass) {
				break
			}
			sh.Meter.Retried("service", retryBudgetClass)
		}
		rsp, err := sh.Services.Do(ctx, address, rq.Call)
		if err == nil {
			return Reply{ServiceResponse: &rsp}, nil
		}
		lastErr = err
		if !isDialError(err) {
			execution = refusal.MayHaveRun
		}
	}
	if execution == refusal.MayHaveRun {
		return Reply{}, refusal.NewMayHaveRun(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, lastErr)
	}
	return Reply{}, refusal.New(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, lastErr)
}

// callOnce stores the intent durably, sends the call, and records the response before the client
// gets it.
func (sh *serviceHandler) callOnce(ctx context.Context, rq *Request) (Reply, error) {
	key := rq.Call.IdempotencyKey
	if key == "" || len(key) > maxKeyBytes {
		return Reply{}, refusal.New(refusal.KeyMissing, "the call needs an Idempotency-Key of 1 to %d bytes", maxKeyBytes)
	}
	// The call continues when the client disconnects, since every stored intent needs an outcome.
	ctx = context.WithoutCancel(ctx)
	att := booking.Attempt{
		BookingID:   booking.NewID(rq.Team.Name, rq.Service.Name+"\x00"+key),
		AttemptID:   uuid.NewString(),
		RequestHash: booking.HashRequest(rq.Call),
	}
	startedAt := sh.Clock.Now()
	decision, att, err := sh.Ledger.Begin(ctx, att)
	if err != nil {
		return Reply{}, refusal.New(refusal.LedgerUnavailable, "the intent cannot be made durable").
			WithRetryAfter(ledgerRetryAfter)
	}
	if decision.Verdict != booking.Proceed {
		return sh.resolveEarlierAttempt(ctx, att, decision)
	}
	// After a pause of this host, such as a suspended process, other hosts may already have
	// abandoned the intent, so the call must not be sent.
	if sh.Clock.Now().Sub(startedAt) > booking.MaxDispatchDelay {
		sh.releaseIntent(ctx, att)
		return Reply{}, refusal.New(refusal.LedgerUnavailable, "the intent came too late").WithRetryAfter(ledgerRetryAfter)
	}
	return sh.send(ctx, rq, att)
}

// send sends the call to the first address that accepts a connection. It never retries after a
// byte may have been sent.
func (sh *serviceHandler) send(ctx context.Context, rq *Request, att booking.Attempt) (Reply, error) {
	var lastErr error
	for _, address := range rendezvous.Order(att.BookingID, rq.Service.Addresses) {
		rsp, err := sh.Services.Do(ctx, address, rq.Call)
		if err == nil {
			sh.recordResponse(ctx, att, rsp)
			return Reply{ServiceResponse: &rsp}, nil
		}
		if !isDialError(err) {
			return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "the call was sent and gave no whole answer").
				WithRetryAfter(outcomeRetryAfter)
		}
		lastErr = err
	}
	sh.releaseIntent(ctx, att)
	return Reply{}, refusal.New(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, lastErr)
}

// resolveEarlierAttempt replies from the record of an earlier attempt under the same key.
func (sh *serviceHandler) resolveEarlierAttempt(ctx context.Context, att booking.Attempt, decision booking.Decision) (Reply, error) {
	switch decision.Verdict {
	case booking.Conflict:
		return Reply{}, refusal.New(refusal.KeyConflict, "the key was used before with another call")
	case booking.SettledByOperator:
		return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "an operator settled the call as run; its answer is not known")
	case booking.Replay:
		if decision.Response != nil {
			return Reply{ServiceResponse: decision.Response, IsReplay: true}, nil
		}
	}
	return sh.awaitOutcome(ctx, att)
}

// awaitOutcome polls the ledger for the outcome of an attempt that is still in flight.
func (sh *serviceHandler) awaitOutcome(ctx context.Context, att booking.Attempt) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingTimeout)
	defer cancel()
	delay := firstPollDelay
	for {
		rec, err := sh.Ledger.Get(ctx, att.BookingID)
		switch {
		case err == nil && rec.State == booking.Done && rec.Response != nil:
			return Reply{ServiceResponse: rec.Response, IsReplay: true}, nil
		case err == nil && rec.State == booking.Released:
			return Reply{}, refusal.New(refusal.LedgerUnavailable, "an earlier call under this key was not sent").
				WithRetryAfter(time.Second)
		case ctx.Err() != nil:
			return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "an earlier call under this key may have run").
				WithRetryAfter(outcomeRetryAfter)
		}
		select {
		case <-ctx.Done():
		case <-sh.Clock.After(delay):
		}
		delay *= 2
	}
}

// recordResponse stores the response. While the key-value service is unavailable, the ledger keeps
// retrying in the background; the client gets the response regardless.
func (sh *serviceHandler) recordResponse(ctx context.Context, att booking.Attempt, rsp service.Response) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_ = sh.Ledger.Finish(ctx, att, rsp)
}

// releaseIntent records that the call was not sent.
func (sh *serviceHandler) releaseIntent(ctx context.Context, att booking.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_ = sh.Ledger.Release(ctx, att)
}

func isDialError(err error) bool {
	var de *connection.DialError
	return errors.As(err, &de)
}
