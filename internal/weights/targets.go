// Package weights tracks the weight versions that the operator selects as targets, and since when each has been
// the target. Engines with older weights may be used for a limited time after that.
package weights

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// maxRecordedVersions is how many versions of a model its record holds. Older ones have expired
	// long before.
	maxRecordedVersions = 6
	// recordInterval is the pause between checks for versions that are not recorded yet.
	recordInterval = time.Second
	// checkpointInterval is the time between two checkpoints. By so much the age of a version may be
	// overestimated after all hosts were down.
	checkpointInterval = 2 * time.Second
)

type (
	// Selection is the operator's choice of a model's target version.
	Selection struct {
		Model   string
		Version uint64
		// Item is the item of the metadata store that holds the choice.
		Item metastore.Item
	}

	// Options configures Targets. All fields are required.
	Options struct {
		Clock clock.Clock
		// SinceBoot returns the boot-time clock. It measures ages because it includes suspended time.
		SinceBoot func() time.Duration
		// Store holds the records.
		Store metastore.Store
		// RecordPrefix is the prefix of the keys of the records, which the name of the model follows.
		RecordPrefix string
		// CheckpointKey is the key of the checkpoint.
		CheckpointKey string
		// RecordDelay returns how long after a version became the target this host records it, if no other
		// host has, and how long after a checkpoint is due it writes one. It differs between hosts, so that
		// usually only one of them writes.
		RecordDelay func() time.Duration
		// MaxAge returns how long after a newer version became the target older weights may be used.
		MaxAge func() time.Duration
		Log    logrus.FieldLogger
	}

	// Targets holds the target versions of all models. The times are recorded in the metadata store, so that
	// a restarted host knows which weights have expired. A version that was selected while no host followed
	// the store has no record; its age counts from the last moment at which it was not yet selected, which
	// the checkpoint tells. Targets is safe for concurrent use.
	Targets struct {
		opts Options

		mu         sync.Mutex
		models     map[string]*model
		checkpoint checkpoint
		wall       wallClock
		// confirmedAt is the reading of SinceBoot at which this host last knew all changes of the store, and
		// confirmedRevision the newest revision that it had then applied.
		confirmedAt       time.Duration
		confirmedRevision metastore.Revision
		// isConfirmed reports whether the host has ever known all changes, isInterrupted whether it may have
		// missed some since confirmedAt; interruptedAt is when it learned that.
		isConfirmed, isInterrupted bool
		interruptedAt              time.Duration
	}

	// model holds the target versions of one model: the newest, the reading of SinceBoot since when each has
	// been the target, and which of them the stored record has, as of its revision.
	model struct {
		newest uint64
		since  map[uint64]time.Duration
		// notBefore holds for versions that this host saw being selected the last moment before, at which they
		// were not.
		notBefore map[uint64]time.Duration
		recorded  map[uint64]bool
		revision  metastore.Revision
		// expired is the newest version whose predecessors have been logged as expired.
		expired uint64
	}

	// record is the stored record of one model: since when each version has been the target, in Unix
	// milliseconds.
	record map[uint64]int64

	// pendingRecord is a record to be written, with the newest version that it has.
	pendingRecord struct {
		model  string
		newest uint64
		tx     metastore.Transaction
	}

	// checkpoint is a moment at which a host knew all changes of the store up to a revision and all versions
	// selected until then were recorded. A version whose item has a later revision was selected after it.
	checkpoint struct {
		// itemRevision is the revision of the checkpoint's item; zero means that there has been none.
		itemRevision metastore.Revision
		revision     metastore.Revision
		// at and seenAt are the readings of SinceBoot of that moment and of when this host learned of it.
		at, seenAt time.Duration
	}

	// storedCheckpoint is the value of the checkpoint's item; the time is in Unix milliseconds.
	storedCheckpoint struct {
		Revision metastore.Revision `json:"revision"`
		AtMs     int64              `json:"at-ms"`
	}
)

// New returns targets without versions.
func New(opts Options) *Targets {
	ta := &Targets{opts: opts, models: make(map[string]*model), isInterrupted: true, interruptedAt: opts.SinceBoot()}
	ta.checkpoint.seenAt = ta.interruptedAt
	ta.observeClocks()
	return ta
}

// Confirm states that the host has applied all changes of the metadata store up to confirmedAt, a reading of SinceBoot,
// the newest of which has the given revision. An interruption lasts until a moment after it is confirmed.
func (ta *Targets) Confirm(revision metastore.Revision, confirmedAt time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.confirmedAt, ta.confirmedRevision, ta.isConfirmed = confirmedAt, revision, true
	ta.isInterrupted = ta.isInterrupted && confirmedAt < ta.interruptedAt
}

// Interrupt states that the host may miss changes from now on, or has missed some.
func (ta *Targets) Interrupt() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.isInterrupted, ta.interruptedAt = true, ta.opts.SinceBoot()
}

// Restore states that the store was restored from a copy. What it has of the records and the checkpoint is applied after
// that; what it lacks is written again.
func (ta *Targets) Restore() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.checkpoint.itemRevision = metastore.Revision{}
	for _, mo := range ta.models {
		clear(mo.recorded)
		mo.revision = metastore.Revision{}
	}
}

// Select makes a version the target of its model. It returns false if the version is not newer than the current
// target.
func (ta *Targets) Select(se Selection) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.getOrCreate(se.Model)
	if se.Version <= mo.newest {
		return false
	}
	mo.newest = se.Version
	if !ta.isInterrupted {
		mo.notBefore[se.Version] = ta.confirmedAt
	}
	source := "record"
	if _, ok := mo.since[se.Version]; !ok {
		mo.since[se.Version], source = ta.earliestSelection(se.Item.Revision)
	}
	ta.opts.Log.WithFields(logrus.Fields{
		"model": se.Model, "version": se.Version, "revision": se.Item.Revision,
		"age-ms": (ta.opts.SinceBoot() - mo.since[se.Version]).Milliseconds(), "age-from": source,
	}).Info("Weights were named.")
	return true
}

// earliestSelection returns the earliest moment at which an item of the given revision, which this host has just
// read, may have been written, and what that moment is known from.
func (ta *Targets) earliestSelection(revision metastore.Revision) (at time.Duration, source string) {
	now := ta.opts.SinceBoot()
	if !ta.isInterrupted {
		return now, "change"
	}
	if !ta.checkpoint.itemRevision.IsZero() && (!ta.isConfirmed || !revision.After(ta.checkpoint.revision) || ta.checkpoint.at > ta.confirmedAt) {
		return ta.checkpoint.at, "checkpoint"
	}
	if ta.isConfirmed {
		return ta.confirmedAt, "contact"
	}
	return now, "reading"
}

// ApplyItem applies an item in which hosts keep what they know about targets: a record or the checkpoint. It
// ignores other items.
func (ta *Targets) ApplyItem(it metastore.Item) error {
	if it.Key == ta.opts.CheckpointKey && len(it.Value) > 0 {
		return ta.applyCheckpoint(it)
	}
	if name, ok := strings.CutPrefix(it.Key, ta.opts.RecordPrefix); ok && len(it.Value) > 0 {
		return ta.mergeRecord(name, it)
	}
	return nil
}

// fromUnixMilli returns the reading of SinceBoot at a time that a host has stored. Wall clocks differ between
// hosts; a time in the future counts as now.
func (ta *Targets) fromUnixMilli(ms int64) time.Duration {
	ta.observeClocks()
	return min(ta.wall.sinceBoot(ms), ta.opts.SinceBoot())
}

// observeClocks notes how far the wall clock is from the boot-time clock.
func (ta *Targets) observeClocks() { ta.wall.observe(ta.opts.Clock.Now(), ta.opts.SinceBoot()) }

// Target returns the target version of a model, zero if none has been selected.
func (ta *Targets) Target(name string) uint64 {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if mo := ta.models[name]; mo != nil {
		return mo.newest
	}
	return 0
}

// IsExpired reports whether a weight version may no longer be used, because a newer one has been the target for
// longer than the maximum age.
func (ta *Targets) IsExpired(name string, version uint64) bool {
	age, ok := ta.OutdatedFor(name, version)
	return ok && age > ta.opts.MaxAge()
}

// OutdatedFor returns for how long a newer version has been the target; ok is false if there is none.
func (ta *Targets) OutdatedFor(name string, version uint64) (age time.Duration, ok bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.models[name]
	if mo == nil || version >= mo.newest {
		return 0, false
	}
	now := ta.opts.SinceBoot()
	for newer, since := range mo.since {
		if newer > version {
			age, ok = max(age, now-since), true
		}
	}
	return age, ok
}

// Run writes records of versions that are not recorded yet, and checkpoints, until ctx ends.
func (ta *Targets) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ta.opts.Clock.After(recordInterval):
		}
		ta.logExpired()
		for _, pr := range ta.pendingRecords() {
			// Versions that the record of another host lacks are written at the next check.
			if ta.commit(ctx, pr.tx) {
				ta.markRecorded(pr)
			}
		}
		if tx, ok := ta.dueCheckpoint(); ok {
			ta.commit(ctx, tx)
		}
	}
}

// commit commits a transaction and reports whether it succeeded. A conflict means that another host was faster; after
// any other failure the next check tries again.
func (ta *Targets) commit(ctx context.Context, tx metastore.Transaction) bool {
	_, err := ta.opts.Store.Commit(ctx, tx)
	var conflict *metastore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		ta.opts.Log.WithFields(logrus.Fields{"key": tx.Puts[0].Key, "cause": err.Error()}).Info("Item was not written.")
	}
	return err == nil
}

// logExpired logs, once for each target, that older weights are no longer used.
func (ta *Targets) logExpired() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.observeClocks()
	now := ta.opts.SinceBoot()
	for name, mo := range ta.models {
		age := now - mo.since[mo.newest]
		if mo.expired == mo.newest || age <= ta.opts.MaxAge() {
			continue
		}
		mo.expired = mo.newest
		ta.opts.Log.WithFields(logrus.Fields{
			"model": name, "version": mo.newest, "age-ms": age.Milliseconds(), "max-age-ms": ta.opts.MaxAge().Milliseconds(),
		}).Info("Older weights are no longer used.")
	}
}

// getOrCreate returns the versions of a model, and creates them if there are none.
func (ta *Targets) getOrCreate(name string) *model {
	mo := ta.models[name]
	if mo == nil {
		mo = &model{since: make(map[uint64]time.Duration), notBefore: make(map[uint64]time.Duration), recorded: make(map[uint64]bool)}
		ta.models[name] = mo
	}
	return mo
}
