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
	// peerLoadAge is after how long without news the load from a peer counts as nothing; peers
	// report ten times a second.
	peerLoadAge = time.Second
	// heldFor is how long an entry that vanished while the store was away is still used after the
	// store's return; live endpoints are back within about 2 s.
	heldFor = 2300 * time.Millisecond
	// avoidFirst and avoidMost bound how long an endpoint that failed gets no requests.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 2 * time.Second
	// peerDownLeast is how many hosts must fail to reach an endpoint before others believe them, and
	// peerDownFor for how long they do. One host alone may have lost its own link.
	peerDownLeast = 2
	peerDownFor   = 600 * time.Millisecond
	// failureWeight is the weight of the newest answer in the share of failures.
	failureWeight = 0.1
	// residentShare is the part of an engine's memory that is expected to hold parts of earlier
	// prompts; the rest is taken by running requests.
	residentShare = 0.4
)

type (
	// Options configures a Fleet.
	Options struct {
		// Clock tells the time; nil means the system clock.
		Clock clock.Clock
		// Host is the name of this host.
		Host string
	}

	// Fleet is what a host knows of the endpoints. It is safe for concurrent use.
	Fleet struct {
		opts Options

		mu        sync.Mutex
		endpoints map[string]*endpoint
		hosts     []string
		evacuated map[string]bool
		synced    bool
		awaySince time.Time
		backAt    time.Time
	}

	// Ticket is one request under way at an endpoint.
	Ticket struct {
		fl   *Fleet
		ep   *endpoint
		load Load
		read bool
		done bool
	}

	// Outcome is how an attempt at an endpoint ended, as far as its health goes.
	Outcome int
)

const (
	// Neutral attempts say nothing about the endpoint's health, such as those of clients that left.
	Neutral Outcome = iota
	// Good attempts were answered.
	Good
	// Failed attempts were answered by an error, or not to the end.
	Failed
	// Unreachable endpoints accepted no connection.
	Unreachable
)

// New returns a fleet that knows no endpoint.
func New(opts Options) *Fleet {
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Fleet{
		opts:      opts,
		endpoints: make(map[string]*endpoint),
		hosts:     []string{opts.Host},
		evacuated: make(map[string]bool),
	}
}

// Put records the entry of an endpoint. It reports whether the entry says anything new of the state
// of the endpoint, besides how much longer it is cold.
func (fl *Fleet) Put(en Entry) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.put(en, fl.opts.Clock.Now())
}

// Remove records that the entry of an endpoint is gone. While the store is in trouble the entry
// may have lapsed although the endpoint lives; it is then held for a while.
func (fl *Fleet) Remove(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.remove(id, fl.opts.Clock.Now())
}

// Replace records the entries of all endpoints.
func (fl *Fleet) Replace(entries []Entry) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	listed := make(map[string]bool, len(entries))
	for _, en := range entries {
		listed[en.ID] = true
		fl.put(en, now)
	}
	for id := range fl.endpoints {
		if !listed[id] {
			fl.remove(id, now)
		}
	}
	fl.synced = true
}

// StoreLost records a failed call to the store, StoreReached one that was answered.
func (fl *Fleet) StoreLost() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.awaySince.IsZero() {
		fl.awaySince = fl.opts.Clock.Now()
	}
}

// StoreReached records a call that the store answered. It returns for how long the store was away
// before, zero if it was not.
func (fl *Fleet) StoreReached() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.awaySince.IsZero() {
		return 0
	}
	now := fl.opts.Clock.Now()
	away := now.Sub(fl.awaySince)
	fl.awaySince, fl.backAt = time.Time{}, now
	for _, ep := range fl.endpoints {
		if !ep.heldUntil.IsZero() {
			ep.heldUntil = now.Add(heldFor)
		}
	}
	return away
}

// IsSynced reports whether the entries were read at least once.
func (fl *Fleet) IsSynced() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.synced
}

// SetHosts records the names of all hosts, this one among them.
func (fl *Fleet) SetHosts(hosts []string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.hosts = slices.Clone(hosts)
}

// Evacuate records whether an availability zone is to get no requests.
func (fl *Fleet) Evacuate(zone string, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.evacuated[zone] = on
}

// EvacuateOnly records that just these availability zones are to get no requests.
func (fl *Fleet) EvacuateOnly(zones map[string]bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.evacuated = maps.Clone(zones)
}

// Views returns the endpoints of a service that may get requests: neither draining, gone nor in an
// evacuated zone. The order is that of their identifiers.
func (fl *Fleet) Views(service string) []View {
	return fl.views(func(ep *endpoint) bool {
		return ep.entry.Service == service && !ep.entry.Draining && !fl.evacuated[ep.entry.Zone]
	})
}

// All returns all endpoints, also those that get no requests.
func (fl *Fleet) All() []View {
	return fl.views(func(*endpoint) bool { return true })
}

func (fl *Fleet) views(keep func(*endpoint) bool) []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make([]View, 0, len(fl.endpoints))
	for id, ep := range fl.endpoints {
		if fl.isGone(ep, now) {
			delete(fl.endpoints, id)
			continue
		}
		if keep(ep) {
			out = append(out, ep.view(now))
		}
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Weights records which version of a model's weights an endpoint has, from its own answers.
func (fl *Fleet) Weights(id, model string, version uint64) {
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
	ep.taught = fl.opts.Clock.Now()
	ep.resident = residency{}
}

// Loading marks an endpoint as taking new weights until a time; the zero time ends it.
func (fl *Fleet) Loading(id string, until time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.loading = until
	}
}

// Shun leaves an endpoint alone for a time, unless nothing else is there.
func (fl *Fleet) Shun(id string, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.shunned = fl.opts.Clock.Now().Add(d)
		ep.avoid = later(ep.avoid, ep.shunned)
	}
}

// Leave records that an endpoint said itself that it is leaving, or that another has its address.
func (fl *Fleet) Leave(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.entry.Draining = true
	}
}

// Cool records that an endpoint is cold for a time.
func (fl *Fleet) Cool(id string, d time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.coldUntil = later(ep.coldUntil, fl.opts.Clock.Now().Add(d))
	}
}

func (fl *Fleet) put(en Entry, now time.Time) bool {
	ep := fl.endpoints[en.ID]
	news := ep == nil || !ep.entry.sameStart(en) || ep.entry.Draining != en.Draining ||
		!maps.Equal(ep.entry.Models, en.Models)
	if ep == nil || !ep.entry.sameStart(en) {
		ep = &endpoint{hash: rendezvous.Hash(en.ID)}
		fl.endpoints[en.ID] = ep
	}
	if en.Draining && !ep.entry.Draining {
		ep.leftAt = now
	}
	// Leaving is final: an older entry that arrives late must not undo it.
	en.Draining = en.Draining || ep.entry.Draining
	for name, v := range ep.entry.Models {
		if have, ok := en.Models[name]; ok && v > have {
			en.Models[name] = v
		}
	}
	ep.entry = en
	ep.heldUntil = time.Time{}
	ep.coldUntil = later(ep.coldUntil, now.Add(en.ColdFor))
	return news
}

func (fl *Fleet) remove(id string, now time.Time) {
	ep := fl.endpoints[id]
	if ep == nil || !ep.heldUntil.IsZero() {
		return
	}
	away := !fl.awaySince.IsZero() || now.Sub(fl.backAt) < heldFor && !fl.backAt.IsZero()
	if !away || ep.entry.Draining {
		delete(fl.endpoints, id)
		return
	}
	from := fl.backAt
	if !fl.awaySince.IsZero() {
		from = now
	}
	ep.heldUntil = from.Add(heldFor)
}

// isGone reports whether an entry that vanished has been missed for long enough since the store's
// return.
func (fl *Fleet) isGone(ep *endpoint, now time.Time) bool {
	return !ep.heldUntil.IsZero() && fl.awaySince.IsZero() && now.After(ep.heldUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
