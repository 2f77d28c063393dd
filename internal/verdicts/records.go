// Package verdicts keeps the verdicts on parts of prompts that crash endpoints in the metadata store, so that they
// remain in force after all hosts have been down, and so that operators can list, set and remove them.
package verdicts

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// checkInterval is the pause between checks for items that are due to be written or removed, maxChanges
	// bounds those of one check.
	checkInterval = time.Second
	maxChanges    = 4
	// maxItems bounds the items that hosts write.
	maxItems = 32
	// minCrashDelay is how much later than in its item the last crash of a verdict must be for the item to be
	// written again, as each write costs.
	minCrashDelay = 5 * time.Second
	// clearedRetention is how long verdicts from before an item's removal are ignored.
	clearedRetention = time.Minute
)

type (
	// Tracker holds the verdicts that are in force at this host.
	Tracker interface {
		// Verdicts returns the verdicts, the strongest first.
		Verdicts() []quarantine.Verdict
		// Merge adopts a verdict. It returns false if a response has cleared the part since.
		Merge(ve quarantine.Verdict) bool
		// Release clears a part by an operator's order.
		Release(part string)
	}

	// Options configures Records. All fields are required.
	Options struct {
		Clock   clock.Clock
		Store   metastore.Store
		Tracker Tracker
		// Prefix is the prefix of the keys.
		Prefix string
		// RecordDelay returns how long after a change is due this host writes it, if no other host has. It
		// differs between hosts, so that usually only one of them writes.
		RecordDelay func() time.Duration
		Log         logrus.FieldLogger
	}

	// Records keeps the items of the metadata store and the verdicts of a tracker the same. It is safe for
	// concurrent use.
	Records struct {
		opts Options

		mu sync.Mutex
		// The maps are keyed by the keys of the items.
		items map[string]item
		// cleared holds when a part was cleared here or its item was removed by another writer.
		cleared map[string]time.Time
		// dueSince holds since when a change of an item has been due.
		dueSince map[string]time.Time
		// isRestored is set until the first snapshot after the store was restored from a copy has been applied.
		isRestored bool
	}

	// item is an item as of a revision. Its verdict is zero if it could not be decoded.
	item struct {
		verdict  quarantine.Verdict
		revision metastore.Revision
	}

	// change is a change of an item that is due: a removal, or a write of the verdict.
	change struct {
		key       string
		verdict   quarantine.Verdict
		revision  metastore.Revision
		isRemoval bool
	}
)

// New returns records that know no items.
func New(opts Options) *Records {
	return &Records{
		opts: opts, items: make(map[string]item), cleared: make(map[string]time.Time), dueSince: make(map[string]time.Time),
	}
}

// ApplySnapshot replaces the known items by those of a complete snapshot of the store.
func (re *Records) ApplySnapshot(sn metastore.Snapshot) {
	found := make(map[string]bool)
	for _, it := range sn.Items {
		if strings.HasPrefix(it.Key, re.opts.Prefix) {
			found[it.Key] = true
			re.applyItem(it)
		}
	}
	for _, key := range re.knownKeys() {
		if !found[key] {
			re.applyRemoval(key, sn.Revision)
		}
	}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.isRestored = false
}

// Restore states that the store was restored from a copy. The snapshot that is applied after that has the items of the copy;
// what it lacks was not removed, and is written again while the verdict is in force.
func (re *Records) Restore() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.items, re.isRestored = make(map[string]item), true
}

// ApplyEvent applies a change of an item. It ignores items of others.
func (re *Records) ApplyEvent(ev metastore.Event) {
	switch {
	case !strings.HasPrefix(ev.Item.Key, re.opts.Prefix):
	case ev.Removed:
		re.applyRemoval(ev.Item.Key, ev.Item.Revision)
	default:
		re.applyItem(ev.Item)
	}
}

// NoteCleared states that a response has cleared a part.
func (re *Records) NoteCleared(part string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.cleared[Key(re.opts.Prefix, part)] = re.opts.Clock.Now()
}

// Run writes and removes items until ctx ends.
func (re *Records) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-re.opts.Clock.After(checkInterval):
		}
		re.restoreVerdicts()
		for _, ch := range re.dueChanges() {
			re.commit(ctx, ch)
		}
	}
}

func (re *Records) knownKeys() []string {
	re.mu.Lock()
	defer re.mu.Unlock()
	out := make([]string, 0, len(re.items))
	for key := range re.items {
		out = append(out, key)
	}
	return out
}

func (re *Records) applyItem(it metastore.Item) {
	ve, err := Decode(it.Value, re.opts.Clock.Now())
	if err == nil && Key(re.opts.Prefix, ve.Part) != it.Key {
		err = &KeyError{key: it.Key, part: ve.Part}
	}
	if err != nil {
		re.opts.Log.WithFields(logrus.Fields{"key": it.Key, "cause": err.Error()}).Warn("Record of a verdict is invalid.")
		ve = quarantine.Verdict{}
	}
	if re.adopt(it.Key, item{verdict: ve, revision: it.Revision}) && !re.opts.Tracker.Merge(ve) {
		re.NoteCleared(ve.Part)
	}
}

// adopt stores a version of an item and reports whether its verdict is to be merged.
func (re *Records) adopt(key string, it item) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	if !it.revision.After(re.items[key].revision) {
		return false
	}
	re.items[key] = it
	// What an operator writes counts even if the part was cleared before, unless it is from before, as in a copy.
	isOld := re.isRestored || !it.verdict.ByOperator
	if it.verdict.Part == "" || isOld && re.isCleared(key, it.verdict) {
		return false
	}
	delete(re.cleared, key)
	return true
}

func (re *Records) applyRemoval(key string, revision metastore.Revision) {
	part, ok := re.forget(key, revision)
	if !ok {
		return
	}
	// A part without a verdict keeps the crashes that were detected after it was cleared.
	if slices.ContainsFunc(re.opts.Tracker.Verdicts(), func(ve quarantine.Verdict) bool { return ve.Part == part }) {
		re.opts.Tracker.Release(part)
	}
}

// forget deletes an item that was removed. It returns its part if that is to be released: the part was not cleared
// here before, nor had the verdict expired.
func (re *Records) forget(key string, revision metastore.Revision) (part string, ok bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	it, ok := re.items[key]
	if !ok || !it.revision.Before(revision) {
		return "", false
	}
	delete(re.items, key)
	now := re.opts.Clock.Now()
	if it.verdict.Part == "" || it.verdict.IsExpired(now) || re.isCleared(key, it.verdict) {
		return "", false
	}
	re.cleared[key] = now
	return it.verdict.Part, true
}

// isCleared reports whether a part was cleared after the last crash of a verdict.
func (re *Records) isCleared(key string, ve quarantine.Verdict) bool {
	at, ok := re.cleared[key]
	return ok && !ve.LastCrash.After(at)
}

// restoreVerdicts makes the tracker agree with the store: it releases parts whose verdicts have returned from a host
// that did not know of the removal, and merges the verdicts of operators that the tracker lacks.
func (re *Records) restoreVerdicts() {
	released, missing := re.findDifferences(re.opts.Tracker.Verdicts())
	for _, part := range released {
		re.opts.Tracker.Release(part)
	}
	for _, ve := range missing {
		re.opts.Tracker.Merge(ve)
	}
}

// findDifferences returns the parts that the tracker must release and the verdicts that it must merge.
func (re *Records) findDifferences(verdicts []quarantine.Verdict) (released []string, missing []quarantine.Verdict) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.opts.Clock.Now()
	inForce := make(map[string]bool, len(verdicts))
	for _, ve := range verdicts {
		key := Key(re.opts.Prefix, ve.Part)
		inForce[key] = true
		if !ve.ByOperator && re.isCleared(key, ve) {
			released = append(released, ve.Part)
		}
	}
	for key, it := range re.items {
		if it.verdict.ByOperator && !inForce[key] && !re.isCleared(key, it.verdict) && !it.verdict.IsExpired(now) {
			missing = append(missing, it.verdict)
		}
	}
	return released, missing
}

// dueChanges returns the changes which have been due for long enough for this host to make them.
func (re *Records) dueChanges() []change {
	verdicts := re.opts.Tracker.Verdicts()
	re.mu.Lock()
	defer re.mu.Unlock()
	now := re.opts.Clock.Now()
	changes := re.findChanges(verdicts, now)
	dueSince := make(map[string]time.Time, len(changes))
	var out []change
	for _, ch := range changes {
		since, ok := re.dueSince[ch.key]
		if !ok {
			since = now
		}
		dueSince[ch.key] = since
		if now.Sub(since) >= re.opts.RecordDelay() && len(out) < maxChanges {
			out = append(out, ch)
		}
	}
	re.dueSince = dueSince
	for key, at := range re.cleared {
		if _, ok := re.items[key]; !ok && now.Sub(at) > clearedRetention {
			delete(re.cleared, key)
		}
	}
	return out
}

// findChanges returns the changes that make the items agree with the verdicts.
func (re *Records) findChanges(verdicts []quarantine.Verdict, now time.Time) []change {
	var out []change
	isKept := make(map[string]bool)
	count := len(re.items)
	for _, ve := range verdicts[:min(len(verdicts), maxItems)] {
		key := Key(re.opts.Prefix, ve.Part)
		if re.isCleared(key, ve) {
			continue
		}
		isKept[key] = true
		it, isKnown := re.items[key]
		if !isKnown {
			count++
		}
		if it.needsWrite(ve, now) && (isKnown || count <= maxItems) {
			out = append(out, change{key: key, verdict: ve, revision: it.revision})
		}
	}
	for key, it := range re.items {
		if it.verdict.Part != "" && !isKept[key] && (it.verdict.IsExpired(now) || re.isCleared(key, it.verdict)) {
			out = append(out, change{key: key, verdict: it.verdict, revision: it.revision, isRemoval: true})
		}
	}
	return out
}

// needsWrite reports whether an item is to be written because of a verdict. What an operator has set stays until the
// block ends.
func (it item) needsWrite(ve quarantine.Verdict, now time.Time) bool {
	if it.verdict.ByOperator && now.Before(it.verdict.BlockedUntil()) {
		return false
	}
	return ve.Strikes > it.verdict.Strikes || ve.LastCrash.Sub(it.verdict.LastCrash) > minCrashDelay
}

// commit makes a change. A conflict means that another writer was faster; after any other failure the next check
// tries again.
func (re *Records) commit(ctx context.Context, ch change) {
	lg := re.opts.Log.WithFields(logrus.Fields{"key": ch.key, "prompt-part": ch.verdict.Part})
	tx := metastore.Transaction{Preconditions: []metastore.Precondition{{Key: ch.key, Revision: ch.revision}}}
	if ch.isRemoval {
		tx.Removals = []string{ch.key}
	} else {
		value, err := Encode(ch.verdict)
		if err != nil {
			lg.WithField("cause", err.Error()).Error("Verdict was not encoded.")
			return
		}
		tx.Puts = []metastore.Put{{Key: ch.key, Value: value}}
	}
	revision, err := re.opts.Store.Commit(ctx, tx)
	var conflict *metastore.ConflictError
	switch {
	case errors.As(err, &conflict):
	case err != nil:
		lg.WithField("cause", err.Error()).Info("Item was not written.")
	default:
		re.noteCommitted(ch, revision)
		lg.WithFields(logrus.Fields{"removed": ch.isRemoval, "revision": revision}).Info("Record of a verdict changed.")
	}
}

// noteCommitted applies an own change, unless a newer one has been applied already.
func (re *Records) noteCommitted(ch change, revision metastore.Revision) {
	re.mu.Lock()
	defer re.mu.Unlock()
	switch {
	case !re.items[ch.key].revision.Before(revision):
	case ch.isRemoval:
		delete(re.items, ch.key)
	default:
		re.items[ch.key] = item{verdict: ch.verdict, revision: revision}
	}
}
