package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// maxServiceLoadAge is the age up to which the load of a service is not summed again. Peers report ten times a second.
const maxServiceLoadAge = 50 * time.Millisecond

// ServiceLoad is the load on all endpoints of a service.
type ServiceLoad struct {
	Load
	// Endpoints is the number of endpoints that may get requests, avoided ones included.
	Endpoints int
	// Avoided is the number of those that are avoided at the moment.
	Avoided int
	// HasPeers is set if the load from other hosts is known.
	HasPeers bool
}

// knownServiceLoad is the load of a service as of a time.
type knownServiceLoad struct {
	load ServiceLoad
	at   time.Time
}

// ServiceLoad returns the load on the endpoints of a service that may get requests. It may be maxServiceLoadAge old.
func (fl *Fleet) ServiceLoad(service string) ServiceLoad {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	if kl, ok := fl.serviceLoads[service]; ok && now.Sub(kl.at) < maxServiceLoadAge {
		return kl.load
	}
	sl := fl.sumLoad(service, now)
	fl.serviceLoads[service] = knownServiceLoad{load: sl, at: now}
	return sl
}

// sumLoad returns the load on the endpoints of a service that may get requests. The caller holds the lock.
func (fl *Fleet) sumLoad(service string, now time.Time) (out ServiceLoad) {
	for _, ep := range fl.endpoints {
		if ep.entry.Service != service || !fl.mayServe(ep) {
			continue
		}
		out.Endpoints++
		if now.Before(ep.avoidUntil) {
			out.Avoided++
		}
		out.Requests += ep.ownLoad.Requests
		out.Tokens += ep.ownLoad.Tokens
		for _, pl := range ep.peerLoads {
			if now.Sub(pl.reportedAt) <= maxPeerLoadAge {
				out.Requests += pl.load.Requests
				out.Tokens += pl.load.Tokens
				out.HasPeers = true
			}
		}
	}
	return out
}

// SamplePart is SampleVersions among a part of the endpoints of a service. In each availability zone, the endpoints have an order, and
// those between the shares from and to of it are the part, at least one. If from and to are no range of shares, the part is all of them. Hosts that know the same endpoints order them in the same
// way.
func (fl *Fleet) SamplePart(service string, sf SoftwareFilter, zone, key string, limit int, from, to float64) []View {
	if !(from >= 0 && from < to && to <= 1) {
		from, to = 0, 1
	}
	fl.order(service)
	selects := fl.selector(service, sf)
	return fl.sample(zone, key, limit, func(ep *endpoint) bool { return ep.isBetween(from, to) && selects(ep) })
}

// order ranks the endpoints of a service that are not draining in their zones, unless they are ranked. Evacuations change no order,
// as they are of whole zones.
func (fl *Fleet) order(service string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.ordered[service] {
		return
	}
	serviceHash := rendezvous.Hash(service)
	zones := make(map[string][]rankedEndpoint)
	for _, ep := range fl.endpoints {
		if ep.entry.Service == service && !ep.entry.Draining {
			zones[ep.entry.Zone] = append(zones[ep.entry.Zone], rankedEndpoint{ep: ep, score: rendezvous.Score(serviceHash, ep.hash)})
		}
	}
	for _, ranked := range zones {
		slices.SortFunc(ranked, func(a, b rankedEndpoint) int { return cmp.Compare(a.score, b.score) })
		for i, re := range ranked {
			re.ep.zoneRank, re.ep.zoneCount = i, len(ranked)
		}
	}
	fl.ordered[service] = true
}

// isBetween reports whether an endpoint is between two shares of the order in its zone. The caller holds the fleet's lock.
func (ep *endpoint) isBetween(from, to float64) bool {
	count := float64(ep.zoneCount)
	first := min(int(math.Round(count*from)), ep.zoneCount-1)
	last := max(int(math.Round(count*to)), first+1)
	// One that was added after the order has no rank yet.
	return ep.zoneCount > 0 && ep.zoneRank >= first && ep.zoneRank < last
}

// drain marks an endpoint as draining. The caller holds the lock.
func (fl *Fleet) drain(ep *endpoint) {
	ep.entry.Draining = true
	delete(fl.ordered, ep.entry.Service)
}

// mayServe reports whether an endpoint is neither draining nor in an evacuated availability zone. The caller holds the lock.
func (fl *Fleet) mayServe(ep *endpoint) bool {
	return !ep.entry.Draining && !fl.evacuated[ep.entry.Zone]
}
