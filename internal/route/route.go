// Package route chooses the endpoint for a request and how the KV cache of its history gets there.
//
// It consists of pure functions: no clock, no I/O, no locks. Times are in seconds and rates per second, as
// float64, because they are estimates.
package route

type (
	// Strategy is how the part of a history that is not resident gets into an endpoint's memory.
	Strategy int

	// Endpoint is a candidate as the host knows it.
	Endpoint struct {
		// ResidentTokens is the estimated number of the history's tokens in the endpoint's memory.
		ResidentTokens int
		// BacklogTokens is the number of prompt tokens queued for prefill ahead of the request.
		BacklogTokens float64
		// Running is the number of answers being generated.
		Running int
		// PrefillRate is the prefill rate in tokens/s. Zero excludes the candidate.
		PrefillRate float64
		// ExtraDelay is an additional wait in seconds, such as that of a cold start.
		ExtraDelay float64
		// Link is the link over which the stored history would be imported.
		Link Link
	}

	// Link is the network path from a store host.
	Link struct {
		// StoredTokens is the number of the history's tokens, from its start, that the store host holds.
		StoredTokens int
		// Rate is the current rate of the link in bytes/s. Below 1 the link is not used.
		Rate float64
		// BacklogBytes is the number of bytes queued on the link.
		BacklogBytes float64
	}

	// Work describes the request.
	Work struct {
		// Tokens is the length of the history and the new message.
		Tokens int
		// PieceTokens is the granularity of imports in tokens; zero means one token.
		PieceTokens int
		// BytesPerToken is the size of the KV cache of one token.
		BytesPerToken float64
		// FirstTokenTarget is the target time to first token of the class, in seconds; zero means no target.
		FirstTokenTarget float64
		// CanSplit reports that endpoints can prefill the head of a history while its tail is imported.
		CanSplit bool
		// CostTarget is the cost target of the class in accelerator seconds; zero means no target.
		CostTarget float64
	}

	// Plan is a chosen candidate with its estimates.
	Plan struct {
		// Endpoint is the index of the candidate.
		Endpoint int
		Strategy Strategy
		// ImportTokens is the number of imported tokens.
		ImportTokens int
		// RecomputeTokens is the number of prefilled tokens.
		RecomputeTokens int
		// FirstToken is the expected time to first token in seconds.
		FirstToken float64
		// Cost is the accelerator time plus the weighted link time, in seconds.
		Cost float64
	}
)

const (
	// Recompute prefills everything that is not resident.
	Recompute Strategy = iota
	// Import imports every stored piece that is not resident, and prefills the remaining tokens.
	Import
	// Split prefills the head while the tail is imported. The reverse is not possible, because the prefill
	// of the tail attends to the KV cache of the head.
	Split
)

const (
	// linkCostWeight is the cost of a second of link time, in accelerator seconds.
	linkCostWeight = 0.15
	// minLinkBytesPerSecond is the lowest rate of a link that is used.
	minLinkBytesPerSecond = 1
	// prefillSlowdown is the share by which each running answer slows down the prefill.
	prefillSlowdown = 0.002
	// tieTolerance is the relative difference in score within which plans count as equally good.
	tieTolerance = 0.02
	// latenessWeight is the weight of a second beyond the target against a second of cost.
	latenessWeight = 8
	// maxWaitWeight is the weight of a second of waiting against a second of cost.
	maxWaitWeight = 1
	// referenceTargetSeconds is the target up to which waiting has its full weight. Classes with a longer target
	// weigh waiting less, so that they leave the fast endpoints to classes with a short one.
	referenceTargetSeconds = 0.55
)

// String returns the name in kebab case.
func (st Strategy) String() string {
	switch st {
	case Import:
		return "import"
	case Split:
		return "split"
	default:
		return "recompute"
	}
}

// Estimate returns the plan with the shortest time to first token for one candidate, and false if the
// candidate is excluded.
func Estimate(ep Endpoint, wk Work) (Plan, bool) {
	return estimate(&ep, &wk)
}

// estimate is Estimate with pointers, which spare Choose a copy of each candidate.
func estimate(ep *Endpoint, wk *Work) (Plan, bool) {
	if ep.PrefillRate <= 0 {
		return Plan{}, false
	}
	prefillRate := ep.PrefillRate / (1 + prefillSlowdown*float64(ep.Running))
	wait := ep.BacklogTokens/prefillRate + ep.ExtraDelay
	resident := min(ep.ResidentTokens, wk.Tokens)
	best := recomputePlan(wait, prefillRate, wk.Tokens-resident)
	available := min(ep.Link.StoredTokens, wk.Tokens) - resident
	if ep.Link.Rate < minLinkBytesPerSecond || available <= 0 {
		return best, true
	}
	remaining := wk.Tokens - resident - available
	secondsPerToken := wk.BytesPerToken / ep.Link.Rate
	linkWait := ep.Link.BacklogBytes / ep.Link.Rate
	if pl := importPlan(wait, prefillRate, linkWait, secondsPerToken, 0, available, remaining); pl.FirstToken < best.FirstToken {
		best = pl
	}
	if !wk.CanSplit {
		return best, true
	}
	head := splitHead(wait, prefillRate, linkWait, secondsPerToken, available, wk.PieceTokens)
	if pl := importPlan(wait, prefillRate, linkWait, secondsPerToken, head, available-head, remaining); pl.FirstToken < best.FirstToken {
		best = pl
	}
	return best, true
}

// Choose returns the plan with the lowest score over all candidates, and false if all are excluded. Among
// plans with nearly equal scores the number random decides, so that many hosts do not choose the same
// endpoint at once.
//
// Lateness against the target dominates the score. If no plan meets the cost target in time, the request
// is served in time: time takes precedence over cost.
func Choose(eps []Endpoint, wk Work, random uint64) (Plan, bool) {
	var best Plan
	bestScore, found, tied := 0.0, false, uint64(0)
	weight := waitWeight(wk)
	for i := range eps {
		ep := &eps[i]
		// The weighted wait for the backlog alone is a lower bound of the score.
		if found && weight*ep.BacklogTokens > bestScore*(1+tieTolerance)*ep.PrefillRate {
			continue
		}
		pl, ok := estimate(ep, &wk)
		if !ok {
			continue
		}
		pl.Endpoint = i
		sc := score(&pl, &wk, weight)
		switch {
		case !found || sc < bestScore*(1-tieTolerance):
			best, bestScore, found, tied = pl, sc, true, 1
		case sc <= bestScore*(1+tieTolerance):
			tied++
			if random%tied == 0 {
				best = pl
			}
			bestScore = min(bestScore, sc)
			// The next number of a linear congruential generator, with the constants of Knuth's MMIX.
			random = random*6364136223846793005 + 1442695040888963407
		}
	}
	return best, found
}

// waitWeight returns the weight of a second of waiting within the target of the class.
func waitWeight(wk Work) float64 {
	return maxWaitWeight * min(1, referenceTargetSeconds/max(wk.FirstTokenTarget, referenceTargetSeconds))
}

// score returns the weighted cost of a plan; the lowest is the best.
func score(pl *Plan, wk *Work, weight float64) float64 {
	sc := pl.Cost + weight*pl.FirstToken
	if lateness := pl.FirstToken - wk.FirstTokenTarget; wk.FirstTokenTarget > 0 && lateness > 0 {
		sc += latenessWeight * lateness
	}
	if excess := pl.Cost - wk.CostTarget; wk.CostTarget > 0 && excess > 0 {
		sc += excess
	}
	return sc
}

func recomputePlan(wait, prefillRate float64, tokens int) Plan {
	prefillTime := float64(tokens) / prefillRate
	return Plan{Strategy: Recompute, RecomputeTokens: tokens, FirstToken: wait + prefillTime, Cost: prefillTime}
}

// importPlan returns the plan that prefills head tokens while tail tokens are imported, and then prefills
// the remaining tokens.
func importPlan(wait, prefillRate, linkWait, secondsPerToken float64, head, tail, remaining int) Plan {
	linkTime := float64(tail) * secondsPerToken
	headTime := float64(head) / prefillRate
	ready := max(wait+headTime, linkWait+linkTime)
	strategy := Import
	if head > 0 {
		strategy = Split
	}
	remainingTime := float64(remaining) / prefillRate
	return Plan{
		Strategy:        strategy,
		ImportTokens:    tail,
		RecomputeTokens: head + remaining,
		FirstToken:      ready + remainingTime,
		Cost:            headTime + remainingTime + linkCostWeight*linkTime,
	}
}

// splitHead returns the number of head tokens, in whole pieces, for which the prefill and the import of the
// other tokens end together.
func splitHead(wait, prefillRate, linkWait, secondsPerToken float64, available, pieceTokens int) int {
	head := (linkWait + float64(available)*secondsPerToken - wait) / (1/prefillRate + secondsPerToken)
	if head <= 0 {
		return 0
	}
	n := int(min(head, float64(available)))
	if pieceTokens > 1 {
		n -= n % pieceTokens
	}
	return n
}
