// Package route decides which endpoint serves a request and how its history gets there.
//
// It holds plain functions over values that the caller passes in: no clock, no I/O, no locks.
// Times are in seconds and rates per second, as float64, because they are estimates.
package route

type (
	// Way is how the missing part of a history gets into an endpoint's memory.
	Way int

	// Endpoint is one candidate as the host knows it.
	Endpoint struct {
		// Resident is how many tokens of the history are likely in its memory.
		Resident int
		// Backlog is how many tokens wait to be read before the request.
		Backlog float64
		// Running is how many answers are being generated.
		Running int
		// PrefillRate is the speed of reading, in tokens/s. Zero excludes the candidate.
		PrefillRate float64
		// Delay is a further wait, such as that of a cold start, in seconds.
		Delay float64
		// Link is the link over which the kept history would come.
		Link Link
	}

	// Link is the path from a store host.
	Link struct {
		// Stored is how many tokens of the history, from its start, are kept there.
		Stored int
		// Rate is what the link carries now, in bytes/s. Below 1 it cannot be used.
		Rate float64
		// Backlog is how many bytes wait on the link.
		Backlog float64
	}

	// Work is what has to be done.
	Work struct {
		// Tokens is the length of history and question.
		Tokens int
		// PieceTokens is the grain of imports; zero means one token.
		PieceTokens int
		// BytesPerToken is the size of KV cache.
		BytesPerToken float64
		// Target is the class's target for the time to first token.
		Target float64
		// CanSplit says that the endpoint reads the head of a history while its tail is imported.
		CanSplit bool
		// CostTarget is the class's target for cost, in accelerator seconds; zero is none.
		CostTarget float64
	}

	// Plan is a choice with its estimates.
	Plan struct {
		// Endpoint is the index of the candidate.
		Endpoint int
		Way      Way
		// Import is how many tokens are imported.
		Import int
		// Recompute is how many tokens are read.
		Recompute int
		// FirstToken is the expected time to first token, in seconds.
		FirstToken float64
		// Cost is the accelerator time plus the priced link time, in seconds.
		Cost float64
	}
)

const (
	// Recompute reads everything that is not resident.
	Recompute Way = iota
	// Import imports every kept piece that is not resident, and reads the rest.
	Import
	// Split reads the head while the tail is imported. The reverse is not possible: reading a
	// tail attends to the KV cache of its head.
	Split
)

const (
	// linkPrice is what a second of link is worth in accelerator seconds.
	linkPrice = 0.15
	// minLinkRate is the least rate of a link that is used, in bytes/s.
	minLinkRate = 1
	// runningDelay is how much one generating answer slows the reading, as a share.
	runningDelay = 0.002
	// nearBest is how far above the best score a plan still takes part in the random choice.
	nearBest = 0.02
	// lateWeight is what a second beyond the target weighs against a second of cost.
	lateWeight = 8
	// earlyWeight is what a second of waiting weighs within the target of referenceTarget.
	earlyWeight = 1
	// referenceTarget is the target, in seconds, at which waiting weighs earlyWeight. Looser
	// classes weigh waiting less, so that they leave the quick endpoints to tight ones.
	referenceTarget = 0.55
)

// String returns the name of the way, in kebab case.
func (w Way) String() string {
	switch w {
	case Import:
		return "import"
	case Split:
		return "split"
	default:
		return "recompute"
	}
}

// Estimate returns the quickest plan for one candidate; ok is false if it cannot serve.
func Estimate(ep Endpoint, wk Work) (Plan, bool) {
	return estimate(&ep, &wk)
}

func estimate(ep *Endpoint, wk *Work) (Plan, bool) {
	if ep.PrefillRate <= 0 {
		return Plan{}, false
	}
	rate := ep.PrefillRate / (1 + runningDelay*float64(ep.Running))
	wait := ep.Backlog/rate + ep.Delay
	resident := min(ep.Resident, wk.Tokens)
	best := recomputePlan(wait, rate, wk.Tokens-resident)
	available := min(ep.Link.Stored, wk.Tokens) - resident
	if ep.Link.Rate < minLinkRate || available <= 0 {
		return best, true
	}
	rest := wk.Tokens - resident - available
	perToken := wk.BytesPerToken / ep.Link.Rate
	linkWait := ep.Link.Backlog / ep.Link.Rate
	if pl := importPlan(wait, rate, linkWait, perToken, 0, available, rest); pl.FirstToken < best.FirstToken {
		best = pl
	}
	if !wk.CanSplit {
		return best, true
	}
	head := splitHead(wait, rate, linkWait, perToken, available, wk.PieceTokens)
	if pl := importPlan(wait, rate, linkWait, perToken, head, available-head, rest); pl.FirstToken < best.FirstToken {
		best = pl
	}
	return best, true
}

// Choose returns the plan with the least score over all candidates. Among plans that are nearly
// as good, random decides, so that many hosts do not choose the same endpoint at once.
//
// A plan late against the target scores its lateness first. A class whose cost target no plan
// meets in time is served in time: waiting goes before cost.
func Choose(eps []Endpoint, wk Work, random uint64) (Plan, bool) {
	var best Plan
	bestScore, found, near := 0.0, false, uint64(0)
	weight := waitWeight(wk)
	for i := range eps {
		ep := &eps[i]
		// The wait alone is a lower bound of the score.
		if found && weight*ep.Backlog > bestScore*(1+nearBest)*ep.PrefillRate {
			continue
		}
		pl, ok := estimate(ep, &wk)
		if !ok {
			continue
		}
		pl.Endpoint = i
		sc := score(&pl, &wk, weight)
		switch {
		case !found || sc < bestScore*(1-nearBest):
			best, bestScore, found, near = pl, sc, true, 1
		case sc <= bestScore*(1+nearBest):
			near++
			if random%near == 0 {
				best = pl
			}
			bestScore = min(bestScore, sc)
			random = random*6364136223846793005 + 1442695040888963407
		}
	}
	return best, found
}

// waitWeight returns what a second of waiting weighs within the target of the class.
func waitWeight(wk Work) float64 {
	return earlyWeight * min(1, referenceTarget/max(wk.Target, referenceTarget))
}

func score(pl *Plan, wk *Work, weight float64) float64 {
	sc := pl.Cost + weight*pl.FirstToken
	if late := pl.FirstToken - wk.Target; wk.Target > 0 && late > 0 {
		sc += lateWeight * late
	}
	if over := pl.Cost - wk.CostTarget; wk.CostTarget > 0 && over > 0 {
		sc += over
	}
	return sc
}

func recomputePlan(wait, rate float64, tokens int) Plan {
	read := float64(tokens) / rate
	return Plan{Way: Recompute, Recompute: tokens, FirstToken: wait + read, Cost: read}
}

// importPlan reads head tokens while tail tokens come over the link, then reads the rest.
func importPlan(wait, rate, linkWait, perToken float64, head, tail, rest int) Plan {
	link := float64(tail) * perToken
	read := float64(head) / rate
	ready := max(wait+read, linkWait+link)
	way := Import
	if head > 0 {
		way = Split
	}
	restRead := float64(rest) / rate
	return Plan{
		Way:        way,
		Import:     tail,
		Recompute:  head + rest,
		FirstToken: ready + restRead,
		Cost:       read + restRead + linkPrice*link,
	}
}

// splitHead returns how many tokens to read so that reading and importing end together, in
// whole pieces.
func splitHead(wait, rate, linkWait, perToken float64, available, piece int) int {
	head := (linkWait + float64(available)*perToken - wait) / (1/rate + perToken)
	if head <= 0 {
		return 0
	}
	n := int(min(head, float64(available)))
	if piece > 1 {
		n -= n % piece
	}
	return n
}
