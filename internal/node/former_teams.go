package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// formerTeamsInterval is the pause between two checks of whether teams are to be recorded.
	formerTeamsInterval = 250 * time.Millisecond
)

type (
	// formerTeams keeps the names of all teams that are or were exclusive in the metadata store. Once such a team is taken out of the
	// configuration, the configuration alone does not tell that others must not use what it made. It is safe for concurrent use.
	formerTeams struct {
		store  metastore.Store
		clock  clock.Clock
		log    logrus.FieldLogger
		delay  func() time.Duration
		change func(names []string)

		mu sync.Mutex
		// names are the known teams, and recorded those of the record in the store, which has the given revision. Both are sorted.
		names, recorded []string
		revision        metastore.Revision
		// dueAt is when this host writes the record; zero while it has all names.
		dueAt time.Time
	}
)

// add adds teams that are exclusive.
func (ft *formerTeams) add(names []string) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	all := slices.Concat(ft.names, names)
	slices.Sort(all)
	if all = slices.Compact(all); len(all) == len(ft.names) {
		return
	}
	ft.names = all
	ft.change(all)
}

// all returns the names of all teams that are or were exclusive.
func (ft *formerTeams) all() []string {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.names
}

// applySnapshot applies the record in a complete snapshot of the store. One that was restored from a copy may lack teams.
func (ft *formerTeams) applySnapshot(sn metastore.Snapshot) {
	for _, it := range sn.Items {
		if it.Key == keyFormerTeams {
			ft.applyItem(it)
			return
		}
	}
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.recorded, ft.revision = nil, metastore.Revision{}
}

// applyItem applies the record in the store.
func (ft *formerTeams) applyItem(it metastore.Item) {
	var names []string
	err := json.Unmarshal(it.Value, &names)
	if err != nil {
		ft.log.WithFields(logrus.Fields{"key": it.Key, "cause": err.Error()}).Warn("Record of exclusive teams is invalid.")
	}
	ft.mu.Lock()
	ft.recorded, ft.revision = names, it.Revision
	ft.mu.Unlock()
	ft.add(names)
}

// run writes the record while it lacks teams, until ctx ends.
func (ft *formerTeams) run(ctx context.Context) {
	for ctx.Err() == nil {
		if tx, ok := ft.next(); ok {
			// The watch delivers the new record, also after a conflict with another host.
			if _, err := ft.store.Commit(ctx, tx); err != nil {
				ft.log.WithField("cause", err.Error()).Info("Exclusive teams are not recorded yet.")
			}
		}
		select {
		case <-ctx.Done():
		case <-ft.clock.After(formerTeamsInterval):
		}
	}
}

// next returns the transaction that writes the record; ok is false while it has all names, or this host leaves it to others.
func (ft *formerTeams) next() (tx metastore.Transaction, ok bool) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	isMissing := slices.ContainsFunc(ft.names, func(name string) bool { return !slices.Contains(ft.recorded, name) })
	now := ft.clock.Now()
	switch {
	case !isMissing:
		ft.dueAt = time.Time{}
		return tx, false
	case ft.dueAt.IsZero():
		ft.dueAt = now.Add(ft.delay())
	}
	if now.Before(ft.dueAt) {
		return tx, false
	}
	ft.dueAt = time.Time{}
	all := slices.Concat(ft.names, ft.recorded)
	slices.Sort(all)
	// Strings always encode.
	value, _ := json.Marshal(slices.Compact(all))
	return metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: keyFormerTeams, Revision: ft.revision}},
		Puts:          []metastore.Put{{Key: keyFormerTeams, Value: value}},
	}, true
}
