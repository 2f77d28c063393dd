package booking

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/lock"
)

type (
	// rangeLog gives this host access to the log of one range. Within a host only run writes to the log.
	rangeLog struct {
		opts   Options
		store  keyvalue.Store
		prefix string
		queue  chan *submission

		// storeLock is held while the log is read or written. It guards the fields up to loadedSegments.
		storeLock *lock.Lock
		// isLoaded is false until the log is read for the first time, and after a failed commit.
		isLoaded     bool
		head         segment
		headRevision uint64
		// loadedSegments holds the keys of the segments whose records have been read.
		loadedSegments map[string]bool

		// mu guards the fields below and submission.isAbandoned. It is never held during I/O.
		mu sync.Mutex
		// records holds the latest known record of each booking by its ID.
		records map[string]Record
		// backlog holds the submissions that must eventually become durable but have no waiting caller.
		backlog []*submission
	}

	// submission is a record that waits to be written.
	submission struct {
		record Record
		// reply receives the result. It is buffered, so that the writer never blocks on a caller that no
		// longer waits.
		reply chan result
		// isAbandoned reports whether the caller no longer waits. Its intent must not be written then, and
		// is released in case it already was.
		isAbandoned bool
	}

	// result is the decision on a submission, or the error because of which its record may not be durable.
	result struct {
		decision Decision
		err      error
	}
)

const (
	// queueCapacity bounds the submissions in the queue, and those that are collected for one batch.
	queueCapacity = 1024
	// backlogIdleTime is how long no submission must arrive before the backlog is written.
	backlogIdleTime = time.Second
)

func newRangeLog(number int, store keyvalue.Store, opts Options) *rangeLog {
	return &rangeLog{
		opts:           opts,
		store:          store,
		prefix:         fmt.Sprintf("booking/%02d/", number),
		queue:          make(chan *submission, queueCapacity),
		storeLock:      lock.New(),
		records:        make(map[string]Record),
		loadedSegments: make(map[string]bool),
	}
}

func (rl *rangeLog) headKey() string { return rl.prefix + "head" }

// segmentKey returns the key of the segment that is copied from the head at headRevision.
func (rl *rangeLog) segmentKey(headRevision uint64) string {
	return fmt.Sprintf("%ssegment/%016x", rl.prefix, headRevision)
}

// submit passes a record to the writer and waits for the decision, which comes once the record is durable
// or is not to be written.
func (rl *rangeLog) submit(ctx context.Context, rec Record) (Decision, error) {
	rec.AtMs = rl.opts.Clock.Now().UnixMilli()
	if d, ok := rl.decideFromMemory(rec); ok {
		return d, nil
	}
	ctx, cancel := context.WithTimeout(ctx, rl.opts.CommitTimeout)
	defer cancel()
	sb := &submission{record: rec, reply: make(chan result, 1)}
	select {
	case rl.queue <- sb:
	case <-ctx.Done():
		return Decision{}, keyvalue.NewUnavailableError("booking queue", ctx.Err())
	}
	select {
	case rs := <-sb.reply:
		return rs.decision, rs.err
	case <-ctx.Done():
		rl.abandon(sb)
		return Decision{}, keyvalue.NewUnavailableError("booking commit", ctx.Err())
	}
}

// decideFromMemory returns the decision on an intent whose booking is known to be Done, and false in any
// other case. No later record can change that state, so the log need not be read.
func (rl *rangeLog) decideFromMemory(rec Record) (Decision, bool) {
	old := rl.cachedRecord(rec.BookingID)
	if rec.State != Intended || old.State != Done {
		return Decision{}, false
	}
	return old.decide(Attempt{BookingID: rec.BookingID, AttemptID: rec.AttemptID, RequestHash: rec.RequestHash}), true
}

// abandon marks a submission whose caller no longer waits, and adds its record to the backlog.
func (rl *rangeLog) abandon(sb *submission) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	sb.isAbandoned = true
	rl.addToBacklog(sb.record)
}

// addToBacklog adds a record that must eventually become durable to the backlog. An intent is replaced by
// a release. The release is written even if the log does not contain the intent, because the write of
// the intent may still be on its way; a new revision of the head makes that write fail. The caller must
// hold mu.
func (rl *rangeLog) addToBacklog(rec Record) {
	if rec.State == Intended {
		rec.State = Released
	}
	rl.backlog = append(rl.backlog, &submission{record: rec, reply: make(chan result, 1)})
}

// lookup returns the latest record of a booking. It reads the log unless the booking is known to be Done,
// which never changes.
func (rl *rangeLog) lookup(ctx context.Context, id string) (Record, error) {
	if rec := rl.cachedRecord(id); rec.State == Done {
		return rec, nil
	}
	if err := rl.storeLock.Acquire(ctx); err != nil {
		return Record{}, keyvalue.NewUnavailableError("booking look", err)
	}
	defer rl.storeLock.Release()
	if err := rl.reload(ctx); err != nil {
		return Record{}, err
	}
	return rl.cachedRecord(id), nil
}

// cachedRecord returns the latest record of a booking that this host has read or written.
func (rl *rangeLog) cachedRecord(id string) Record {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.records[id]
}

// run writes submissions in batches until ctx ends.
func (rl *rangeLog) run(ctx context.Context) {
	for {
		var batch []*submission
		select {
		case <-ctx.Done():
			return
		case sb := <-rl.queue:
			batch = append(batch, sb)
		case <-rl.opts.Clock.After(backlogIdleTime):
			batch = rl.drainBacklog()
		}
		if len(batch) > 0 {
			rl.commit(ctx, rl.collectBatch(ctx, batch))
		}
	}
}

// drainBacklog empties the backlog and returns its submissions.
func (rl *rangeLog) drainBacklog() []*submission {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	out := rl.backlog
	rl.backlog = nil
	return out
}

// collectBatch adds the submissions that arrive within Linger to batch, up to queueCapacity in total.
func (rl *rangeLog) collectBatch(ctx context.Context, batch []*submission) []*submission {
	linger := rl.opts.Clock.After(rl.opts.Linger)
	for len(batch) < queueCapacity {
		select {
		case sb := <-rl.queue:
			batch = append(batch, sb)
		case <-linger:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// reload reads the head and the segments that were created since the last read. The caller must hold
// storeLock.
func (rl *rangeLog) reload(ctx context.Context) error {
	en, err := rl.store.Get(ctx, keyvalue.PurposeBooking, rl.headKey())
	if err != nil {
		return err
	}
	sg, err := parseSegment(rl.headKey(), en.Value())
	if err != nil {
		return err
	}
	if err = rl.loadSegments(ctx, sg.Previous); err != nil {
		return err
	}
	rl.setHead(sg, en.Revision())
	rl.isLoaded = true
	return nil
}

// loadSegments reads the segments from the one with the key last backwards until one that is already
// loaded or has expired.
func (rl *rangeLog) loadSegments(ctx context.Context, last string) error {
	if last == "" || rl.loadedSegments[last] {
		return nil
	}
	ens, err := rl.store.List(ctx, keyvalue.PurposeBooking, rl.prefix+"segment/")
	if err != nil {
		return err
	}
	byKey := make(map[string]keyvalue.Entry, len(ens))
	for _, en := range ens {
		byKey[en.Key()] = en
	}
	var chain []segment
	for key := last; key != "" && !rl.loadedSegments[key]; {
		en, ok := byKey[key]
		if !ok {
			break
		}
		sg, err := parseSegment(key, en.Value())
		if err != nil {
			return err
		}
		rl.loadedSegments[key] = true
		chain = append(chain, sg)
		key = sg.Previous
	}
	slices.Reverse(chain)
	for _, sg := range chain {
		rl.updateRecords(sg.Records)
	}
	return nil
}

// setHead stores the head as it was read or written at headRevision.
func (rl *rangeLog) setHead(sg segment, headRevision uint64) {
	rl.head, rl.headRevision = sg, headRevision
	rl.updateRecords(sg.Records)
	rl.removeExpiredRecords()
}

// updateRecords adds recs to the known records. A record that is Done is replaced only by another one
// that is Done.
func (rl *rangeLog) updateRecords(recs []Record) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, rec := range recs {
		if old, ok := rl.records[rec.BookingID]; ok && old.State == Done && rec.State != Done {
			continue
		}
		rl.records[rec.BookingID] = rec
	}
}

// removeExpiredRecords removes from memory the records that are more than an hour older than entryTTL.
func (rl *rangeLog) removeExpiredRecords() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	oldestAtMs := rl.opts.Clock.Now().Add(-entryTTL - time.Hour).UnixMilli()
	for id, rec := range rl.records {
		if rec.AtMs < oldestAtMs {
			delete(rl.records, id)
		}
	}
}
