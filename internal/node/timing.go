package node

import (
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/timing"
)

// addTimes adds what this host has observed of the times of engines to its digest.
func (no *Node) addTimes(dg *peering.Digest) {
	re := no.timing.Own()
	for name, su := range re.Services {
		if dg.ServiceTimes == nil {
			dg.ServiceTimes = make(peering.ServiceTimes, len(re.Services))
		}
		dg.ServiceTimes[name] = su.Numbers()
	}
	for id, ra := range re.Endpoints {
		if dg.EngineTimes == nil {
			dg.EngineTimes = make(peering.EngineTimes, len(re.Endpoints))
		}
		key := peering.KeyOf(id)
		known := dg.EngineTimes[key]
		dg.EngineTimes[key] = peering.EngineTime{Weight: known.Weight + ra.Weight, Sum: known.Sum + ra.Sum}
	}
}

// mergeTimes takes over the times of engines that other hosts have observed.
func (no *Node) mergeTimes(from string, dg peering.Digest) {
	// Most totals are without times.
	if len(dg.ServiceTimes) == 0 {
		return
	}
	services := make(map[string]timing.Sums, len(dg.ServiceTimes))
	for name, numbers := range dg.ServiceTimes {
		if su, ok := timing.SumsOf(numbers); ok {
			services[name] = su
		}
	}
	no.timing.SetPeer(from, services, func(endpointID string) (timing.Ratio, bool) {
		ti, ok := dg.EngineTimes[peering.KeyOf(endpointID)]
		return timing.Ratio{Weight: ti.Weight, Sum: ti.Sum}, ok
	})
}
