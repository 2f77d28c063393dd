package fleet

import (
	"slices"
	"time"
)

// SetPeerLoads records the load of a peer at each endpoint. LoadOf gets the rendezvous hash of the endpoint's
// identifier and returns false if the peer has no load there.
func (fl *Fleet) SetPeerLoads(peer string, loadOf func(idHash uint64) (ld Load, ok bool)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	for _, ep := range fl.endpoints {
		ld, ok := loadOf(ep.hash)
		i := slices.IndexFunc(ep.peerLoads, func(pl peerLoad) bool { return pl.peer == peer })
		switch {
		case ok && i >= 0:
			ep.peerLoads[i].load, ep.peerLoads[i].reportedAt = ld, now
		case ok:
			ep.peerLoads = append(ep.peerLoads, peerLoad{peer: peer, load: ld, reportedAt: now})
		case i >= 0:
			ep.peerLoads = slices.Delete(ep.peerLoads, i, i+1)
		}
	}
}

// OwnLoads returns the loads of this host by the identifier of the endpoint.
func (fl *Fleet) OwnLoads() map[string]Load {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[string]Load)
	for id, ep := range fl.endpoints {
		if ep.ownLoad != (Load{}) {
			out[id] = ep.ownLoad
		}
	}
	return out
}

// DownEndpoints returns the endpoints that this host currently cannot reach, and the engines that recently
// rejected its requests: an engine that loads new weights rejects all requests until it has them. The value
// is the number of hosts that report the endpoint, which is always 1 for this host.
func (fl *Fleet) DownEndpoints() map[string]int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make(map[string]int)
	for id, ep := range fl.endpoints {
		if ep.backoff > 0 && now.Before(ep.avoidUntil) || len(ep.entry.Models) > 0 && now.Before(ep.rejectingUntil) {
			out[id] = 1
		}
	}
	return out
}

// MarkPeerDown records the endpoints that other hosts report as down, with the number of those hosts. An
// endpoint that at least peerDownQuorum hosts report is avoided for peerDownDuration.
func (fl *Fleet) MarkPeerDown(down map[string]int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	until := fl.opts.Clock.Now().Add(peerDownDuration)
	for id, count := range down {
		if ep := fl.endpoints[id]; ep != nil && count >= peerDownQuorum {
			ep.avoidUntil = later(ep.avoidUntil, until)
		}
	}
}

// RecentWeights returns, by the identifier of the engine, the versions of the weights of engines for which an
// answer or a peer reported a new version less than age ago.
func (fl *Fleet) RecentWeights(age time.Duration) map[string]map[string]uint64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make(map[string]map[string]uint64)
	for id, ep := range fl.endpoints {
		if !ep.weightsReportedAt.IsZero() && now.Sub(ep.weightsReportedAt) < age {
			out[id] = ep.entry.Models
		}
	}
	return out
}

// UpdateWeights records a version of weights reported by a peer, if it is newer than the known one.
func (fl *Fleet) UpdateWeights(id, model string, version uint64) {
	fl.mu.Lock()
	ep := fl.endpoints[id]
	newer := ep != nil && version > ep.entry.Models[model]
	fl.mu.Unlock()
	if newer {
		fl.SetWeights(id, model, version)
	}
}
