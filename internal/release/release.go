// Package release keeps in the metadata store which software versions of each service have been in service lately, so that
// also a host that has just started knows whether a stream may have begun at another version than those that serve now.
package release

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// checkInterval is the pause between checks for records that are due to be written.
	checkInterval = time.Second
	// maxKeyBytes is the longest key that the metadata store accepts.
	maxKeyBytes = 200
)

type (
	// Options configures a History. All fields are required.
	Options struct {
		Clock clock.Clock
		Store metastore.Store
		// Prefix is the prefix of the keys of the records, which the name of the service follows.
		Prefix string
		// InService returns the software versions of the endpoints of each service as of now; an endpoint that reports none has
		// an empty one.
		InService func() map[string][]string
		// RecordDelay returns how long after a record is due this host writes it, if no other host has. It differs between
		// hosts, so that usually only one of them writes.
		RecordDelay func() time.Duration
		// Retention is how long a version stays in a record after its last endpoint has gone. It is at least as long as the
		// longest stream.
		Retention time.Duration
		Log       logrus.FieldLogger
	}

	// History holds the software versions of each service. It is safe for concurrent use.
	History struct {
		opts    Options
		changed chan struct{}

		mu       sync.Mutex
		services map[string]*service
		// followedSince is since when the host has missed no change.
		followedSince time.Time
		// era is that of the last snapshot. Until settledAt the records may lack what an earlier era had.
		era       uint64
		settledAt time.Time
		// next is the reading that begins next; nil if none is wanted. readAt is when the last one began.
		next      *reading
		isReading bool
		readAt    time.Time
	}

	// service holds the software versions of one service.
	service struct {
		// recorded lists the versions of the stored record as of its revision; the revision is zero if there is none.
		recorded []string
		revision metastore.Revision
		// seenAt holds when this host last saw an endpoint with a version.
		seenAt map[string]time.Time
		// dueAt is since when the record has differed from what this host knows; zero if it does not.
		dueAt time.Time
	}

	// record is the stored record of a service.
	record struct {
		Versions []string `json:"versions"`
	}
)

// New returns a history that knows no records. What it records begins with the first call of Run.
func New(opts Options) *History {
	return &History{opts: opts, changed: make(chan struct{}, 1), services: make(map[string]*service)}
}

// ApplySnapshot replaces the known records by those of a complete snapshot of the store.
func (hi *History) ApplySnapshot(sn metastore.Snapshot) {
	hi.mu.Lock()
	if hi.era != 0 && sn.Revision.Era > hi.era {
		hi.settledAt = hi.opts.Clock.Now().Add(restoreSettleTime)
	}
	hi.era = sn.Revision.Era
	for _, se := range hi.services {
		se.recorded, se.revision = nil, metastore.Revision{}
	}
	hi.mu.Unlock()
	for _, it := range sn.Items {
		hi.apply(it, false)
	}
	hi.NotifyChanged()
}

// ApplyEvent applies a change of a record. It ignores items of others.
func (hi *History) ApplyEvent(ev metastore.Event) { hi.apply(ev.Item, ev.Removed) }

// NotifyChanged states that the endpoints in service may have changed.
func (hi *History) NotifyChanged() {
	select {
	case hi.changed <- struct{}{}:
	default:
	}
}

// Sole returns the only software version that a stream of a service can have begun at; ok is false if there may be several.
func (hi *History) Sole(name string) (version string, ok bool) {
	current := hi.opts.InService()[name]
	hi.mu.Lock()
	defer hi.mu.Unlock()
	se := hi.services[name]
	if se == nil || len(se.recorded) != 1 {
		return "", false
	}
	version = se.recorded[0]
	if slices.ContainsFunc(current, func(other string) bool { return other != version }) {
		return "", false
	}
	now := hi.opts.Clock.Now()
	for other, at := range se.seenAt {
		if other != version && now.Sub(at) < hi.opts.Retention {
			return "", false
		}
	}
	return version, true
}

// IsRecorded reports whether the record of a service has a version.
func (hi *History) IsRecorded(name, version string) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	se := hi.services[name]
	return se != nil && slices.Contains(se.recorded, version)
}

// Interrupt states that the host may have missed until now which endpoints there were.
func (hi *History) Interrupt() {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.followedSince = hi.opts.Clock.Now()
}

// hasFollowedFor reports whether the host has missed nothing for a duration.
func (hi *History) hasFollowedFor(d time.Duration) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.opts.Clock.Now().Sub(hi.followedSince) >= d
}

// Run writes the records until ctx ends.
func (hi *History) Run(ctx context.Context) {
	hi.Interrupt()
	for {
		hi.observe()
		pause := hi.commitDue(ctx)
		select {
		case <-ctx.Done():
			return
		case <-hi.changed:
		case <-hi.opts.Clock.After(pause):
		}
	}
}

func (hi *History) apply(it metastore.Item, isRemoved bool) {
	name, ok := strings.CutPrefix(it.Key, hi.opts.Prefix)
	if !ok {
		return
	}
	var re record
	if !isRemoved {
		if err := json.Unmarshal(it.Value, &re); err != nil {
			hi.opts.Log.WithFields(logrus.Fields{"key": it.Key, "cause": err.Error()}).Warn("Record of software versions is invalid.")
		}
	}
	hi.mu.Lock()
	defer hi.mu.Unlock()
	se := hi.getOrCreate(name)
	if !se.revision.Before(it.Revision) {
		return
	}
	se.recorded, se.revision = re.Versions, it.Revision
	if isRemoved {
		// A transaction expects an absent key at no revision.
		se.revision = metastore.Revision{}
	}
}

// getOrCreate returns the state of a service. The caller holds the lock.
func (hi *History) getOrCreate(name string) *service {
	se := hi.services[name]
	if se == nil {
		se = &service{seenAt: make(map[string]time.Time)}
		hi.services[name] = se
	}
	return se
}

// observe notes which versions are in service.
func (hi *History) observe() {
	current := hi.opts.InService()
	hi.mu.Lock()
	defer hi.mu.Unlock()
	now := hi.opts.Clock.Now()
	for name, versions := range current {
		se := hi.getOrCreate(name)
		for _, version := range versions {
			se.seenAt[version] = now
		}
	}
	for name, se := range hi.services {
		for version, at := range se.seenAt {
			if now.Sub(at) >= hi.opts.Retention {
				delete(se.seenAt, version)
			}
		}
		if len(se.seenAt) == 0 && len(se.recorded) == 0 {
			delete(hi.services, name)
		}
	}
}

// commitDue writes the records that are due, and returns the time until the next check. A host that has followed the store for
// less than the retention leaves the versions in a record that it has not seen itself.
func (hi *History) commitDue(ctx context.Context) time.Duration {
	pause := checkInterval
	mayRemove := hi.hasFollowedFor(hi.opts.Retention)
	for name, versions := range hi.wanted(mayRemove) {
		wait, tx, isDue := hi.prepare(name, versions)
		if !isDue {
			continue
		}
		if wait > 0 {
			pause = min(pause, wait)
			continue
		}
		revision, err := hi.opts.Store.Commit(ctx, tx)
		if err != nil {
			// The watch brings what another host has written; an unavailable store is asked again.
			hi.opts.Log.WithFields(logrus.Fields{"service": name, "cause": err.Error()}).Info("Recording software versions failed.")
			continue
		}
		hi.adopt(name, versions, revision)
		hi.opts.Log.WithFields(logrus.Fields{"service": name, "versions": versions}).Info("Software versions were recorded.")
	}
	return pause
}

// wanted returns for each service the versions that its record is to have, sorted.
func (hi *History) wanted(mayRemove bool) map[string][]string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	out := make(map[string][]string, len(hi.services))
	for name, se := range hi.services {
		var versions []string
		if !mayRemove {
			versions = slices.Clone(se.recorded)
		}
		for version := range se.seenAt {
			if !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
		slices.Sort(versions)
		if len(versions) > 0 && len(hi.opts.Prefix)+len(name) <= maxKeyBytes {
			out[name] = versions
		}
	}
	return out
}

// prepare returns the transaction that writes a record and the time until this host is to write it; isDue is false if the
// record holds the versions already.
func (hi *History) prepare(name string, versions []string) (wait time.Duration, tx metastore.Transaction, isDue bool) {
	delay := hi.opts.RecordDelay()
	hi.mu.Lock()
	defer hi.mu.Unlock()
	se := hi.services[name]
	if se == nil || slices.Equal(se.recorded, versions) {
		if se != nil {
			se.dueAt = time.Time{}
		}
		return 0, metastore.Transaction{}, false
	}
	now := hi.opts.Clock.Now()
	if se.dueAt.IsZero() {
		se.dueAt = now
	}
	if wait = se.dueAt.Add(delay).Sub(now); wait > 0 {
		return wait, metastore.Transaction{}, true
	}
	value, err := json.Marshal(record{Versions: versions})
	if err != nil {
		hi.opts.Log.WithField("cause", errors.Wrap(err, "release: encode").Error()).Error("Encoding software versions failed.")
		return 0, metastore.Transaction{}, false
	}
	key := hi.opts.Prefix + name
	return 0, metastore.Transaction{
		Preconditions: []metastore.Precondition{{Key: key, Revision: se.revision}},
		Puts:          []metastore.Put{{Key: key, Value: value}},
	}, true
}

// adopt notes a record that this host has written.
func (hi *History) adopt(name string, versions []string, revision metastore.Revision) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if se := hi.getOrCreate(name); se.revision.Before(revision) {
		se.recorded, se.revision, se.dueAt = versions, revision, time.Time{}
	}
}
