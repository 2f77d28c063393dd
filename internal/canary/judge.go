package canary

import (
	"math"
	"slices"
	"time"
)

const (
	// threshold is the sum of log likelihood ratios from which a version is bad.
	threshold = 12
	// minFailureShare and minSlowShare are the least shares that are expected also where the old versions have less.
	minFailureShare, minSlowShare = 0.02, 0.04
	// failureExcess and slowExcess are how much more than expected a bad version has, added to half of the expected share.
	failureExcess, slowExcess = 0.12, 0.16
	// maxShare bounds expected shares.
	maxShare = 0.9
	// longHalfLife and shortHalfLife are the times in which the weight of the old versions' responses halves. The higher share
	// of both is expected: the short one follows the beginning of trouble that hits all versions.
	longHalfLife  = 4 * time.Second
	shortHalfLife = 400 * time.Millisecond
	// rateHalfLife is the time in which the weight of the rate of responses halves.
	rateHalfLife = 2 * time.Second
	// rebaseAfter is how long a sum may be lower than before until counting goes on from the lower value.
	rebaseAfter = 3 * time.Second
	// minSpread is the share of the bad responses that have to come from other endpoints than the group with most of them: a single
	// ill endpoint says nothing of its version.
	minSpread = 0.25
	// priorResponses is the number of responses with the least share that an average begins with.
	priorResponses = 10
	// allRoutes is the name under which the sum over all routes is judged.
	allRoutes = ""
)

// Reasons for which a version is judged bad.
const (
	ReasonFailures Reason = "failures"
	ReasonSlow     Reason = "slow"
)

type (
	// Reason is why a version is judged bad; empty if it is not.
	Reason string

	// Finding is the judgement of a version.
	Finding struct {
		Reason Reason
		// Route is the route on which the version is bad; empty if that shows on all together.
		Route string
		// Counts are the responses of the new version on that route, or on all.
		Counts Counts
	}

	// judge compares the responses of the new version with those of the old versions at the same time. It answers the load in which
	// few requests go to the new version while the old ones carry the service: each response is weighed as it comes,
	// so that a bad version is found after a few dozen, whenever it turns bad.
	judge struct {
		routes map[string]*routeJudge
		// responses is the number of responses of the new version that have been weighed, and older that of the others.
		responses, older uint64
		// rate is the recent number of responses of all versions in a second.
		rate float64
	}

	// routeJudge judges one route.
	routeJudge struct {
		new, old       tally
		failures, slow trial
	}

	// tally follows the highest value of cumulative counts.
	tally struct {
		counts    Counts
		lowerFrom time.Time
	}

	// trial is a cumulative sum test of one kind of bad responses.
	trial struct {
		sum float64
		// long and short are averages over the old versions' responses.
		long, short average
	}

	// average holds weighted counts.
	average struct{ bad, responses float64 }
)

// observe weighs the cumulative counts of all hosts as of now. It returns a finding with a reason once the version is bad.
func (ju *judge) observe(now time.Time, dt time.Duration, sums map[string]Evidence, endpoints int) Finding {
	if ju.routes == nil {
		ju.routes = make(map[string]*routeJudge)
	}
	var all Evidence
	for _, ev := range sums {
		all.New, all.Old = all.New.Add(ev.New), all.Old.Add(ev.Old)
	}
	out := ju.observeRoute(now, dt, allRoutes, all, endpoints)
	for route, ev := range sums {
		if fi := ju.observeRoute(now, dt, route, ev, endpoints); fi.Reason != "" {
			out = fi
		}
	}
	before := ju.responses + ju.older
	ju.responses, ju.older = ju.routes[allRoutes].new.counts.Responses, ju.routes[allRoutes].old.counts.Responses
	if sum := ju.responses + ju.older; dt > 0 && sum >= before {
		weight := 1 - math.Exp2(-float64(dt)/float64(rateHalfLife))
		ju.rate += weight * (float64(sum-before)/dt.Seconds() - ju.rate)
	}
	return out
}

func (ju *judge) observeRoute(now time.Time, dt time.Duration, route string, ev Evidence, endpoints int) Finding {
	rj := ju.routes[route]
	if rj == nil {
		rj = &routeJudge{}
		ju.routes[route] = rj
	}
	newer, older := rj.new.advance(now, ev.New), rj.old.advance(now, ev.Old)
	rj.failures.learn(dt, older.Failed, older.Responses)
	rj.slow.learn(dt, older.Slow, older.Responses)
	rj.failures.weigh(newer.Failed, newer.Responses, minFailureShare, failureExcess)
	rj.slow.weigh(newer.Slow, newer.Responses, minSlowShare, slowExcess)
	switch {
	case rj.failures.sum > threshold && (endpoints < 2 || isSpread(ev.New.FailedAt, ev.New.At)):
		return Finding{Reason: ReasonFailures, Route: route, Counts: ev.New}
	case rj.slow.sum > threshold && (endpoints < 2 || isSpread(ev.New.SlowAt, ev.New.At)):
		return Finding{Reason: ReasonSlow, Route: route, Counts: ev.New}
	default:
		return Finding{Route: route, Counts: ev.New}
	}
}

// isSpread reports whether bad responses come from several groups of endpoints, or all responses come from a single one.
func isSpread(sp, responses Spread) bool {
	groups := 0
	for _, n := range responses {
		if n > 0 {
			groups++
		}
	}
	if groups < 2 {
		return true
	}
	sum := uint64(0)
	for _, n := range sp {
		sum += n
	}
	return float64(sum-slices.Max(sp[:])) >= minSpread*float64(sum)
}

// advance returns by how much counts have risen.
func (ta *tally) advance(now time.Time, co Counts) Counts {
	if co.Responses < ta.counts.Responses || co.Failed < ta.counts.Failed || co.Slow < ta.counts.Slow {
		if ta.lowerFrom.IsZero() {
			ta.lowerFrom = now
		}
		if now.Sub(ta.lowerFrom) < rebaseAfter {
			return Counts{}
		}
		ta.counts = co
	}
	rise := Counts{
		Responses: co.Responses - ta.counts.Responses, Failed: co.Failed - ta.counts.Failed, Slow: co.Slow - ta.counts.Slow,
	}
	ta.counts, ta.lowerFrom = co, time.Time{}
	return rise
}

// learn adds responses of the old versions. Without any the last ones stay in force.
func (tr *trial) learn(dt time.Duration, bad, responses uint64) {
	if responses == 0 {
		return
	}
	tr.long.add(math.Exp2(-float64(dt)/float64(longHalfLife)), bad, responses)
	tr.short.add(math.Exp2(-float64(dt)/float64(shortHalfLife)), bad, responses)
}

func (av *average) add(decay float64, bad, responses uint64) {
	av.bad = av.bad*decay + float64(bad)
	av.responses = av.responses*decay + float64(responses)
}

// share returns the share of bad responses plus its standard deviation, and least without any responses.
func (av *average) share(least float64) float64 {
	responses := av.responses + priorResponses
	share := min(1, (av.bad+least*priorResponses)/responses)
	return share + math.Sqrt(share*(1-share)/responses)
}

// weigh adds responses of the new version.
func (tr *trial) weigh(bad, responses uint64, least, excess float64) {
	if responses == 0 {
		return
	}
	expected := min(maxShare, max(least, tr.long.share(least), tr.short.share(least)))
	badShare := min((1+maxShare)/2, expected*1.5+excess)
	good := float64(responses - min(bad, responses))
	tr.sum += float64(bad)*math.Log(badShare/expected) + good*math.Log((1-badShare)/(1-expected))
	tr.sum = max(0, tr.sum)
}
