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
	// rangeLog is one range as this host knows it. Only its run goroutine writes.
	rangeLog struct {
		opts   Options
		store  keyvalue.Store
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

func newRangeLog(number int, store keyvalue.Store, opts Options) *rangeLog {
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
		return Record{}, keyvalue.NewUnavailableError("booking look", err)
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

// reload reads the head, and the segments that were cut since.
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
	rl.adopt(sg, en.Revision())
	rl.isLoaded = true
	return nil
}

// loadSegments reads the segments from last backwards until one that is known or has expired.
func (rl *rangeLog) loadSegments(ctx context.Context, last string) error {
	if last == "" || rl.segments[last] {
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
