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
	// RangeCount is the number of ranges. While each range has one writer, the whole fleet writes at most
	// RangeCount times per Linger, regardless of the number of bookings.
	RangeCount = 8
	// DefaultLinger is the default of Options.Linger.
	DefaultLinger = 20 * time.Millisecond
	// MaxDispatchDelay is the time after the start of Begin within which the call must be dispatched. A
	// host that takes longer, for instance because its process was suspended, must not dispatch the call,
	// because other hosts may have released the intent.
	MaxDispatchDelay = 5 * time.Second

	// minSettleAge is the age from which an operator may settle an intent. It is longer than
	// MaxDispatchDelay, so that the attempt can no longer dispatch its call.
	minSettleAge = time.Minute
	// minSegmentBytes is the encoded size from which the records of the head are moved to a segment.
	minSegmentBytes = 64 << 10
	// maxInlineResponseBytes bounds the body of a response that is stored in the log.
	maxInlineResponseBytes = 4 << 10
	// entryTTL is the TTL of segments and of responses stored outside the log.
	entryTTL = 24 * time.Hour
	// maxCommitAttempts bounds the attempts to write a batch.
	maxCommitAttempts = 8
	// commitRetryDelay is the delay between two attempts to write a batch.
	commitRetryDelay = 20 * time.Millisecond
)

type (
	// Options configures a Ledger.
	Options struct {
		// Clock provides the time of records and the timers.
		Clock clock.Clock
		// Linger is how long a writer collects records for one write; zero means DefaultLinger.
		Linger time.Duration
		// CommitTimeout bounds the wait until a record is durable; zero means 3 s.
		CommitTimeout time.Duration
	}

	// Ledger records intents and outcomes in the key-value service. It is safe for concurrent use. It
	// writes records only while Run is running.
	Ledger struct {
		opts   Options
		store  keyvalue.Store
		ranges [RangeCount]*rangeLog
	}
)

const defaultCommitTimeout = 3 * time.Second

// NewLedger returns a Ledger that stores its logs in the key-value service.
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

// RangeOf returns the number of the range to which a booking belongs.
func RangeOf(id string) int {
	return int(rendezvous.Hash(id) % RangeCount)
}

// RangeName returns the name of a range, from which its owner is determined.
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

// Begin makes the intent of a call durable and returns Proceed, or returns the decision that follows from
// the latest record of the booking. After an error the call must not be dispatched; an intent that was
// written nevertheless is released later.
func (ld *Ledger) Begin(ctx context.Context, att Attempt) (Decision, error) {
	rl := ld.ranges[RangeOf(att.BookingID)]
	return rl.submit(ctx, Record{BookingID: att.BookingID, AttemptID: att.AttemptID, RequestHash: att.RequestHash, State: Intended})
}

// Finish records the response of a call. After an error the response is not durable, and a resend of the
// call gets "outcome unknown".
func (ld *Ledger) Finish(ctx context.Context, att Attempt, rsp service.Response) error {
	rec := Record{BookingID: att.BookingID, AttemptID: att.AttemptID, RequestHash: att.RequestHash, State: Done, Response: &rsp}
	if len(rsp.Body) > maxInlineResponseBytes {
		rec.Response = nil
		rec.ResponseKey = fmt.Sprintf("booking-answer/%s", att.AttemptID)
		if err := ld.writeResponse(ctx, rec.ResponseKey, rsp); err != nil {
			return err
		}
	}
	_, err := ld.ranges[RangeOf(att.BookingID)].submit(ctx, rec)
	return err
}

// Release records that a call was certainly not dispatched, so that its key may be used again.
func (ld *Ledger) Release(ctx context.Context, att Attempt) error {
	rec := Record{BookingID: att.BookingID, AttemptID: att.AttemptID, RequestHash: att.RequestHash, State: Released}
	_, err := ld.ranges[RangeOf(att.BookingID)].submit(ctx, rec)
	return err
}

// Get returns the latest record of a booking.
func (ld *Ledger) Get(ctx context.Context, id string) (Record, error) {
	return ld.ranges[RangeOf(id)].lookup(ctx, id)
}

// Settle records whether a call with an unknown outcome ran, as an operator has determined. It returns
// a *SettleError if the outcome is known or if the call may still be dispatched.
func (ld *Ledger) Settle(ctx context.Context, id string, ran bool) error {
	rl := ld.ranges[RangeOf(id)]
	rec, err := rl.lookup(ctx, id)
	if err != nil {
		return err
	}
	age := ld.opts.Clock.Now().Sub(time.UnixMilli(rec.AtMs))
	if rec.State != Intended || age < minSettleAge {
		return &SettleError{state: rec.State, age: age}
	}
	rec.State = Released
	if ran {
		rec.State = SettledRan
	}
	_, err = rl.submit(ctx, rec)
	return err
}

// LoadResponse returns the response of a record. It reads it from the key-value service if it is stored
// outside the log, and returns nil if the record has none.
func (ld *Ledger) LoadResponse(ctx context.Context, rec Record) (*service.Response, error) {
	if rec.Response != nil || rec.ResponseKey == "" {
		return rec.Response, nil
	}
	en, err := ld.store.Get(ctx, keyvalue.PurposeBooking, rec.ResponseKey)
	if err != nil {
		return nil, err
	}
	var rsp service.Response
	if err = json.Unmarshal(en.Value(), &rsp); err != nil {
		return nil, &EntryError{key: rec.ResponseKey, cause: err}
	}
	return &rsp, nil
}

// writeResponse stores a response outside the log.
func (ld *Ledger) writeResponse(ctx context.Context, key string, rsp service.Response) error {
	data, err := json.Marshal(rsp)
	if err != nil {
		return &EntryError{key: key, cause: err}
	}
	wr := keyvalue.Write{Key: key, Value: data, TTL: entryTTL}
	_, err = ld.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	return err
}
