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
	// minBackoff and maxBackoff bound the time for which an unreachable endpoint gets no requests.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// peerDownQuorum is the number of peers that must report an endpoint as down before this host avoids it,
	// and peerDownDuration the time for which it does. A single peer may have lost its own link.
	peerDownQuorum   = 2
	peerDownDuration = 600 * time.Millisecond
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
		// OnReachChange is called when this host reaches no endpoint of a service any more, or one again; nil means that nobody
		// is told.
		OnReachChange func(ReachChange)
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
		coldSenders  coldSenders
		evacuated    map[string]bool
		// software counts the endpoints of each service by software version.
		software map[serviceVersion]int
		// reach holds the services of which an attempt has ended without a response since the last response, by name.
		reach map[string]*reach
		// otherStarts holds the endpoints of which another start answers than their entries describe.
		otherStarts map[*endpoint]bool
		// ordered holds the services whose endpoints have been ranked since the last change of what the order depends on.
		ordered map[string]bool
		// serviceLoads holds the loads of services that were summed last.
		serviceLoads map[string]knownServiceLoad
		// departed holds the endpoints whose entries disappeared lately, by identifier.
		departed map[string]departure
		synced   bool
		// storeLostAt is the time of the first failed call to the store, zero if the last call succeeded, and storeFailedAt
		// that of the last failed one.
		storeLostAt     time.Time
		storeFailedAt   time.Time
		storeRegainedAt time.Time
	}

	// serviceVersion is a software version of a service.
	serviceVersion struct{ service, version string }

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
		opts:        opts,
		hostHash:    rendezvous.Hash(opts.Host),
		endpoints:   make(map[string]*endpoint),
		hosts:       []string{opts.Host},
		coldSenders: coldSenders{departedAt: make(map[string]time.Time)},
		evacuated:   make(map[string]bool),
		departed:    make(map[string]departure),
		reach:       make(map[string]*reach),
		otherStarts: make(map[*endpoint]bool),
		software:    make(map[serviceVersion]int),
		ordered:     make(map[string]bool),

		serviceLoads: make(map[string]knownServiceLoad),
	}
}

// Put records the entry of an endpoint. It reports whether the endpoint is new or has restarted, or its
// draining state, its software version or the versions of its weights have changed.
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
	now := fl.opts.Clock.Now()
	fl.observeRegistration(now)
	if slices.Equal(fl.hosts, hosts) {
		return
	}
	fl.observeDepartures(hosts, now)
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

// SoftwareVersions returns the software versions of the endpoints of each service, in no particular order. Endpoints that are
// draining count as well.
func (fl *Fleet) SoftwareVersions() map[string][]string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[string][]string)
	for sv := range fl.software {
		out[sv.service] = append(out[sv.service], sv.version)
	}
	return out
}

// countSoftware adds delta to the number of endpoints with the software version of an entry.
func (fl *Fleet) countSoftware(en Entry, delta int) {
	sv := serviceVersion{en.Service, en.SoftwareVersion}
	if fl.software[sv] += delta; fl.software[sv] == 0 {
		delete(fl.software, sv)
	}
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
		now := fl.opts.Clock.Now()
		fl.noteRejection(ep, now)
		ep.rejectingUntil = now.Add(d)
		ep.avoidUntil = later(ep.avoidUntil, ep.rejectingUntil)
	}
}

// MarkDraining marks an endpoint as draining, because it announced that it is leaving or another endpoint
// answers at its address.
func (fl *Fleet) MarkDraining(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		fl.drain(ep)
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
	if ep != nil {
		fl.countSoftware(ep.entry, -1)
		if isNew || ep.entry.Service != en.Service || ep.entry.Zone != en.Zone {
			delete(fl.ordered, ep.entry.Service)
			delete(fl.ordered, en.Service)
		}
	}
	fl.countSoftware(en, 1)
	if isNew {
		ep = &endpoint{hash: rendezvous.Hash(en.ID), said: fl.takeDeparted(en, now)}
		fl.endpoints[en.ID] = ep
		delete(fl.ordered, en.Service)
	}
	// Draining is final: an older entry that arrives late must not undo it.
	en.Draining = en.Draining || ep.entry.Draining || ep.said.isLeaving
	changed := isNew || ep.entry.Draining != en.Draining || ep.entry.SoftwareVersion != en.SoftwareVersion || !maps.Equal(ep.entry.Models, en.Models)
	if en.Draining && !ep.entry.Draining {
		delete(fl.ordered, en.Service)
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
