// Package endpoint keeps what one host knows of the endpoints: which may take new work, what
// they answered last, and what this host has running on them.
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
	// rampTime is how long the share of a returning availability zone grows.
	rampTime = 40 * time.Second
	// rampStart is the share with which a returning availability zone begins.
	rampStart = 0.1

	shareSteps = 1000
)

type (
	// View is one endpoint as this host knows it now.
	View struct {
		configuration.Endpoint
		// Version is the weight version that it last reported; empty means unknown.
		Version string
		// Backlog is how many tokens wait there to be read.
		Backlog float64
		// Running is how many runs it has.
		Running int
		// Resident is how many tokens of the history asked for it has, as far as this host knows.
		Resident int
	}

	// Registry is safe for concurrent use.
	Registry struct {
		clk      clock.Clock
		snapshot func() *configuration.Snapshot
		listed   atomic.Pointer[map[string]keyvalue.HostState]

		mu     sync.Mutex
		states map[string]*state
	}

	state struct {
		answer   slot.Answer
		answered time.Time
		avoid    time.Time
		roots    map[string]int
		running  map[string]quarantine.Fingerprint
	}
)

const rootsLimit = 512

// NewRegistry returns a registry over the configuration in force.
func NewRegistry(clk clock.Clock, snapshot func() *configuration.Snapshot) *Registry {
	rg := &Registry{clk: clk, snapshot: snapshot, states: make(map[string]*state)}
	rg.listed.Store(&map[string]keyvalue.HostState{})
	return rg
}

// SetListed takes in the platform's list of hosts.
func (rg *Registry) SetListed(hosts []keyvalue.ListedHost) {
	byAddress := make(map[string]keyvalue.HostState, len(hosts))
	for _, h := range hosts {
		byAddress[h.Address] = h.State
	}
	rg.listed.Store(&byAddress)
}

// NoteListed takes in one line of the platform's list, heard from another host.
func (rg *Registry) NoteListed(address string, hs keyvalue.HostState) {
	for {
		old := rg.listed.Load()
		next := maps.Clone(*old)
		next[address] = hs
		if rg.listed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// Eligible returns the endpoints that may take new work of a model, for the history with the
// given root. An availability zone that is out gives none, and one that came back gives a
// growing share of histories.
func (rg *Registry) Eligible(model, root string) []View {
	sn := rg.snapshot()
	mdl, _ := sn.Model(model)
	listed := *rg.listed.Load()
	now := rg.clk.Now()
	point := float64(hashOf(root)%shareSteps) / shareSteps
	provider := providerAt(mdl.Shares, point)
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
		if point >= ZoneShare(sn.Zone(ep.Zone), now) {
			continue
		}
		st := rg.state(ep.Name)
		if now.Before(st.avoid) {
			continue
		}
		out = append(out, st.view(ep, root, now, mdl.PrefillRate))
	}
	return out
}

// ZoneShare returns the share of histories that an availability zone may serve at now, from 0
// to 1.
func ZoneShare(z configuration.Zone, now time.Time) float64 {
	if z.Out {
		return 0
	}
	if z.InSince == 0 {
		return 1
	}
	past := now.Sub(time.UnixMilli(z.InSince))
	return min(1, max(rampStart, float64(past)/float64(rampTime)))
}

// Answered takes in an owner's answer.
func (rg *Registry) Answered(name string, ans slot.Answer) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.state(name)
	st.answer = ans
	st.answered = rg.clk.Now()
}

// Avoid excludes an endpoint for a time.
func (rg *Registry) Avoid(name string, d time.Duration) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.state(name).avoid = rg.clk.Now().Add(d)
}

// Started counts a run on an endpoint.
func (rg *Registry) Started(name, runID string, fp quarantine.Fingerprint) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.state(name).running[runID] = fp
}

// Ended forgets a run; resident says how much of its history the endpoint now has.
func (rg *Registry) Ended(name, runID, root string, resident int) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.state(name)
	delete(st.running, runID)
	if resident <= 0 {
		return
	}
	if len(st.roots) >= rootsLimit {
		clear(st.roots)
	}
	st.roots[root] = resident
}

// Running returns the fingerprints of this host's runs on an endpoint, in order.
func (rg *Registry) Running(name string) []quarantine.Fingerprint {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	var out []quarantine.Fingerprint
	for _, fp := range rg.state(name).running {
		out = append(out, fp)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Crashed forgets what an endpoint had in memory.
func (rg *Registry) Crashed(name string) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	st := rg.state(name)
	st.answered = time.Time{}
	clear(st.roots)
}

// Preferred orders views by rendezvous hashing over the root of the history, so that every host
// prefers the same endpoints for one history.
func Preferred(views []View, root string) {
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

func (rg *Registry) state(name string) *state {
	st := rg.states[name]
	if st == nil {
		st = &state{roots: make(map[string]int), running: make(map[string]quarantine.Fingerprint)}
		rg.states[name] = st
	}
	return st
}

func (st *state) view(ep configuration.Endpoint, root string, now time.Time, rate float64) View {
	age := now.Sub(st.answered)
	return View{
		Endpoint: ep,
		Version:  st.answer.Version,
		Backlog:  max(0, st.answer.Backlog-age.Seconds()*rate),
		Running:  max(len(st.running), st.answer.Running),
		Resident: st.roots[root],
	}
}

// providerAt returns the provider that serves a point of [0, 1); empty means any.
func providerAt(shares []configuration.Share, point float64) string {
	sum := 0.0
	for _, sh := range shares {
		sum += sh.Share
		if point < sum {
			return sh.Provider
		}
	}
	return ""
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}
