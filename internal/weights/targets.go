// Package weights tracks the weight versions that the operator selects as targets, and since when each has been
// the target. Engines with older weights may be used for a limited time after that.
package weights

import (
	"context"
	"encoding/json"
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
		// Store holds the records.
		Store metastore.Store
		// RecordPrefix is the prefix of the keys of the records, which the name of the model follows.
		RecordPrefix string
		// RecordDelay returns how long after a version became the target this host records it, if no other
		// host has. It differs between hosts, so that usually only one of them writes.
		RecordDelay func() time.Duration
		// MaxAge returns how long after a newer version became the target older weights may be used.
		MaxAge func() time.Duration
		Log    logrus.FieldLogger
	}

	// Targets holds the target versions of all models. The times are recorded in the metadata store, so that
	// a restarted host knows which weights have expired. It is safe for concurrent use.
	Targets struct {
		opts Options

		mu     sync.Mutex
		models map[string]*model
	}

	// model holds the target versions of one model: the newest, since when each has been the target, and
	// which of them the stored record has, as of its revision.
	model struct {
		newest   uint64
		since    map[uint64]time.Time
		recorded map[uint64]bool
		revision uint64
		// expired is the newest version whose predecessors have been logged as expired.
		expired uint64
	}

	// record is the stored record of one model: since when each version has been the target, in Unix
	// milliseconds.
	record map[uint64]int64
)

// New returns targets without versions.
func New(opts Options) *Targets {
	return &Targets{opts: opts, models: make(map[string]*model)}
}

// Select makes a version the target of its model. It does nothing and returns false if the version is not newer
// than the current target.
func (ta *Targets) Select(se Selection) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.getOrCreate(se.Model)
	if se.Version <= mo.newest {
		return false
	}
	mo.newest = se.Version
	source := "record"
	if _, ok := mo.since[se.Version]; !ok {
		mo.since[se.Version], source = ta.opts.Clock.Now(), "reading"
	}
	ta.opts.Log.WithFields(logrus.Fields{
		"model": se.Model, "version": se.Version, "revision": se.Item.Revision,
		"age-ms": ta.opts.Clock.Now().Sub(mo.since[se.Version]).Milliseconds(), "age-from": source,
	}).Info("Weights were named.")
	return true
}

// MergeRecord merges a stored record: of two times for a version the earlier one counts. Items that are not
// records are ignored.
func (ta *Targets) MergeRecord(it metastore.Item) error {
	name, ok := strings.CutPrefix(it.Key, ta.opts.RecordPrefix)
	if !ok || len(it.Value) == 0 {
		return nil
	}
	var rec record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return errors.Wrapf(err, "weights: decode record of model %q", name)
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.getOrCreate(name)
	mo.revision = it.Revision
	now := ta.opts.Clock.Now()
	clear(mo.recorded)
	for version, ms := range rec {
		mo.recorded[version] = true
		// Wall clocks differ between hosts; a time in the future counts as now.
		at := now.Add(-max(0, now.Sub(time.UnixMilli(ms))))
		if known, ok := mo.since[version]; !ok || at.Before(known) {
			mo.since[version] = at
		}
	}
	return nil
}

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
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.models[name]
	if mo == nil || version >= mo.newest {
		return false
	}
	now := ta.opts.Clock.Now()
	for newer, since := range mo.since {
		if newer > version && now.Sub(since) > ta.opts.MaxAge() {
			return true
		}
	}
	return false
}

// Run writes records of versions that are not recorded yet, until ctx ends.
func (ta *Targets) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ta.opts.Clock.After(recordInterval):
		}
		ta.logExpired()
		for name, tx := range ta.pendingRecords() {
			// A conflict means that another host has written the record. Versions that it lacks
			// are written at the next check.
			if _, err := ta.opts.Store.Commit(ctx, tx); err == nil {
				ta.markRecorded(name)
			}
		}
	}
}

// logExpired logs, once for each target, that older weights are no longer used.
func (ta *Targets) logExpired() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	now := ta.opts.Clock.Now()
	for name, mo := range ta.models {
		age := now.Sub(mo.since[mo.newest])
		if mo.expired == mo.newest || age <= ta.opts.MaxAge() {
			continue
		}
		mo.expired = mo.newest
		ta.opts.Log.WithFields(logrus.Fields{
			"model": name, "version": mo.newest, "age-ms": age.Milliseconds(), "max-age-ms": ta.opts.MaxAge().Milliseconds(),
		}).Info("Older weights are no longer used.")
	}
}

// pendingRecords returns, by model, the transactions that record targets which are not recorded yet and are old
// enough for this host to do so.
func (ta *Targets) pendingRecords() map[string]metastore.Transaction {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	now := ta.opts.Clock.Now()
	out := make(map[string]metastore.Transaction)
	for name, mo := range ta.models {
		if mo.newest == 0 || mo.recorded[mo.newest] || now.Sub(mo.since[mo.newest]) < ta.opts.RecordDelay() {
			continue
		}
		rec := make(record, maxRecordedVersions)
		for version, since := range mo.since {
			if version+maxRecordedVersions > mo.newest {
				rec[version] = since.UnixMilli()
			}
		}
		value, err := json.Marshal(rec)
		if err != nil {
			continue
		}
		key := ta.opts.RecordPrefix + name
		out[name] = metastore.Transaction{
			Preconditions: []metastore.Precondition{{Key: key, Revision: mo.revision}},
			Puts:          []metastore.Put{{Key: key, Value: value}},
		}
	}
	return out
}

// markRecorded marks the target of a model as recorded.
func (ta *Targets) markRecorded(name string) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.getOrCreate(name)
	mo.recorded[mo.newest] = true
}

// getOrCreate returns the versions of a model, and creates them if there are none.
func (ta *Targets) getOrCreate(name string) *model {
	mo := ta.models[name]
	if mo == nil {
		mo = &model{since: make(map[uint64]time.Time), recorded: make(map[uint64]bool)}
		ta.models[name] = mo
	}
	return mo
}
