package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// Sample returns at most most endpoints of a service that may get requests, chosen by the key of the
// request so that hosts with the same view do not all choose the same endpoint. All but one of them
// are in near, an availability zone, if it is named and has enough. Endpoints that failed a moment ago
// or take new weights are left out unless hardly any others are there.
func (fl *Fleet) Sample(service, near, key string, most int) []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	var good, rest []*endpoint
	for id, ep := range fl.endpoints {
		if fl.isGone(ep, now) {
			delete(fl.endpoints, id)
			continue
		}
		if ep.entry.Service != service || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
			continue
		}
		if now.Before(ep.avoid) || now.Before(ep.loading) {
			rest = append(rest, ep)
			continue
		}
		good = append(good, ep)
	}
	if len(good)+len(rest) <= most {
		good = append(good, rest...)
	} else if len(good) < most/2 {
		good = append(good, rest[:min(len(rest), most/2)]...)
	}
	if len(good) > most {
		hash := rendezvous.Hash(key)
		far := func(ep *endpoint) int {
			if near != "" && ep.entry.Zone != near {
				return 1
			}
			return 0
		}
		slices.SortFunc(good, func(a, b *endpoint) int {
			if c := cmp.Compare(far(a), far(b)); c != 0 {
				return c
			}
			return cmp.Compare(rendezvous.Score(hash, a.hash), rendezvous.Score(hash, b.hash))
		})
		// The last is far away, in case the zone is overloaded.
		if near != "" && most > 1 && far(good[len(good)-1]) == 1 {
			good[most-1] = good[len(good)-1]
		}
		good = good[:most]
	}
	out := make([]View, 0, len(good))
	for _, ep := range good {
		out = append(out, ep.view(now))
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}
