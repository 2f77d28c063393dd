package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// maxPeerLoadAge is the time without a report after which the load from a peer counts as zero; peers
	// report ten times a second.
	maxPeerLoadAge = time.Second
	// retentionTime is how long after an outage of the metadata store an endpoint without an entry is still
	// used. Live endpoints register again within about 2 s after the outage.
	retentionTime = 2300 * time.Millisecond
	// minRetentionTime is the part of it for which such an endpoint is used also if the store was back before this host noticed.
	// retentionAfterFailure is how long it is used after the last failed call.
	minRetentionTime      = 2 * time.Second
	retentionAfterFailure = 2500 * time.Millisecond
	// removalRetention is how long an endpoint is used after its removal was seen. An endpoint that leaves without notice
	// must not get requests 2 s after it.
	removalRetention = 1700 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which an unreachable endpoint gets no requests.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// peerDownQuorum is the number of peers that must report an endpoint as down before this host avoids it,
	// and peerDownDuration the time for which it does. A single peer may have lost its own link.
	peerDownQuorum   = 2
	peerDownDuration = 600 * time.Millisecond
	// departureRetention is how long an endpoint without an entry is remembered, and leavingRetention how long one that said
	// that it leaves.
	departureRetention = time.Minute
	leavingRetention   = 10 * time.Minute
	// failureWeight is the weight of the newest outcome in the moving average of the failure share.
	failureWeight = 0.1
	// residentMemoryShare is the share of an engine's memory that is expected to hold parts of earlier
	// prompts; running requests take the rest.
	residentMemoryShare = 0.4
)

type (
	// Options configures a Fleet.
	Options struct {
		// Clock is the source of time; nil means the system clock.
		Clock clock.Clock
		// Host is the name of this host.
		Host string
		// IsRegistered reports whether the other hosts know this one; nil means that they always do. It is called while
		// the fleet is locked.
		IsRegistered func() bool
		// OnStatementChange is called when an endpoint says something else of itself than before; nil means that nobody is
		// told.
		OnStatementChange func(StatementChange)
	}

	// Fleet is what a host knows of the endpoints. It is safe for concurrent use.
	Fleet struct {
		opts     Options
		hostHash uint64

		mu        sync.Mutex
		endpoints map[string]*endpoint
		hosts     []string
		// hostsVersion counts the changes of hosts.
		hostsVersion int
		evacuated    map[string]bool
		// departed holds the endpoints whose entries disappeared lately, by identifier.
		departed map[string]departure
		synced   bool
		// storeLostAt is the time of the first failed call to the store, zero if the last call succeeded, and storeFailedAt
		// that of the last failed one.
		storeLostAt     time.Time
		storeFailedAt   time.Time
		storeRegainedAt time.Time
	}

	// InFlight is one in-flight request at an endpoint.
	InFlight struct {
		fl        *Fleet
		ep        *endpoint
		load      Load
		prefilled bool
		ended     bool
		// isFirst is set for a request with which the host tries an endpoint again after a wait.
		isFirst bool
	}

	// departure is a start of an endpoint whose entry disappeared, with what it said of itself.
	departure struct {
		startTimeMs int64
		at          time.Time
		said        statements
	}

	// Outcome is the result of an attempt with regard to the health of the endpoint.
	Outcome int
)

const (
	// Neutral attempts say nothing about the health of the endpoint, for instance if the client left.
	Neutral Outcome = iota
	// Succeeded attempts were answered completely.
	Succeeded
	// Failed attempts got an error or an incomplete answer.
	Failed
	// Unreachable attempts got no connection to the endpoint.
	Unreachable
)

// New returns a fleet without endpoints.
func New(opts Options) *Fleet {
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Fleet{
		opts:      opts,
		hostHash:  rendezvous.Hash(opts.Host),
		endpoints: make(map[string]*endpoint),
		hosts:     []string{opts.Host},
		evacuated: make(map[string]bool),
		departed:  make(map[string]departure),
	}
}

// Put records the entry of an endpoint. It reports whether the endpoint is new or has restarted, or its
// draining state or the versions of its weights have changed.
func (fl *Fleet) Put(en Entry) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.put(en, fl.opts.Clock.Now())
}

// Remove records that the entry of an endpoint is gone. During and soon after an outage of the metadata
// store the entry may have expired although the endpoint is alive; the endpoint is then retained for a
// while.
func (fl *Fleet) Remove(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	ep := fl.endpoints[id]
	if ep == nil || !ep.retainedUntil.IsZero() {
		return
	}
	fl.remove(id, ep, now)
	if latest := now.Add(removalRetention); fl.storeLostAt.IsZero() && latest.Before(ep.retainedUntil) {
		ep.retainedUntil = latest
	}
}

// ReplaceRestored records the complete list of entries of a metadata store that was restored from a copy. Entries that the copy
// lacks may be those of live endpoints, which write them again as after an outage. Entries of endpoints that have been
// removed may be only in the copy; those endpoints are used once they write them again.
func (fl *Fleet) ReplaceRestored(entries []Entry) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	if fl.storeLostAt.IsZero() {
		fl.storeFailedAt, fl.storeRegainedAt = now, now
	}
	current := make([]Entry, 0, len(entries))
	for _, en := range entries {
		if fl.endpoints[en.ID] != nil || !fl.hasDeparted(en, now) {
			current = append(current, en)
		}
	}
	fl.replace(current, now)
}

// Replace records the complete list of entries.
func (fl *Fleet) Replace(entries []Entry) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.replace(entries, fl.opts.Clock.Now())
}

func (fl *Fleet) replace(entries []Entry, now time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, en := range entries {
		listed[en.ID] = true
		fl.put(en, now)
	}
	for id, ep := range fl.endpoints {
		if !listed[id] && ep.retainedUntil.IsZero() {
			fl.remove(id, ep, now)
		}
	}
	fl.synced = true
}

// StoreLost records a failed call to the metadata store.
func (fl *Fleet) StoreLost() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.storeFailedAt = fl.opts.Clock.Now()
	if fl.storeLostAt.IsZero() {
		fl.storeLostAt = fl.storeFailedAt
	}
}

// StoreReached records a successful call to the metadata store. It returns the duration of the outage
// that the call ends, or zero.
func (fl *Fleet) StoreReached() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.storeLostAt.IsZero() {
		return 0
	}
	now := fl.opts.Clock.Now()
	outage := now.Sub(fl.storeLostAt)
	fl.storeLostAt, fl.storeRegainedAt = time.Time{}, now
	for _, ep := range fl.endpoints {
		if !ep.retainedUntil.IsZero() {
			ep.retainedUntil = fl.retentionEnd()
		}
	}
	return outage
}

// IsSynced reports whether the complete list of entries was read at least once.
func (fl *Fleet) IsSynced() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.synced
}

// SetHosts records the names of all hosts, including this one.
func (fl *Fleet) SetHosts(hosts []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if slices.Equal(fl.hosts, hosts) {
		return
	}
	fl.hosts = slices.Clone(hosts)
	fl.hostsVersion++
}

// SetEvacuated sets whether an availability zone is evacuated. Endpoints in an evacuated zone get no requests.
func (fl *Fleet) SetEvacuated(zone string, evacuated bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.evacuated[zone] = evacuated
}

// SetEvacuatedZones replaces the set of evacuated availability zones.
func (fl *Fleet) SetEvacuatedZones(zones map[string]bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.evacuated = maps.Clone(zones)
}

// IsServing reports whether the given start of an endpoint is known and not draining.
func (fl *Fleet) IsServing(id, address string, startTimeMs int64) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	return ep != nil && !ep.entry.Draining && ep.entry.Address == address && ep.entry.StartTimeMs == startTimeMs
}

// Views returns the endpoints of a service that may get requests, sorted by identifier: those that are not
// draining, expired or in an evacuated zone.
func (fl *Fleet) Views(service string) []View {
	return fl.filterViews(func(ep *endpoint) bool {
		return ep.entry.Service == service && !ep.entry.Draining && !fl.evacuated[ep.entry.Zone]
	})
}

// All returns all endpoints, including those that get no requests.
func (fl *Fleet) All() []View {
	return fl.filterViews(func(*endpoint) bool { return true })
}

// filterViews returns the included endpoints, sorted by identifier, and deletes expired ones.
func (fl *Fleet) filterViews(include func(*endpoint) bool) []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make([]View, 0, len(fl.endpoints))
	for id, ep := range fl.endpoints {
		if fl.isExpired(ep, now) {
			fl.delete(id, ep, now)
			continue
		}
		if include(ep) {
			out = append(out, fl.view(ep, now))
		}
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// SetWeights records the version of a model's weights that an endpoint reported in its own answers.
func (fl *Fleet) SetWeights(id, model string, version uint64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.Models[model] == version {
		return
	}
	models := make(map[string]uint64, len(ep.entry.Models))
	for name, v := range ep.entry.Models {
		models[name] = v
	}
	models[model] = version
	ep.entry.Models = models
	ep.weightsReportedAt = fl.opts.Clock.Now()
	ep.residentParts = residentSet{}
}

// MarkLoading marks an endpoint as loading new weights until the given time; the zero time removes the mark.
func (fl *Fleet) MarkLoading(id string, until time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.loadingUntil = until
	}
}

// MarkRejecting records that an endpoint rejected a request. The endpoint is avoided for the duration d, unless
// hardly any others are available.
func (fl *Fleet) MarkRejecting(id string, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.rejectingUntil = fl.opts.Clock.Now().Add(d)
		ep.avoidUntil = later(ep.avoidUntil, ep.rejectingUntil)
	}
}

// MarkDraining marks an endpoint as draining, because it announced that it is leaving or another endpoint
// answers at its address.
func (fl *Fleet) MarkDraining(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.entry.Draining = true
	}
}

// MarkCold marks an endpoint as cold for at least the duration d.
func (fl *Fleet) MarkCold(id string, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.coldUntil = later(ep.coldUntil, fl.opts.Clock.Now().Add(d))
	}
}

func (fl *Fleet) put(en Entry, now time.Time) bool {
	ep := fl.endpoints[en.ID]
	isNew := ep == nil || !ep.entry.sameStart(en)
	if isNew {
		ep = &endpoint{hash: rendezvous.Hash(en.ID), said: fl.takeDeparted(en, now)}
		fl.endpoints[en.ID] = ep
	}
	// Draining is final: an older entry that arrives late must not undo it.
	en.Draining = en.Draining || ep.entry.Draining || ep.said.isLeaving
	changed := isNew || ep.entry.Draining != en.Draining || !maps.Equal(ep.entry.Models, en.Models)
	if en.Draining && !ep.entry.Draining {
		ep.drainingSince = now
	}
	// The endpoint itself may have reported a newer version of its weights than the entry has.
	for name, v := range ep.entry.Models {
		if listed, ok := en.Models[name]; ok && v > listed {
			en.Models[name] = v
		}
	}
	ep.entry = en
	ep.retainedUntil = time.Time{}
	ep.coldUntil = later(ep.coldUntil, now.Add(en.ColdFor))
	return changed
}

// remove deletes an endpoint without an entry, or retains it if its entry may have expired.
func (fl *Fleet) remove(id string, ep *endpoint, now time.Time) {
	storeUnreliable := !fl.storeLostAt.IsZero() || now.Sub(fl.storeRegainedAt) < retentionTime && !fl.storeRegainedAt.IsZero()
	switch {
	case !storeUnreliable || ep.entry.Draining:
		fl.delete(id, ep, now)
	case !fl.storeLostAt.IsZero():
		// StoreReached sets the end.
		ep.retainedUntil = now.Add(retentionTime)
	default:
		ep.retainedUntil = fl.retentionEnd()
	}
}

// retentionEnd returns until when endpoints are retained whose entries disappeared during the last outage of the store.
func (fl *Fleet) retentionEnd() time.Time {
	end := later(fl.storeFailedAt.Add(retentionAfterFailure), fl.storeRegainedAt.Add(minRetentionTime))
	if latest := fl.storeRegainedAt.Add(retentionTime); latest.Before(end) {
		return latest
	}
	return end
}

// delete deletes an endpoint, and keeps its identity and what it said of itself in case its entry returns.
func (fl *Fleet) delete(id string, ep *endpoint, now time.Time) {
	delete(fl.endpoints, id)
	for other, de := range fl.departed {
		if !de.isRetained(now) {
			delete(fl.departed, other)
		}
	}
	fl.departed[id] = departure{startTimeMs: ep.entry.StartTimeMs, at: now, said: ep.said}
}

// isRetained reports whether a departure is still remembered.
func (de departure) isRetained(now time.Time) bool {
	if de.said.isLeaving {
		return now.Sub(de.at) <= leavingRetention
	}
	return now.Sub(de.at) <= departureRetention
}

// hasDeparted reports whether the entry of this start of an endpoint disappeared lately.
func (fl *Fleet) hasDeparted(en Entry, now time.Time) bool {
	de, ok := fl.departed[en.ID]
	return ok && de.startTimeMs == en.StartTimeMs && de.isRetained(now)
}

// takeDeparted returns what an endpoint said of itself before its entry disappeared, if it has not been restarted.
func (fl *Fleet) takeDeparted(en Entry, now time.Time) statements {
	defer delete(fl.departed, en.ID)
	if !fl.hasDeparted(en, now) {
		return statements{}
	}
	return fl.departed[en.ID].said
}

// isExpired reports whether the retention of an endpoint without an entry has ended.
func (fl *Fleet) isExpired(ep *endpoint, now time.Time) bool {
	return !ep.retainedUntil.IsZero() && fl.storeLostAt.IsZero() && now.After(ep.retainedUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
