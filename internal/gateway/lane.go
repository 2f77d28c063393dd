package gateway

import (
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/lane"
	"github.com/bergamotway/bergamotway/internal/placement"
)

// engineLane is the part of the engines that a request may use.
type engineLane struct {
	lane lane.Lane
	part lane.Part
	// reservedRatio is the memory that is set aside for the requests in the lane, relative to what they take. Zero means that the
	// lane is Shared.
	reservedRatio float64
}

// capacityTokens returns the memory of an engine as a number of tokens that may be set aside for the requests in the lane.
func (el engineLane) capacityTokens(capacity int) int {
	if el.reservedRatio > 1 {
		return int(float64(capacity) * el.reservedRatio)
	}
	return capacity
}

// findLane records a request to engines and returns its lane.
func (gw *Gateway) findLane(rq *Request) engineLane {
	en := rq.service.Engine
	if en == nil || rq.Model == "" || rq.isTakeUp() {
		return engineLane{}
	}
	// The counts come from the client. What exceeds an engine says nothing about the class.
	capacity := float64(en.CapacityTokens)
	memory := min(float64(rq.memoryTokens()), capacity)
	ln, size := gw.lanes.Observe(lane.Key{Service: rq.service.Name, Route: rq.route.Name}, lane.Class{
		Urgency: rq.route.Priority, Target: rq.route.TargetLatency,
		PromptTokens: min(float64(rq.PromptTokens), capacity), MemoryTokens: memory,
		// The output grows while the request runs.
		UsedTokens: max(memory/2, memory-float64(rq.MaxOutputTokens)/2),
	})
	if ln == lane.Shared {
		return engineLane{}
	}
	sl := gw.opts.Fleet.ServiceLoad(rq.service.Name)
	part, ok := gw.lanes.Part(rq.service.Name, ln, lane.Load{
		Engines: sl.Endpoints, Unusable: sl.Avoided, Slots: en.Slots, CapacityTokens: en.CapacityTokens,
		Requests: float64(sl.Requests), Tokens: float64(sl.Tokens),
	}, sl.HasPeers || gw.opts.HostCount() <= 1)
	if !ok {
		return engineLane{}
	}
	return engineLane{lane: ln, part: part, reservedRatio: size.MemoryTokens / max(1, size.UsedTokens)}
}

// sampleEngines returns the endpoints among which an attempt chooses first.
func (fw *forwarder) sampleEngines(sf fleet.SoftwareFilter, homeZone string, size int) []fleet.View {
	fl, service := fw.gw.opts.Fleet, fw.rq.service.Name
	if fw.usedLane = fw.lane; fw.usedLane.lane != lane.Shared {
		if views := fl.SamplePart(service, sf, homeZone, fw.rq.ID, size, fw.lane.part.From, fw.lane.part.To); len(views) > 0 {
			return views
		}
		fw.usedLane = engineLane{}
	}
	return fl.SampleVersions(service, sf, homeZone, fw.rq.ID, size)
}

// leavesLane reports whether the attempt may use all engines because its lane has none for it, or only ones that come last.
func (fw *forwarder) leavesLane(cands []placement.Candidate, ch placement.Choice, found bool) bool {
	if fw.usedLane.lane == lane.Shared {
		return false
	}
	if found {
		if ca := cands[ch.Index]; !ca.Loading && !ca.Avoided && !ca.Unrecorded {
			return false
		}
	}
	fw.usedLane = engineLane{}
	return true
}
