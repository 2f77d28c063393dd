package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// maxRecordedVersions is how many versions of a model its record holds. Older ones have expired
	// long before.
	maxRecordedVersions = 6
	// recordInterval is the pause between checks for versions that are not recorded yet, and
	// recordDelayPerRank the delay per rank before a host records a version.
	recordInterval     = time.Second
	recordDelayPerRank = 300 * time.Millisecond
)

type (
	// targetVersions holds the weights versions that the operator has set as the target of each model,
	// and when. The times are recorded in the metadata store, so that a restarted host knows which
	// weights have expired.
	targetVersions struct {
		ck clock.Clock

		mu     sync.Mutex
		models map[string]*modelTargets
	}

	// modelTargets holds the target versions of one model: the newest, the time at which each was set,
	// and which of them the stored record has, as of its revision.
	modelTargets struct {
		newest   uint64
		setAt    map[uint64]time.Time
		recorded map[uint64]bool
		revision uint64
	}

	// targetRecord is the stored record of one model: the time at which each version was set, in Unix
	// milliseconds.
	targetRecord map[uint64]int64
)

func newTargetVersions(ck clock.Clock) *targetVersions {
	return &targetVersions{ck: ck, models: make(map[string]*modelTargets)}
}

// setTarget makes version the target of a model. It does nothing and returns false if the version is not
// newer than the current target.
func (tv *targetVersions) setTarget(model string, version uint64) bool {
	tv.mu.Lock()
	defer tv.mu.Unlock()
	mt := tv.getOrCreate(model)
	if version <= mt.newest {
		return false
	}
	mt.newest = version
	if _, ok := mt.setAt[version]; !ok {
		mt.setAt[version] = tv.ck.Now()
	}
	return true
}

// mergeRecord merges the stored record of a model: of two times for a version the earlier one counts.
func (tv *targetVersions) mergeRecord(model string, value []byte, revision uint64) error {
	var record targetRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return errors.Wrap(err, "node: decode record of target versions")
	}
	tv.mu.Lock()
	defer tv.mu.Unlock()
	mt := tv.getOrCreate(model)
	mt.revision = revision
	now := tv.ck.Now()
	clear(mt.recorded)
	for version, ms := range record {
		mt.recorded[version] = true
		// Wall clocks differ between hosts; a time in the future counts as now.
		at := now.Add(-max(0, now.Sub(time.UnixMilli(ms))))
		if known, ok := mt.setAt[version]; !ok || at.Before(known) {
			mt.setAt[version] = at
		}
	}
	return nil
}

// target returns the target version of a model, zero if none has been set.
func (tv *targetVersions) target(model string) uint64 {
	tv.mu.Lock()
	defer tv.mu.Unlock()
	if mt := tv.models[model]; mt != nil {
		return mt.newest
	}
	return 0
}

// isExpired reports whether a newer version of the model was set longer than limit ago.
func (tv *targetVersions) isExpired(model string, version uint64, limit time.Duration) bool {
	tv.mu.Lock()
	defer tv.mu.Unlock()
	mt := tv.models[model]
	if mt == nil || version >= mt.newest {
		return false
	}
	now := tv.ck.Now()
	for newer, setAt := range mt.setAt {
		if newer > version && now.Sub(setAt) > limit {
			return true
		}
	}
	return false
}

// runRecorder writes records of versions that are not recorded yet, until ctx ends. Delay returns how long ago
// a version must have been set; it differs between hosts, so that usually only one of them writes.
func (tv *targetVersions) runRecorder(ctx context.Context, st metastore.Store, delay func() time.Duration) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tv.ck.After(recordInterval):
		}
		for model, tx := range tv.pendingRecords(delay) {
			// A conflict means that another host has written the record. Versions that it lacks
			// are written at the next check.
			if _, err := st.Commit(ctx, tx); err == nil {
				tv.markRecorded(model)
			}
		}
	}
}

// pendingRecords returns, by model, the transactions that record target versions which were set at least the
// delay ago and are not recorded yet.
func (tv *targetVersions) pendingRecords(delay func() time.Duration) map[string]metastore.Transaction {
	tv.mu.Lock()
	defer tv.mu.Unlock()
	now := tv.ck.Now()
	out := make(map[string]metastore.Transaction)
	for model, mt := range tv.models {
		if mt.newest == 0 || mt.recorded[mt.newest] || now.Sub(mt.setAt[mt.newest]) < delay() {
			continue
		}
		record := make(targetRecord, maxRecordedVersions)
		for version, setAt := range mt.setAt {
			if version+maxRecordedVersions > mt.newest {
				record[version] = setAt.UnixMilli()
			}
		}
		value, err := json.Marshal(record)
		if err != nil {
			continue
		}
		key := prefixTargets + model
		out[model] = metastore.Transaction{
			Preconditions: []metastore.Precondition{{Key: key, Revision: mt.revision}},
			Puts:          []metastore.Put{{Key: key, Value: value}},
		}
	}
	return out
}

// markRecorded marks the newest version of a model as recorded.
func (tv *targetVersions) markRecorded(model string) {
	tv.mu.Lock()
	defer tv.mu.Unlock()
	mt := tv.getOrCreate(model)
	mt.recorded[mt.newest] = true
}

// getOrCreate returns the targets of a model, and creates them if there are none.
func (tv *targetVersions) getOrCreate(name string) *modelTargets {
	mt := tv.models[name]
	if mt == nil {
		mt = &modelTargets{setAt: make(map[uint64]time.Time), recorded: make(map[uint64]bool)}
		tv.models[name] = mt
	}
	return mt
}
