package weights

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

// mergeRecord merges a stored record: of two times for a version the earlier one counts, unless this host knows
// that the version was not selected yet.
func (ta *Targets) mergeRecord(name string, it metastore.Item) error {
	var rec record
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return errors.Wrapf(err, "weights: decode record of model %q", name)
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	mo := ta.getOrCreate(name)
	mo.revision = it.Revision
	clear(mo.recorded)
	for version, ms := range rec {
		mo.recorded[version] = true
		at := max(ta.fromUnixMilli(ms), mo.notBefore[version])
		if known, ok := mo.since[version]; !ok || at < known {
			mo.since[version] = at
		}
	}
	return nil
}

// pendingRecords returns the records of targets which are not recorded yet and are old enough for this host to do so.
func (ta *Targets) pendingRecords() []pendingRecord {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	now := ta.opts.SinceBoot()
	var out []pendingRecord
	for name, mo := range ta.models {
		if mo.newest == 0 || mo.recorded[mo.newest] || now-mo.since[mo.newest] < ta.opts.RecordDelay() {
			continue
		}
		versions := slices.Sorted(maps.Keys(mo.since))
		rec := make(record, maxRecordedVersions)
		for _, version := range versions[max(0, len(versions)-maxRecordedVersions):] {
			rec[version] = ta.wall.unixMilli(mo.since[version])
		}
		value, err := json.Marshal(rec)
		if err != nil {
			continue
		}
		key := ta.opts.RecordPrefix + name
		out = append(out, pendingRecord{model: name, newest: mo.newest, tx: metastore.Transaction{
			Preconditions: []metastore.Precondition{{Key: key, Revision: mo.revision}},
			Puts:          []metastore.Put{{Key: key, Value: value}},
		}})
	}
	return out
}

// markRecorded marks the newest version of a written record as recorded. The target may be newer by now.
func (ta *Targets) markRecorded(pr pendingRecord) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.getOrCreate(pr.model).recorded[pr.newest] = true
}
