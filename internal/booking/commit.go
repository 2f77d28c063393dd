package booking

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

// commit writes a batch with one compare-and-swap. A conflict means that another host wrote: the
// log is read again and every submission is decided anew.
func (rl *rangeLog) commit(ctx context.Context, batch []*submission) {
	var last error
	for range commitAttempts {
		last = rl.commitLocked(ctx, batch)
		if last == nil {
			return
		}
		if ctx.Err() != nil {
			break
		}
		<-rl.opts.Clock.After(commitRetryWait)
	}
	for _, sb := range batch {
		sb.reply <- result{err: last}
		rl.giveUp(sb)
	}
}

func (rl *rangeLog) commitLocked(ctx context.Context, batch []*submission) error {
	if err := rl.io.Acquire(ctx); err != nil {
		return err
	}
	defer rl.io.Release()
	err := rl.commitOnce(ctx, batch)
	if err != nil {
		rl.isLoaded = false
	}
	return err
}

// giveUp keeps a record that did not become durable, unless its submitter has done so.
func (rl *rangeLog) giveUp(sb *submission) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !sb.isAbandoned {
		rl.keep(sb.record)
	}
}

func (rl *rangeLog) commitOnce(ctx context.Context, batch []*submission) error {
	isFresh := !rl.isLoaded
	if isFresh {
		if err := rl.reload(ctx); err != nil {
			return err
		}
	}
	next, decisions := rl.decideAll(batch)
	if !isFresh && slices.ContainsFunc(decisions, Decision.isOutdatable) {
		// What this host remembers of an intent may be out of date: another host may have written.
		if err := rl.reload(ctx); err != nil {
			return err
		}
		next, decisions = rl.decideAll(batch)
	}
	if len(next.Records) > len(rl.head.Records) {
		if err := rl.write(ctx, next); err != nil {
			return err
		}
	}
	for i, sb := range batch {
		sb.reply <- result{decision: decisions[i]}
	}
	return nil
}

// decideAll returns the head as it has to be written, and the decisions once it is.
func (rl *rangeLog) decideAll(batch []*submission) (segment, []Decision) {
	decisions := make([]Decision, len(batch))
	next := segment{Previous: rl.head.Previous, Records: slices.Clone(rl.head.Records)}
	pending := make(map[string]Record)
	for i, sb := range batch {
		rec, d := rl.decide(sb, pending)
		decisions[i] = d
		if rec.State != Absent {
			pending[rec.ID] = rec
			next.Records = append(next.Records, rec)
		}
	}
	return next, decisions
}

// decide returns the record to write, if any, and the decision once it is written.
func (rl *rangeLog) decide(sb *submission, pending map[string]Record) (Record, Decision) {
	rec := sb.record
	old, ok := pending[rec.ID]
	if !ok {
		old = rl.get(rec.ID)
	}
	if rec.State == Intended {
		if rl.isAbandoned(sb) {
			return Record{}, Decision{}
		}
		if d := old.decide(Request{ID: rec.ID, Intent: rec.Intent, Body: rec.Body}); d.Verdict != 0 {
			return Record{}, d
		}
		return rec, Decision{Verdict: Proceed}
	}
	// Only the attempt that holds the intent may change it. A release of an attempt that is not
	// in the log is still written, to move the head on, unless the key has another record.
	if old.State != Absent && old.Intent != rec.Intent {
		return Record{}, Decision{}
	}
	if old.State == Done || old.State == rec.State {
		return Record{}, Decision{}
	}
	return rec, Decision{}
}

func (rl *rangeLog) isAbandoned(sb *submission) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return sb.isAbandoned
}

func (rl *rangeLog) write(ctx context.Context, next segment) error {
	data, err := json.Marshal(next)
	if err != nil {
		return &LogError{key: rl.headKey(), cause: err}
	}
	wr := keyvalue.Write{Key: rl.headKey(), Value: data, WriteID: uuid.NewString(), Revision: rl.revision}
	en, err := rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	if err != nil {
		return err
	}
	rl.adopt(next, en.Revision())
	if len(data) >= segmentBytes {
		// A failure leaves a long head, which the next write tries to cut again.
		rl.cut(ctx)
	}
	return nil
}

// cut moves the records of a full head into a segment that never changes.
func (rl *rangeLog) cut(ctx context.Context) {
	data, err := json.Marshal(rl.head)
	if err != nil {
		return
	}
	key := rl.segmentKey(rl.revision)
	_, err = rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, keyvalue.Write{Key: key, Value: data, TTL: retention})
	var ce *keyvalue.ConflictError
	if err != nil && !errors.As(err, &ce) {
		return
	}
	next := segment{Previous: key}
	data, err = json.Marshal(next)
	if err != nil {
		return
	}
	wr := keyvalue.Write{Key: rl.headKey(), Value: data, Revision: rl.revision}
	en, err := rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	if err != nil {
		rl.isLoaded = false
		return
	}
	rl.segments[key] = true
	rl.head, rl.revision = next, en.Revision()
}
