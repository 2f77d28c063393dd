package booking

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

// commit writes a batch with one compare-and-swap and retries it after a failure. A conflict means that
// another host wrote to the log; the log is then read again and a new decision is made on each
// submission. If all attempts fail, the callers get the error and the records go to the backlog.
func (rl *rangeLog) commit(ctx context.Context, batch []*submission) {
	var lastErr error
	for range maxCommitAttempts {
		lastErr = rl.lockAndCommit(ctx, batch)
		if lastErr == nil {
			return
		}
		if ctx.Err() != nil {
			break
		}
		<-rl.opts.Clock.After(commitRetryDelay)
	}
	for _, sb := range batch {
		sb.reply <- result{err: lastErr}
		rl.retryLater(sb)
	}
}

// lockAndCommit calls tryCommit while it holds storeLock. After a failure the log must be read again.
func (rl *rangeLog) lockAndCommit(ctx context.Context, batch []*submission) error {
	if err := rl.storeLock.Acquire(ctx); err != nil {
		return err
	}
	defer rl.storeLock.Release()
	err := rl.tryCommit(ctx, batch)
	if err != nil {
		rl.isLoaded = false
	}
	return err
}

// retryLater adds a record that did not become durable to the backlog, unless abandon already did.
func (rl *rangeLog) retryLater(sb *submission) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !sb.isAbandoned {
		rl.addToBacklog(sb.record)
	}
}

// tryCommit makes the decisions on a batch, writes the head if there are new records, and sends the
// decisions to the callers.
func (rl *rangeLog) tryCommit(ctx context.Context, batch []*submission) error {
	justReloaded := !rl.isLoaded
	if justReloaded {
		if err := rl.reload(ctx); err != nil {
			return err
		}
	}
	next, decisions := rl.decideBatch(batch)
	if !justReloaded && slices.ContainsFunc(decisions, Decision.mayBeStale) {
		// The decision may rest on a stale record, because another host may have written to the log.
		if err := rl.reload(ctx); err != nil {
			return err
		}
		next, decisions = rl.decideBatch(batch)
	}
	if len(next.Records) > len(rl.head.Records) {
		if err := rl.writeHead(ctx, next); err != nil {
			return err
		}
	}
	for i, sb := range batch {
		sb.reply <- result{decision: decisions[i]}
	}
	return nil
}

// decideBatch returns the head to write, and the decisions that are valid once it is written.
func (rl *rangeLog) decideBatch(batch []*submission) (segment, []Decision) {
	decisions := make([]Decision, len(batch))
	next := segment{Previous: rl.head.Previous, Records: slices.Clone(rl.head.Records)}
	batchRecords := make(map[string]Record)
	for i, sb := range batch {
		rec, d := rl.decide(sb, batchRecords)
		decisions[i] = d
		if rec.State != Absent {
			batchRecords[rec.BookingID] = rec
			next.Records = append(next.Records, rec)
		}
	}
	return next, decisions
}

// decide returns the record to write, if any, and the decision that is valid once it is written.
// BatchRecords holds the records of the same batch by booking ID. They count as already written.
func (rl *rangeLog) decide(sb *submission, batchRecords map[string]Record) (Record, Decision) {
	rec := sb.record
	old, ok := batchRecords[rec.BookingID]
	if !ok {
		old = rl.cachedRecord(rec.BookingID)
	}
	if rec.State == Intended {
		if rl.isAbandoned(sb) {
			return Record{}, Decision{}
		}
		if d := old.decide(Attempt{BookingID: rec.BookingID, AttemptID: rec.AttemptID, RequestHash: rec.RequestHash}); d.Verdict != 0 {
			return Record{}, d
		}
		return rec, Decision{Verdict: Proceed}
	}
	// Only the attempt that recorded the intent may change the state of the booking. If the booking has no
	// record, a release is still written, because a late write of the intent then fails on the new
	// revision of the head.
	if old.State != Absent && old.AttemptID != rec.AttemptID {
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

// writeHead replaces the head by next, and moves its records to a segment if it is full.
func (rl *rangeLog) writeHead(ctx context.Context, next segment) error {
	data, err := json.Marshal(next)
	if err != nil {
		return &EntryError{key: rl.headKey(), cause: err}
	}
	wr := keyvalue.Write{Key: rl.headKey(), Value: data, WriteID: uuid.NewString(), Revision: rl.headRevision}
	en, err := rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	if err != nil {
		return err
	}
	rl.setHead(next, en.Revision())
	if len(data) >= minSegmentBytes {
		// If this fails, the head stays full and the next write tries again.
		rl.moveHeadToSegment(ctx)
	}
	return nil
}

// moveHeadToSegment copies a full head to a segment and then replaces it by an empty one. A conflict on
// the segment means that it already exists with the same content, as its key contains the revision.
func (rl *rangeLog) moveHeadToSegment(ctx context.Context) {
	data, err := json.Marshal(rl.head)
	if err != nil {
		return
	}
	key := rl.segmentKey(rl.headRevision)
	_, err = rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, keyvalue.Write{Key: key, Value: data, TTL: entryTTL})
	var ce *keyvalue.ConflictError
	if err != nil && !errors.As(err, &ce) {
		return
	}
	next := segment{Previous: key}
	data, err = json.Marshal(next)
	if err != nil {
		return
	}
	wr := keyvalue.Write{Key: rl.headKey(), Value: data, Revision: rl.headRevision}
	en, err := rl.store.CompareAndSwap(ctx, keyvalue.PurposeBooking, wr)
	if err != nil {
		rl.isLoaded = false
		return
	}
	rl.loadedSegments[key] = true
	rl.head, rl.headRevision = next, en.Revision()
}
