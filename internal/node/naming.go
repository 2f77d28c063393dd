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
	// recordsKept is how many versions of a model the record holds. Older ones have expired long ago.
	recordsKept = 6
	// recordEvery is the pause between looks for versions that are not recorded yet.
	recordEvery = 300 * time.Millisecond
)

type (
	// naming knows which weights the operator named, and when. The times are recorded in the
	// metadata store, so that a host that starts anew knows which weights have expired.
	naming struct {
		ck clock.Clock

		mu     sync.Mutex
		models map[string]*namedModel
	}

	namedModel struct {
		newest   uint64
		since    map[uint64]time.Time
		recorded map[uint64]bool
		revision uint64
	}

	// namedItem is the record of one model: Unix milliseconds by version.
	namedItem map[uint64]int64
)

func newNaming(ck clock.Clock) *naming {
	return &naming{ck: ck, models: make(map[string]*namedModel)}
}

// name records that a version was named. It reports false if it is not newer than those before.
func (na *naming) name(model string, version uint64) bool {
	na.mu.Lock()
	defer na.mu.Unlock()
	nm := na.model(model)
	if version <= nm.newest {
		return false
	}
	nm.newest = version
	if _, ok := nm.since[version]; !ok {
		nm.since[version] = na.ck.Now()
	}
	return true
}

// restore takes the record of a model.
func (na *naming) restore(model string, value []byte, revision uint64) error {
	var item namedItem
	if err := json.Unmarshal(value, &item); err != nil {
		return errors.Wrap(err, "node: record of named weights")
	}
	na.mu.Lock()
	defer na.mu.Unlock()
	nm := na.model(model)
	nm.revision = revision
	now := na.ck.Now()
	clear(nm.recorded)
	for version, ms := range item {
		nm.recorded[version] = true
		// Times of day differ between hosts; a time to come would only mean that of now.
		at := now.Add(-max(0, now.Sub(time.UnixMilli(ms))))
		if have, ok := nm.since[version]; !ok || at.Before(have) {
			nm.since[version] = at
		}
	}
	return nil
}

// wanted returns the version of a model that requests should use; zero if none was named.
func (na *naming) wanted(model string) uint64 {
	na.mu.Lock()
	defer na.mu.Unlock()
	if nm := na.models[model]; nm != nil {
		return nm.newest
	}
	return 0
}

// expired reports whether a newer version of the model was named longer than limit ago.
func (na *naming) expired(model string, version uint64, limit time.Duration) bool {
	na.mu.Lock()
	defer na.mu.Unlock()
	nm := na.models[model]
	if nm == nil || version >= nm.newest {
		return false
	}
	now := na.ck.Now()
	for newer, since := range nm.since {
		if newer > version && now.Sub(since) > limit {
			return true
		}
	}
	return false
}

// record writes the times of versions that are not recorded yet, until ctx ends. Hosts begin one
// after the other, by delay, so that mostly one of them writes.
func (na *naming) record(ctx context.Context, st metastore.Store, delay func() time.Duration) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-na.ck.After(recordEvery):
		}
		for model, tx := range na.due(delay()) {
			// A conflict means that another host has written the record; what is still missing
			// then comes with the next look.
			if _, err := st.Commit(ctx, tx); err == nil {
				na.mark(model)
			}
		}
	}
}

func (na *naming) due(delay time.Duration) map[string]metastore.Transaction {
	na.mu.Lock()
	defer na.mu.Unlock()
	now := na.ck.Now()
	out := make(map[string]metastore.Transaction)
	for model, nm := range na.models {
		if nm.newest == 0 || nm.recorded[nm.newest] || now.Sub(nm.since[nm.newest]) < delay {
			continue
		}
		item := make(namedItem, recordsKept)
		for version, since := range nm.since {
			if version+recordsKept > nm.newest {
				item[version] = since.UnixMilli()
			}
		}
		value, err := json.Marshal(item)
		if err != nil {
			continue
		}
		key := prefixNamed + model
		out[model] = metastore.Transaction{
			Expect: []metastore.Expectation{{Key: key, Revision: nm.revision}},
			Puts:   []metastore.Put{{Key: key, Value: value}},
		}
	}
	return out
}

func (na *naming) mark(model string) {
	na.mu.Lock()
	defer na.mu.Unlock()
	nm := na.model(model)
	nm.recorded[nm.newest] = true
}

func (na *naming) model(name string) *namedModel {
	nm := na.models[name]
	if nm == nil {
		nm = &namedModel{since: make(map[uint64]time.Time), recorded: make(map[uint64]bool)}
		na.models[name] = nm
	}
	return nm
}
