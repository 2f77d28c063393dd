package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/service"
)

const (
	// Ranges is the number of logs. With Linger it bounds the writes of the whole fleet, however
	// many bookings there are: Ranges / Linger writes/s while every range has one writer.
	Ranges = 8
	// DefaultLinger is how long a writer gathers records for one write.
	DefaultLinger = 20 * time.Millisecond
	// DispatchLimit is how long after Begin a call may be dispatched.
	DispatchLimit = 5 * time.Second

	settleAge       = time.Minute
	segmentBytes    = 64 << 10
	inlineAnswer    = 4 << 10
	retention       = 24 * time.Hour
	commitAttempts  = 8
	commitRetryWait = 20 * time.Millisecond
)

type (
	// Options configures a Ledger.
	Options struct {
		// Clock is used for ages and waiting.
		Clock clock.Clock
		// Linger is how long a writer gathers records for one write; zero means DefaultLinger.
		Linger time.Duration
		// CommitTimeout bounds the wait for a durable record; zero means 3 s.
		CommitTimeout time.Duration
	}

	// Ledger records intents and outcomes directly at the key-value service. It is safe for
	// concurrent use; Run must run for it to make progress.
	Ledger struct {
		opts   Options
		store  keyvalue.Store
		ranges [Ranges]*rangeLog
	}
)

const defaultCommitTimeout = 3 * time.Second

// NewLedger returns a ledger over the key-value service.
func NewLedger(store keyvalue.Store, opts Options) *Ledger {
	if opts.Linger == 0 {
		opts.Linger = DefaultLinger
	}
	if opts.CommitTimeout == 0 {
		opts.CommitTimeout = defaultCommitTimeout
	}
	ld := &Ledger{opts: opts, store: store}
	for i := range ld.ranges {
		ld.ranges[i] = newRangeLog(i, store, opts)
	}
	return ld
}

// RangeOf returns the range of a booking.
func RangeOf(id string) int {
	return int(rendezvous.Hash(id) % Ranges)
}

// RangeName returns the name by which the owner of a range is chosen.
func RangeName(rng int) string {
	return "booking-range/" + strconv.Itoa(rng)
}

// Run writes records until ctx ends.
func (ld *Ledger) Run(ctx context.Context) {
	done := make(chan struct{})
	for _, rl := range ld.ranges {
		go func() {
			rl.run(ctx)
			done <- struct{}{}
		}()
	}
	for range ld.ranges {
		<-done
	}
}

// Begin makes the intent of a call durable, or says what became of an earlier one. An error means
// that this attempt must not be dispatched; its intent, if it was written, is released later.
func (ld *Ledger) Begin(ctx context.Context, req Request) (Decision, error) {
	rl := ld.ranges[RangeOf(req.ID)]
	return rl.submit(ctx, Record{ID: req.ID, Intent: req.Intent, Body: req.Body, State: Intended})
}

// Finish records the answer of a call. It returns an error if the answer is not durable; then a
// resend of the call gets "outcome unknown".
func (ld *Ledger) Finish(ctx context.Context, req Request, ans service.Answer) error {
	rec := Record{ID: req.ID, Intent: req.Intent, Body: req.Body, State: Done, Answer: &ans}
	if len(ans.Body) > inlineAnswer {
		rec.Answer = nil
		rec.AnswerKey = fmt.Sprintf("booking-answer/%s", req.Intent)
		if err := ld.writeAnswer(ctx, rec.AnswerKey, ans); err != nil {
			return err
		}
	}
	_, err := ld.ranges[RangeOf(req.ID)].submit(ctx, rec)
	return err
}

// Release records that a call surely was not dispatched, so that its key may run again.
func (ld *Ledger) Release(ctx context.Context, req Request) error {
	rec := Record{ID: req.ID, Intent: req.Intent, Body: req.Body, State: Released}
	_, err := ld.ranges[RangeOf(req.ID)].submit(ctx, rec)
	return err
}

// Look returns the newest record of a booking.
func (ld *Ledger) Look(ctx context.Context, id string) (Record, error) {
	return ld.ranges[RangeOf(id)].look(ctx, id)
}

// Settle records an operator's word about a booking whose outcome is unknown. It returns a
// *SettleError if the outcome is known or the attempt may still be dispatched.
func (ld *Ledger) Settle(ctx context.Context, id string, ran bool) error {
	rl := ld.ranges[RangeOf(id)]
	rec, err := rl.look(ctx, id)
	if err != nil {
		return err
	}
	age := ld.opts.Clock.Now().Sub(time.UnixMilli(rec.AtMs))
	if rec.State != Intended || age < settleAge {
		return &SettleError{state: rec.State, age: age}
	}
	rec.State = Released
	if ran {
		rec.State = SettledRan
	}
	_, err = rl.submit(ctx, rec)
	return err
}

// Answer returns the answer of a Replay, which may be kept outside the log.
func (ld *Ledger) Answer(ctx context.Context, rec Record) (*service.Answer, error) {
	if rec.Answer != nil || rec.AnswerKey == "" {
		return rec.Answer, nil
	}
	en, err := ld.store.Get(ctx, keyvalue.PurposeBooking, rec.AnswerKey)
	if err != nil {
		return nil, err
	}
	var ans service.Answer
	if err = json.Unmarshal(en.Value(), &ans); err != nil {
		return nil, &LogError{key: rec.AnswerKey, cause: err}
	}
	return &ans, nil
}

func (ld *Ledger) writeAnswer(ctx context.Context, key string, ans service.Answer) error {
	data, err := json.Marshal(ans)
	if err != nil {
		return &LogError{key: key, cause: err}
	}
	wr := keyvalue.Write{Key: key, Value: data, TTL: retention}
	_, err = ld.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	return err
}
