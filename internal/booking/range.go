package booking

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/lock"
	"github.com/bergamotway/bergamotway/internal/platform"
)

type (
	// rangeLog is one range as this host knows it. Only its run goroutine writes.
	rangeLog struct {
		opts   Options
		store  platform.Store
		prefix string
		queue  chan *submission

		// io is held while the log is read or written. It guards the fields up to segments.
		io       *lock.Lock
		isLoaded bool
		head     segment
		revision uint64
		segments map[string]bool

		// mu guards the fields below and the isAbandoned of submissions, for short times.
		mu    sync.Mutex
		index map[string]Record
		// backlog holds what must become durable in the end although nobody waits for it.
		backlog []*submission
	}

	submission struct {
		record Record
		// reply gets the result; it has room for one.
		reply chan result
		// isAbandoned means that nobody waits any more: an intent must then be released.
		isAbandoned bool
	}

	result struct {
		decision Decision
		err      error
	}
)

const (
	queueLength   = 1024
	backlogPeriod = time.Second
)

func newRangeLog(number int, store platform.Store, opts Options) *rangeLog {
	return &rangeLog{
		opts:     opts,
		store:    store,
		prefix:   fmt.Sprintf("booking/%02d/", number),
		queue:    make(chan *submission, queueLength),
		io:       lock.New(),
		index:    make(map[string]Record),
		segments: make(map[string]bool),
	}
}

func (rl *rangeLog) headKey() string { return rl.prefix + "head" }

func (rl *rangeLog) segmentKey(headRevision uint64) string {
	return fmt.Sprintf("%ssegment/%016x", rl.prefix, headRevision)
}

// submit hands a record to the writer and waits until it is durable or refused.
func (rl *rangeLog) submit(ctx context.Context, rec Record) (Decision, error) {
	rec.AtMs = rl.opts.Clock.Now().UnixMilli()
	if d, ok := rl.known(rec); ok {
		return d, nil
	}
	ctx, cancel := context.WithTimeout(ctx, rl.opts.CommitTimeout)
	defer cancel()
	sb := &submission{record: rec, reply: make(chan result, 1)}
	select {
	case rl.queue <- sb:
	case <-ctx.Done():
		return Decision{}, platform.NewUnavailableError("booking queue", ctx.Err())
	}
	select {
	case rs := <-sb.reply:
		return rs.decision, rs.err
	case <-ctx.Done():
		rl.abandon(sb)
		return Decision{}, platform.NewUnavailableError("booking commit", ctx.Err())
	}
}

// known answers from memory what can never change: a recorded answer.
func (rl *rangeLog) known(rec Record) (Decision, bool) {
	old := rl.get(rec.ID)
	if rec.State != Intended || old.State != Done {
		return Decision{}, false
	}
	return old.decide(Request{ID: rec.ID, Intent: rec.Intent, Body: rec.Body}), true
}

// abandon marks a submission that nobody waits for any more.
func (rl *rangeLog) abandon(sb *submission) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	sb.isAbandoned = true
	rl.keep(sb.record)
}

// keep puts what must become durable in the end into the backlog. An intent becomes a release,
// which is written even when the intent is not seen, because its write may still arrive: once
// the head has moved on, it cannot.
func (rl *rangeLog) keep(rec Record) {
	if rec.State == Intended {
		rec.State = Released
	}
	rl.backlog = append(rl.backlog, &submission{record: rec, reply: make(chan result, 1)})
}

func (rl *rangeLog) look(ctx context.Context, id string) (Record, error) {
	if rec := rl.get(id); rec.State == Done {
		return rec, nil
	}
	if err := rl.io.Acquire(ctx); err != nil {
		return Record{}, platform.NewUnavailableError("booking look", err)
	}
	defer rl.io.Release()
	if err := rl.reload(ctx); err != nil {
		return Record{}, err
	}
	return rl.get(id), nil
}

func (rl *rangeLog) get(id string) Record {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.index[id]
}

func (rl *rangeLog) run(ctx context.Context) {
	for {
		var batch []*submission
		select {
		case <-ctx.Done():
			return
		case sb := <-rl.queue:
			batch = append(batch, sb)
		case <-rl.opts.Clock.After(backlogPeriod):
			batch = rl.takeBacklog()
		}
		if len(batch) > 0 {
			rl.commit(ctx, rl.gather(ctx, batch))
		}
	}
}

func (rl *rangeLog) takeBacklog() []*submission {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	out := rl.backlog
	rl.backlog = nil
	return out
}

func (rl *rangeLog) gather(ctx context.Context, batch []*submission) []*submission {
	linger := rl.opts.Clock.After(rl.opts.Linger)
	for len(batch) < queueLength {
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
	wr := platform.Write{Key: rl.headKey(), Value: data, WriteID: uuid.NewString(), Revision: rl.revision}
	en, err := rl.store.CompareAndSwap(ctx, platform.PurposeBooking, wr)
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
	_, err = rl.store.CompareAndSwap(ctx, platform.PurposeBooking, platform.Write{Key: key, Value: data, TTL: retention})
	var ce *platform.ConflictError
	if err != nil && !errors.As(err, &ce) {
		return
	}
	next := segment{Previous: key}
	data, err = json.Marshal(next)
	if err != nil {
		return
	}
	wr := platform.Write{Key: rl.headKey(), Value: data, Revision: rl.revision}
	en, err := rl.store.CompareAndSwap(ctx, platform.PurposeBooking, wr)
	if err != nil {
		rl.isLoaded = false
		return
	}
	rl.segments[key] = true
	rl.head, rl.revision = next, en.Revision()
}

// reload reads the head, and the segments that were cut since.
func (rl *rangeLog) reload(ctx context.Context) error {
	en, err := rl.store.Get(ctx, platform.PurposeBooking, rl.headKey())
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
	rl.adopt(sg, en.Revision())
	rl.isLoaded = true
	return nil
}

// loadSegments reads the segments from last backwards until one that is known or has expired.
func (rl *rangeLog) loadSegments(ctx context.Context, last string) error {
	if last == "" || rl.segments[last] {
		return nil
	}
	ens, err := rl.store.List(ctx, platform.PurposeBooking, rl.prefix+"segment/")
	if err != nil {
		return err
	}
	byKey := make(map[string]platform.Entry, len(ens))
	for _, en := range ens {
		byKey[en.Key()] = en
	}
	var chain []segment
	for key := last; key != "" && !rl.segments[key]; {
		en, ok := byKey[key]
		if !ok {
			break
		}
		sg, err := parseSegment(key, en.Value())
		if err != nil {
			return err
		}
		rl.segments[key] = true
		chain = append(chain, sg)
		key = sg.Previous
	}
	slices.Reverse(chain)
	for _, sg := range chain {
		rl.remember(sg.Records)
	}
	return nil
}

func (rl *rangeLog) adopt(sg segment, revision uint64) {
	rl.head, rl.revision = sg, revision
	rl.remember(sg.Records)
	rl.expire()
}

func (rl *rangeLog) remember(recs []Record) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, rec := range recs {
		if old, ok := rl.index[rec.ID]; ok && old.State == Done && rec.State != Done {
			continue
		}
		rl.index[rec.ID] = rec
	}
}

func (rl *rangeLog) expire() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	limit := rl.opts.Clock.Now().Add(-retention - time.Hour).UnixMilli()
	for id, rec := range rl.index {
		if rec.AtMs < limit {
			delete(rl.index, id)
		}
	}
}
