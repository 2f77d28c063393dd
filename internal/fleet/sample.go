package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// rankedEndpoint is an endpoint with what it is ranked by: its zone first, then its score for a request.
type rankedEndpoint struct {
	ep        *endpoint
	otherZone bool
	score     uint64
}

func compareRank(a, b rankedEndpoint) int {
	if a.otherZone != b.otherZone {
		if a.otherZone {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.score, b.score)
}

// Sample returns at most limit endpoints of a service that may get requests. They are chosen by a hash of
// the request's key, so that hosts with the same view do not all choose the same endpoint. If zone is not
// empty and has enough endpoints, all but one are in that availability zone. Endpoints that are avoided or
// load new weights are left out unless there are hardly any others, and those of whose limit this host has used up its
// share, or that want none now, always. One that names a limit and takes a request from this host comes on top of the limit of the sample.
func (fl *Fleet) Sample(service, zone, key string, limit int) []View {
	return fl.sample(zone, key, limit, func(ep *endpoint) bool { return ep.entry.Service == service })
}

// SampleSoftware is Sample among the endpoints with a software version. Those of which another start answers are left out.
func (fl *Fleet) SampleSoftware(service, software, zone, key string, limit int) []View {
	return fl.sample(zone, key, limit, func(ep *endpoint) bool {
		return ep.entry.Service == service && ep.entry.SoftwareVersion == software && !ep.otherStart
	})
}

// SampleVersions is Sample among the endpoints that a filter selects.
func (fl *Fleet) SampleVersions(service string, sf SoftwareFilter, zone, key string, limit int) []View {
	return fl.sample(zone, key, limit, fl.selector(service, sf))
}

func (fl *Fleet) sample(zone, key string, limit int, includes func(*endpoint) bool) []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	var candidates, avoided, limited []*endpoint
	for id, ep := range fl.endpoints {
		if fl.isExpired(ep, now) {
			fl.delete(id, ep, now)
			continue
		}
		if !includes(ep) || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
			continue
		}
		if !fl.isWithinLimit(ep, now) || ep.said.wait.isHeld(now) || !fl.hasRoom(ep, now) {
			continue
		}
		if now.Before(ep.avoidUntil) || now.Before(ep.loadingUntil) {
			avoided = append(avoided, ep)
			continue
		}
		if fl.hasLimit(ep, now) {
			limited = append(limited, ep)
			continue
		}
		candidates = append(candidates, ep)
	}
	if len(candidates)+len(avoided) <= limit {
		candidates = append(candidates, avoided...)
	} else if len(candidates) < limit/2 {
		candidates = append(candidates, avoided[:min(len(avoided), limit/2)]...)
	}
	if len(candidates) > limit {
		keyHash := rendezvous.Hash(key)
		ranked := make([]rankedEndpoint, len(candidates))
		for i, ep := range candidates {
			ranked[i] = rankedEndpoint{ep: ep, otherZone: zone != "" && ep.entry.Zone != zone, score: rendezvous.Score(keyHash, ep.hash)}
		}
		last := slices.MaxFunc(ranked, compareRank)
		for i := range limit {
			// The sample is small, so that selecting is cheaper than sorting.
			best := i
			for k := i + 1; k < len(ranked); k++ {
				if compareRank(ranked[k], ranked[best]) < 0 {
					best = k
				}
			}
			ranked[i], ranked[best] = ranked[best], ranked[i]
			candidates[i] = ranked[i].ep
		}
		// The last one is from another zone if there is one, in case the preferred zone is overloaded.
		if limit > 1 && last.otherZone {
			candidates[limit-1] = last.ep
		}
		candidates = candidates[:limit]
	}
	candidates = append(candidates, limited...)
	out := make([]View, 0, len(candidates))
	for _, ep := range candidates {
		out = append(out, fl.view(ep, now))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}
