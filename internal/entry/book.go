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
	// Ledger makes intents and outcomes durable.
	Ledger interface {
		Begin(ctx context.Context, req booking.Request) (booking.Decision, booking.Request, error)
		Finish(ctx context.Context, req booking.Request, ans service.Answer) error
		Release(ctx context.Context, req booking.Request) error
		Look(ctx context.Context, id string) (booking.Record, error)
	}

	// Services calls plain services. Do never repeats a call.
	Services interface {
		Do(ctx context.Context, address string, ca service.Call) (service.Answer, error)
	}

	// RetryMeter counts retries.
	RetryMeter interface {
		Retried(reason, class string)
	}

	// BookOptions are what Book works with. All are required.
	BookOptions struct {
		Clock    clock.Clock
		Ledger   Ledger
		Services Services
		Budget   *retry.Budget
		Meter    RetryMeter
	}

	desk struct {
		BookOptions
	}
)

const (
	// pendingWait is how long a resend waits for the outcome of an attempt under way.
	pendingWait = 3 * time.Second
	// pendingPoll is the first pause between two looks at the log; it doubles each time.
	pendingPoll = 100 * time.Millisecond
	// outcomeRetryAfter is the advice to a caller whose outcome is not known yet.
	outcomeRetryAfter = 5 * time.Second
	// ledgerRetryAfter is the advice to a caller while intents cannot be made durable.
	ledgerRetryAfter = 10 * time.Second

	maxKeyBytes  = 256
	repeatClass  = "service"
	repeatShare  = 0.1
	recordBudget = 5 * time.Second
)

// Book calls a plain service: a call that may be repeated within the retry budget, any other at
// most once.
func Book(opts BookOptions) Handler {
	dk := &desk{BookOptions: opts}
	return func(ctx context.Context, rq *Request) (Reply, error) {
		for _, prefix := range rq.Service.Repeatable {
			if strings.HasPrefix(rq.Call.Path, prefix) {
				return dk.repeatable(ctx, rq)
			}
		}
		return dk.once(ctx, rq)
	}
}

// repeatable tries each address once, as far as the budget goes.
func (dk *desk) repeatable(ctx context.Context, rq *Request) (Reply, error) {
	dk.Budget.Request(repeatClass, repeatShare)
	var last error
	run := refusal.NotRun
	for i, address := range rendezvous.Order(rq.ID, rq.Service.Addresses) {
		if i > 0 {
			if !dk.Budget.Take(repeatClass) {
				break
			}
			dk.Meter.Retried("service", repeatClass)
		}
		ans, err := dk.Services.Do(ctx, address, rq.Call)
		if err == nil {
			return Reply{Service: &ans}, nil
		}
		last = err
		if !isDialError(err) {
			run = refusal.MayHaveRun
		}
	}
	if run == refusal.MayHaveRun {
		return Reply{}, refusal.NewMayHaveRun(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, last)
	}
	return Reply{}, refusal.New(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, last)
}

// once makes the intent durable, dispatches the call, and makes the answer durable before the
// caller sees it.
func (dk *desk) once(ctx context.Context, rq *Request) (Reply, error) {
	key := rq.Call.Key
	if key == "" || len(key) > maxKeyBytes {
		return Reply{}, refusal.New(refusal.KeyMissing, "the call needs an Idempotency-Key of 1 to %d bytes", maxKeyBytes)
	}
	// The call goes on when the caller leaves: what has begun must end with a record.
	ctx = context.WithoutCancel(ctx)
	req := booking.Request{
		ID:     booking.NewID(rq.Team.Name, rq.Service.Name+"\x00"+key),
		Intent: uuid.NewString(),
		Body:   booking.HashBody(rq.Call),
	}
	began := dk.Clock.Now()
	decision, req, err := dk.Ledger.Begin(ctx, req)
	if err != nil {
		return Reply{}, refusal.New(refusal.LedgerUnavailable, "the intent cannot be made durable").
			WithRetryAfter(ledgerRetryAfter)
	}
	if decision.Verdict != booking.Proceed {
		return dk.earlier(ctx, req, decision)
	}
	// A host that was paused must not dispatch an intent that others may have given up.
	if dk.Clock.Now().Sub(began) > booking.DispatchLimit {
		dk.release(ctx, req)
		return Reply{}, refusal.New(refusal.LedgerUnavailable, "the intent came too late").WithRetryAfter(ledgerRetryAfter)
	}
	return dk.dispatch(ctx, rq, req)
}

func (dk *desk) dispatch(ctx context.Context, rq *Request, req booking.Request) (Reply, error) {
	var last error
	for _, address := range rendezvous.Order(req.ID, rq.Service.Addresses) {
		ans, err := dk.Services.Do(ctx, address, rq.Call)
		if err == nil {
			dk.finish(ctx, req, ans)
			return Reply{Service: &ans}, nil
		}
		if !isDialError(err) {
			return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "the call was sent and gave no whole answer").
				WithRetryAfter(outcomeRetryAfter)
		}
		last = err
	}
	dk.release(ctx, req)
	return Reply{}, refusal.New(refusal.ServiceFailed, "service %s: %v", rq.Service.Name, last)
}

// earlier answers from what is known of an earlier attempt.
func (dk *desk) earlier(ctx context.Context, req booking.Request, d booking.Decision) (Reply, error) {
	switch d.Verdict {
	case booking.Conflict:
		return Reply{}, refusal.New(refusal.KeyConflict, "the key was used before with another call")
	case booking.SettledByOperator:
		return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "an operator settled the call as run; its answer is not known")
	case booking.Replay:
		if d.Answer != nil {
			return Reply{Service: d.Answer, IsReplay: true}, nil
		}
	}
	return dk.await(ctx, req)
}

// await looks for the outcome of an attempt that is under way.
func (dk *desk) await(ctx context.Context, req booking.Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pendingWait)
	defer cancel()
	pause := pendingPoll
	for {
		rec, err := dk.Ledger.Look(ctx, req.ID)
		switch {
		case err == nil && rec.State == booking.Done && rec.Answer != nil:
			return Reply{Service: rec.Answer, IsReplay: true}, nil
		case err == nil && rec.State == booking.Released:
			return Reply{}, refusal.New(refusal.LedgerUnavailable, "an earlier call under this key was not sent").
				WithRetryAfter(time.Second)
		case ctx.Err() != nil:
			return Reply{}, refusal.NewMayHaveRun(refusal.OutcomeUnknown, "an earlier call under this key may have run").
				WithRetryAfter(outcomeRetryAfter)
		}
		select {
		case <-ctx.Done():
		case <-dk.Clock.After(pause):
		}
		pause *= 2
	}
}

// finish records the answer. When the service is away, the ledger goes on trying; the caller
// gets its answer all the same.
func (dk *desk) finish(ctx context.Context, req booking.Request, ans service.Answer) {
	ctx, cancel := context.WithTimeout(ctx, recordBudget)
	defer cancel()
	_ = dk.Ledger.Finish(ctx, req, ans)
}

func (dk *desk) release(ctx context.Context, req booking.Request) {
	ctx, cancel := context.WithTimeout(ctx, recordBudget)
	defer cancel()
	_ = dk.Ledger.Release(ctx, req)
}

func isDialError(err error) bool {
	var de *connection.DialError
	return errors.As(err, &de)
}
