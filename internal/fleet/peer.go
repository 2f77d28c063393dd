package fleet

import "time"

// PeerLoads records the loads that a peer has under way at each endpoint; ok is false where it has none.
func (fl *Fleet) PeerLoads(peer string, of func(id string) (ld Load, ok bool)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	for id, ep := range fl.endpoints {
		ld, ok := of(id)
		if !ok {
			delete(ep.peers, peer)
			continue
		}
		if ep.peers == nil {
			ep.peers = make(map[string]peerLoad)
		}
		ep.peers[peer] = peerLoad{load: ld, at: now}
	}
}

// OwnLoads returns the loads of this host by the identifier of the endpoint.
func (fl *Fleet) OwnLoads() map[string]Load {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[string]Load)
	for id, ep := range fl.endpoints {
		if ep.own != (Load{}) {
			out[id] = ep.own
		}
	}
	return out
}

// Down returns the endpoints that this host cannot reach now, and the engines that have rejected its
// requests a moment ago: those take new weights, mostly, and reject all until they have them.
func (fl *Fleet) Down() map[string]int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make(map[string]int)
	for id, ep := range fl.endpoints {
		if ep.backoff > 0 && now.Before(ep.avoid) || len(ep.entry.Models) > 0 && now.Before(ep.shunned) {
			out[id] = 1
		}
	}
	return out
}

// PeerDown takes the endpoints that others cannot reach, with the number of those hosts. If they are
// at least two, this host leaves the endpoint alone as well for a moment.
func (fl *Fleet) PeerDown(down map[string]int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	until := fl.opts.Clock.Now().Add(peerDownFor)
	for id, count := range down {
		if ep := fl.endpoints[id]; ep != nil && count >= peerDownLeast {
			ep.avoid = later(ep.avoid, until)
		}
	}
}

// Taught returns the versions of weights that were learned from answers and reports within the last
// age, by the identifier of the engine.
func (fl *Fleet) Taught(age time.Duration) map[string]map[string]uint64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	out := make(map[string]map[string]uint64)
	for id, ep := range fl.endpoints {
		if !ep.taught.IsZero() && now.Sub(ep.taught) < age {
			out[id] = ep.entry.Models
		}
	}
	return out
}

// Newer records weights that a peer has seen, if they are newer than those known.
func (fl *Fleet) Newer(id, model string, version uint64) {
	fl.mu.Lock()
	ep := fl.endpoints[id]
	newer := ep != nil && version > ep.entry.Models[model]
	fl.mu.Unlock()
	if newer {
		fl.Weights(id, model, version)
	}
}
