package peering

import (
	"cmp"
	"slices"
)

type (
	// RolloutOrder identifies an operator's order to roll out a software version.
	RolloutOrder struct {
		Service string `json:"s"`
		To      string `json:"t"`
		// Revision is the number of the revision of the order's item.
		Revision uint64 `json:"r"`
	}

	// Rollout is how far a rollout has come.
	Rollout struct {
		RolloutOrder
		// AgeMs is the time since the order, in milliseconds.
		AgeMs int64 `json:"a,omitempty"`
		// Exposure is the share of the requests that the new version gets, in permille; zero if it is not judged.
		Exposure int `json:"e,omitempty"`
		// IsBad is set if the new version has been judged bad.
		IsBad bool `json:"b,omitempty"`
		// Hosts is the number of hosts that carry the rollout out and of which this speaks, and Lowest the lowest exposure in force at any
		// of them. Earlier builds do not tell either, and are taken for such that do not know the order.
		Hosts  int `json:"h,omitempty"`
		Lowest int `json:"l,omitempty"`
	}

	// RolloutCounts are the responses on a route since an order.
	RolloutCounts struct {
		RolloutOrder
		Route string `json:"p"`
		// New and Old are the responses of the new version and of the others.
		New ResponseCounts `json:"n,omitzero"`
		Old ResponseCounts `json:"o,omitzero"`
	}

	// ResponseCounts are cumulative counts of responses. At, FailedAt and SlowAt count by group of endpoints.
	ResponseCounts struct {
		Responses uint64 `json:"n,omitempty"`
		Failed    uint64 `json:"f,omitempty"`
		Slow      uint64 `json:"l,omitempty"`
		At        Spread `json:"a,omitzero"`
		FailedAt  Spread `json:"x,omitzero"`
		SlowAt    Spread `json:"y,omitzero"`
	}

	// Spread counts responses by group of endpoints.
	Spread = [16]uint64

	// rolloutRoute identifies a route of a service that is being rolled out.
	rolloutRoute struct {
		order RolloutOrder
		route string
	}
)

// maxRollouts and maxRolloutCounts limit what a merged digest says about rollouts, to about 10 KB.
const (
	maxRollouts      = 16
	maxRolloutCounts = 64
)

// mergeRollouts merges the states of rollouts into out, and adds up the responses.
func mergeRollouts(out *Digest, digests []Digest) {
	states := make(map[RolloutOrder]Rollout)
	counts := make(map[rolloutRoute]RolloutCounts)
	for _, dg := range digests {
		for _, ro := range dg.Rollouts {
			known, isKnown := states[ro.RolloutOrder]
			if ro.Hosts += known.Hosts; isKnown {
				ro.Lowest = min(ro.Lowest, known.Lowest)
			}
			ro.AgeMs, ro.Exposure = max(ro.AgeMs, known.AgeMs), max(ro.Exposure, known.Exposure)
			ro.IsBad = ro.IsBad || known.IsBad
			states[ro.RolloutOrder] = ro
		}
		for _, rc := range dg.RolloutCounts {
			key := rolloutRoute{rc.RolloutOrder, rc.Route}
			known := counts[key]
			rc.New, rc.Old = rc.New.add(known.New), rc.Old.add(known.Old)
			counts[key] = rc
		}
	}
	for _, ro := range states {
		out.Rollouts = append(out.Rollouts, ro)
	}
	for _, rc := range counts {
		out.RolloutCounts = append(out.RolloutCounts, rc)
	}
	// Later orders replace earlier ones, so they come first.
	slices.SortFunc(out.Rollouts, func(a, b Rollout) int { return a.compare(b.RolloutOrder) })
	slices.SortFunc(out.RolloutCounts, func(a, b RolloutCounts) int {
		return cmp.Or(a.compare(b.RolloutOrder), cmp.Compare(a.Route, b.Route))
	})
	out.Rollouts = out.Rollouts[:min(len(out.Rollouts), maxRollouts)]
	out.RolloutCounts = out.RolloutCounts[:min(len(out.RolloutCounts), maxRolloutCounts)]
}

func (od RolloutOrder) compare(other RolloutOrder) int {
	return cmp.Or(cmp.Compare(other.Revision, od.Revision), cmp.Compare(od.Service, other.Service), cmp.Compare(od.To, other.To))
}

func (rc ResponseCounts) add(other ResponseCounts) ResponseCounts {
	return ResponseCounts{
		Responses: rc.Responses + other.Responses, Failed: rc.Failed + other.Failed, Slow: rc.Slow + other.Slow,
		At: addSpreads(rc.At, other.At), FailedAt: addSpreads(rc.FailedAt, other.FailedAt), SlowAt: addSpreads(rc.SlowAt, other.SlowAt),
	}
}

func addSpreads(a, b Spread) Spread {
	for i := range a {
		a[i] += b[i]
	}
	return a
}
