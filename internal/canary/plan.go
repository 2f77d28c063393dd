package canary

import "time"

const (
	// reserveSlack is added to the time that requests are at old endpoints to get the time before the end at which these get no more:
	// for hosts to hear of it, and for the old endpoints to be idle and the status to be written.
	reserveSlack = 4 * time.Second
	// stepTime is the time from one step to the next.
	stepTime = 1200 * time.Millisecond
	// findTime is the time in which a version that has turned bad is found and cut off.
	findTime = 500 * time.Millisecond
	// limitMargin is the part of the limits up to which steps are taken, since requests in flight are not counted yet.
	limitMargin = 0.9
	// minResponses is the number of responses without which no version is judged good.
	minResponses = 20
	// minStepTime is the least time between two steps.
	minStepTime = time.Second
	// idleTime is how long the old endpoints must have had nothing in flight, and settleTime how long the hosts must have
	// known that they get no more requests.
	idleTime   = 1500 * time.Millisecond
	settleTime = 2 * time.Second
	// decisionMargin is how long before the end of its time a rollout is decided, so that the status can be written.
	decisionMargin = 1500 * time.Millisecond
	// lateTime is how long after the end of its time a rollout waits for old endpoints that have something in flight: these stop at once
	// when it is completed.
	lateTime = 5 * time.Second
)

// exposureSteps are the exposures after Unjudged.
var exposureSteps = [...]Exposure{250, 500, Full}

type (
	// Plan is the course of a rollout over time.
	Plan struct {
		// Duration is the time for the whole rollout.
		Duration time.Duration
		// LongestRequest is how long requests are in flight.
		LongestRequest time.Duration
		// Limits bound what a version may get within the duration that turns out to be bad.
		Limits Limits
	}

	// Situation is what the host on duty knows of a rollout.
	Situation struct {
		Age time.Duration
		// Responses is the number of responses of the new version.
		Responses uint64
		// AllResponses is the number of responses of all versions, and Rate the recent number of them in a second.
		AllResponses uint64
		Rate         float64
		Bad          bool
		Exposure     Exposure
		// SinceStep is the time since the exposure last rose.
		SinceStep time.Duration
		// NewEndpoints is the number of endpoints with the new version. HasOld is set if the service had others at any time.
		NewEndpoints int
		HasOld       bool
		// IsFullEverywhere is set if all registered hosts are known to send to the old endpoints no more.
		IsFullEverywhere bool
		// OldIdle is how long the old endpoints have had nothing in flight, by the hosts that are heard; zero if none are.
		OldIdle time.Duration
	}

	// Decision is the next step of a rollout.
	Decision struct {
		Exposure Exposure
		Outcome  Outcome
		// Cause is why the rollout has ended; empty while it runs.
		Cause string
	}
)

// Decide returns the next step.
func (pl Plan) Decide(si Situation) Decision {
	isLate := si.Age >= pl.Duration-decisionMargin
	isSettled := si.Exposure == Full && si.SinceStep >= settleTime && si.NewEndpoints > 0
	isIdle := isSettled && si.OldIdle >= idleTime
	switch {
	case si.Bad:
		return Decision{Exposure: si.Exposure, Outcome: RolledBack, Cause: "bad responses"}
	case !si.HasOld && si.NewEndpoints > 0 && si.Age >= settleTime:
		return Decision{Exposure: Full, Outcome: Completed, Cause: "no other version"}
	case isIdle && si.IsFullEverywhere:
		return Decision{Exposure: Full, Outcome: Completed, Cause: "old endpoints are idle"}
	case isIdle && isLate:
		// Hosts that are registered and not heard may be gone.
		return Decision{Exposure: Full, Outcome: Completed, Cause: "end of the time, old endpoints are idle"}
	case isSettled && si.Age >= pl.Duration+lateTime:
		return Decision{Exposure: Full, Outcome: Completed, Cause: "end of the time"}
	case si.Exposure == Full && si.Age < pl.Duration+lateTime:
		return Decision{Exposure: Full}
	case isLate && si.Responses < minResponses:
		return Decision{Exposure: si.Exposure, Outcome: RolledBack, Cause: "too little evidence"}
	case isLate:
		return Decision{Exposure: si.Exposure, Outcome: RolledBack, Cause: "end of the time"}
	case si.Responses < minResponses || si.SinceStep < minStepTime || si.NewEndpoints == 0:
		return Decision{Exposure: si.Exposure}
	default:
		return Decision{Exposure: pl.next(si)}
	}
}

// next returns the exposure after the current one if it is due. A step before the last one is left out unless what the version has
// got and will get by then stays within the limits.
func (pl Plan) next(si Situation) Exposure {
	full := pl.Duration - min(pl.Duration/2, pl.LongestRequest+reserveSlack)
	if si.Age >= full {
		return Full
	}
	for i, ex := range exposureSteps[:len(exposureSteps)-1] {
		due := full - stepTime*time.Duration(len(exposureSteps)-1-i)
		if ex > si.Exposure && si.Age >= due && full-si.Age >= minStepTime && pl.isWithinLimits(si, ex, full-si.Age) {
			return ex
		}
	}
	return si.Exposure
}

// isWithinLimits reports whether a version may get a share of the requests for a time, and still as many requests until it is found
// to be bad.
func (pl Plan) isWithinLimits(si Situation, ex Exposure, dt time.Duration) bool {
	if si.Age <= 0 {
		return false
	}
	mean := float64(si.AllResponses) / si.Age.Seconds()
	planned := float64(ex) / float64(Full) * max(mean, si.Rate) * (dt + findTime).Seconds()
	requests := float64(si.AllResponses) + min(mean, si.Rate)*(pl.Duration-si.Age).Seconds()
	return float64(si.Responses)+planned <= limitMargin*(pl.Limits.Share*requests+pl.Limits.Slack)
}
