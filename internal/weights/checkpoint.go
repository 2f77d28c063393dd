package weights

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

func (ta *Targets) applyCheckpoint(it metastore.Item) error {
	var sc storedCheckpoint
	if err := json.Unmarshal(it.Value, &sc); err != nil {
		return errors.Wrap(err, "weights: decode checkpoint")
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if it.Revision.After(ta.checkpoint.itemRevision) {
		ta.checkpoint = checkpoint{
			itemRevision: it.Revision, revision: sc.Revision, at: ta.fromUnixMilli(sc.AtMs), seenAt: ta.opts.SinceBoot(),
		}
	}
	return nil
}

// dueCheckpoint returns the transaction that writes a checkpoint; ok is false if none is due or a target is not
// recorded yet.
func (ta *Targets) dueCheckpoint() (tx metastore.Transaction, ok bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	interval := checkpointInterval
	if ta.checkpoint.itemRevision.IsZero() {
		interval = 0
	}
	if ta.isInterrupted || ta.opts.SinceBoot()-ta.checkpoint.seenAt < interval+ta.opts.RecordDelay() {
		return tx, false
	}
	for _, mo := range ta.models {
		if mo.newest > 0 && !mo.recorded[mo.newest] {
			return tx, false
		}
	}
	value, err := json.Marshal(storedCheckpoint{Revision: ta.confirmedRevision, AtMs: ta.wall.unixMilli(ta.confirmedAt)})
	if err != nil {
		return tx, false
	}
	return metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: ta.opts.CheckpointKey, Revision: ta.checkpoint.itemRevision}},
		Puts:          []metastore.Put{{Key: ta.opts.CheckpointKey, Value: value}},
	}, true
}
