// Package endpoint tracks the endpoints as known to one host: which of them accept new work, the
// load last reported by their owners, and the runs of this host on them.
package endpoint

import (
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
	"github.com/bergamotway/bergamotway/internal/slot"
)

const (
	// zoneRampDuration is how long the share of an availability zone grows after its return.
	zoneRampDuration = 40 * time.Second
	// initialZoneShare is the share of histories of an availability zone right after its return.
	initialZoneShare = 0.1

	// shareBuckets is the number of hash buckets over which histories are spread to apply shares.
	shareBuckets = 1000
)

type (
	// View is a snapshot of an endpoint as known to this host.
	View struct {
		configuration.Endpoint
		// Version is the weight version that the endpoint last reported; empty means unknown.
		Version string
		// Backlog is how many tokens are waiting for prefill.
		Backlog float64
		// Running is how many runs the endpoint has.
		Running int
		// Resident is how many tokens of the requested history are in the endpoint's KV cache, as
		// far as this host knows.
		Resident int
	}

	// Registry holds the state of the endpoints. It is safe for concurrent use.
	Registry struct {
		clk      clock.Clock
		snapshot func() *configuration.Snapshot
		// listedStates maps addresses to their state in the platform's host list.
		listedStates atomic.Pointer[map[string]keyvalue.HostState]

		mu     sync.Mutex
		states map[string]*endpointState
	}

	// endpointState holds what this host knows of an endpoint: the owner's last response and the
	// cached histories and active runs of this host.
	endpointState struct {
		lastResponse slot.AcquireResponse
		respondedAt  time.Time
		avoidUntil   time.Time
		// residentByRoot maps the root of a history to the number of its tokens in the KV cache.
		residentByRoot map[string]int
		// activeRuns maps the IDs of this host's runs to the fingerprints of their requests.
		activeRuns map[string]quarantine.Fingerprint
	}
)

// maxResidentRoots limits the histories tracked per endpoint; beyond it all of them are dropped.
const maxResidentRoots = 512

// NewRegistry returns a Registry. snapshot returns the active configuration.
func NewRegistry(clk clock.Clock, snapshot func() *configuration.Snapshot) *Registry {
	rg := &Registry{clk: clk, snapshot: snapshot, states: make(map[string]*endpointState)}
	rg.listedStates.Store(&map[string]keyvalue.HostState{})
	return rg
}

// SetListedStates replaces the states of all addresses with those in the platform's host list.
func (rg *Registry) SetListedStates(hosts []keyvalue.ListedHost) {
	byAddress := make(map[string]keyvalue.HostState, len(hosts))
	for _, h := range hosts {
		byAddress[h.Address] = h.State
	}
	rg.listedStates.Store(&byAddress)
}

// SetListedState replaces the state of one address with the one that another host has read from the
// platform's host list.
func (rg *Registry) SetListedState(address string, hs keyvalue.HostState) {
	for {
		old := rg.listedStates.Load()
		next := maps.Clone(*old)
		next[address] = hs
		if rg.listedStates.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Eligible returns the endpoints of a model that accept new work for the history with the given
// root. If the model has provider shares, each history is served by one provider. An availability
// zone that is out of service serves no history, and one that has returned serves a growing share.
func (rg *Registry) Eligible(model, root string) []View {
	sn := rg.snapshot()
	mdl, _ := sn.Model(model)
	listed := *rg.listedStates.Load()
	now := rg.clk.Now()
	sharePoint := float64(hash32(root)%shareBuckets) / shareBuckets
	provider := providerAt(mdl.Shares, sharePoint)
	var out []View
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, ep := range sn.EndpointsOf(model) {
		if ep.Leaving || listed[ep.Address] == keyvalue.HostLeaving {
			continue
		}
		if provider != "" && ep.Provider != provider {
			continue
		}
		if sharePoint >= ZoneShare(sn.Zone(ep.Zone), now) {
			continue
		}
		st := rg.stateOf(ep.Name)
		if now.Before(st.avoidUntil) {
			continue
		}
		out = append(out, st.view(ep, root, now, mdl.PrefillRate))
	}
	return out
}

// ZoneShare returns the share of histories, from 0 to 1, that an availability zone may serve at the
// given time.
func ZoneShare(z configuration.Zone, now time.Time) float64 {
	if z.OutOfService {
		return 0
	}
	if z.InServiceSinceMs == 0 {
		return 1
	}
	elapsed := now.Sub(time.UnixMilli(z.InServiceSinceMs))
	return min(1, max(initialZoneShare, float64(elapsed)/float64(zoneRampDuration)))
}

// RecordResponse records a response from the owner of an endpoint.
func (rg *Registry) RecordResponse(name string, res slot.AcquireResponse) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.stateOf(name)
	st.lastResponse = res
	st.respondedAt = rg.clk.Now()
}

// Avoid makes an endpoint ineligible for the duration d.
func (rg *Registry) Avoid(name string, d time.Duration) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.stateOf(name).avoidUntil = rg.clk.Now().Add(d)
}

// RecordStart records the start of a run on an endpoint.
func (rg *Registry) RecordStart(name, runID string, fp quarantine.Fingerprint) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.stateOf(name).activeRuns[runID] = fp
}

// RecordEnd records the end of a run. resident is how many tokens of its history are now in the
// endpoint's KV cache; zero leaves the known number as it is.
func (rg *Registry) RecordEnd(name, runID, root string, resident int) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.stateOf(name)
	delete(st.activeRuns, runID)
	if resident <= 0 {
		return
	}
	if len(st.residentByRoot) >= maxResidentRoots {
		clear(st.residentByRoot)
	}
	st.residentByRoot[root] = resident
}

// RunningFingerprints returns the distinct fingerprints of this host's runs on an endpoint, sorted.
func (rg *Registry) RunningFingerprints(name string) []quarantine.Fingerprint {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	var out []quarantine.Fingerprint
	for _, fp := range rg.stateOf(name).activeRuns {
		out = append(out, fp)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// RecordCrash drops the known backlog and KV cache of an endpoint that crashed.
func (rg *Registry) RecordCrash(name string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.stateOf(name)
	st.respondedAt = time.Time{}
	clear(st.residentByRoot)
}

// SortByPreference sorts views by rendezvous hashing over the root of the history, so that all hosts
// prefer the same endpoints for a history.
func SortByPreference(views []View, root string) {
	key := rendezvous.Hash(root)
	slices.SortFunc(views, func(a, b View) int {
		sa := rendezvous.Score(key, rendezvous.Hash(a.Name))
		sb := rendezvous.Score(key, rendezvous.Hash(b.Name))
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
}

func (rg *Registry) stateOf(name string) *endpointState {
	st := rg.states[name]
	if st == nil {
		st = &endpointState{residentByRoot: make(map[string]int), activeRuns: make(map[string]quarantine.Fingerprint)}
		rg.states[name] = st
	}
	return st
}

// view returns the View of an endpoint. Its backlog is the last reported one, less what the endpoint
// has likely prefilled since, at prefillRate in tokens/s.
func (st *endpointState) view(ep configuration.Endpoint, root string, now time.Time, prefillRate float64) View {
	age := now.Sub(st.respondedAt)
	return View{
		Endpoint: ep,
		Version:  st.lastResponse.Version,
		Backlog:  max(0, st.lastResponse.Backlog-age.Seconds()*prefillRate),
		Running:  max(len(st.activeRuns), st.lastResponse.Running),
		Resident: st.residentByRoot[root],
	}
}

// providerAt returns the provider whose share covers a point in [0, 1); empty means any provider.
func providerAt(shares []configuration.Share, point float64) string {
	upper := 0.0
	for _, sh := range shares {
		upper += sh.Share
		if point < upper {
			return sh.Provider
		}
	}
	return ""
}

func hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}
