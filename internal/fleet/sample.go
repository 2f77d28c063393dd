package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// Sample returns at most limit endpoints of a service that may get requests. They are chosen by a hash of
// the request's key, so that hosts with the same view do not all choose the same endpoint. If zone is not
// empty and has enough endpoints, all but one are in that availability zone. Endpoints that are avoided or
// load new weights are left out unless there are hardly any others.
func (fl *Fleet) Sample(service, zone, key string, limit int) []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	var candidates, avoided []*endpoint
	for id, ep := range fl.endpoints {
		if fl.isExpired(ep, now) {
			delete(fl.endpoints, id)
			continue
		}
		if ep.entry.Service != service || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
			continue
		}
		if now.Before(ep.avoidUntil) || now.Before(ep.loadingUntil) {
			avoided = append(avoided, ep)
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
		zoneRank := func(ep *endpoint) int {
			if zone != "" && ep.entry.Zone != zone {
				return 1
			}
			return 0
		}
		slices.SortFunc(candidates, func(a, b *endpoint) int {
			if c := cmp.Compare(zoneRank(a), zoneRank(b)); c != 0 {
				return c
			}
			return cmp.Compare(rendezvous.Score(keyHash, a.hash), rendezvous.Score(keyHash, b.hash))
		})
		// The last one is from another zone if there is one, in case the preferred zone is overloaded.
		if zone != "" && limit > 1 && zoneRank(candidates[len(candidates)-1]) == 1 {
			candidates[limit-1] = candidates[len(candidates)-1]
		}
		candidates = candidates[:limit]
	}
	out := make([]View, 0, len(candidates))
	for _, ep := range candidates {
		out = append(out, ep.view(now))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}
