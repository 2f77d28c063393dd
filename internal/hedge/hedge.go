// Package hedge decides when a request that waits for its answer is sent to a second endpoint as well. It answers the load of an
// endpoint that is slow for some requests while others have room.
package hedge

import "time"

const (
	// Due means that the second attempt is sent.
	Due Verdict = "due"
	// Attempts means that the request has used up the attempts of its route.
	Attempts Verdict = "attempts"
	// Deadline means that no answer of a second attempt is expected before the deadline.
	Deadline Verdict = "deadline"
	// Suspected means that a request or a part of a prompt is suspected to crash endpoints.
	Suspected Verdict = "suspected"
	// ShortOfRoom means that fewer than half of the endpoints have room, so that a second attempt would delay other requests.
	ShortOfRoom Verdict = "short-of-room"
	// NoEndpoint means that no other endpoint has room, or is expected to answer soon enough.
	NoEndpoint Verdict = "no-endpoint"
	// Share means that the operators' limit is used up.
	Share Verdict = "share"
	// RetryBudget means that the retry budget is used up.
	RetryBudget Verdict = "retry-budget"

	// minRoomShare is the share of the endpoints that must have room.
	minRoomShare = 0.5
)

type (
	// Verdict is whether a second attempt is sent, or why not.
	Verdict string

	// Situation is what is known when the answer to a request counts among the slowest.
	Situation struct {
		// Attempts is the number of endpoints that may have run the request, MaxAttempts their bound.
		Attempts, MaxAttempts int
		// Remaining is the time until the deadline, and Threshold the time in which nearly all answers of the class begin.
		Remaining, Threshold time.Duration
		// IsSuspected reports that the request may crash endpoints.
		IsSuspected bool
		// CountRoom returns the number of endpoints of the service, and that of those with room. It is called last.
		CountRoom func() (endpoints, withRoom int)
	}

	// Hedger learns how long answers take, and limits the extra attempts of a host. It is safe for concurrent use.
	Hedger struct {
		latencies latencies
		shares    shares
	}
)

// New returns a Hedger that knows no answers yet.
func New(limits Limits) *Hedger {
	he := &Hedger{}
	he.SetLimits(limits)
	return he
}

// SetLimits changes the limits. Credit from before is lost.
func (he *Hedger) SetLimits(limits Limits) { he.shares.setLimits(limits) }

// RecordRequest counts a request, which allows extra attempts.
func (he *Hedger) RecordRequest(service, route string) { he.shares.recordRequest(service, route) }

// IsAllowed reports whether requests of a route may have extra attempts at all.
func (he *Hedger) IsAllowed(service, route string) bool { return he.shares.isAllowed(service, route) }

// Observe records how long an answer took to begin. For an attempt that is abandoned before, that is the time until then:
// leaving it out would lower the threshold with each abandoned attempt.
func (he *Hedger) Observe(cl Class, d time.Duration) { he.latencies.observe(cl, d) }

// Threshold returns the time after which an answer counts among the slowest of its class; ok is false while that is not known.
func (he *Hedger) Threshold(cl Class) (d time.Duration, ok bool) { return he.latencies.threshold(cl) }

// Decide returns whether a second attempt may be planned. It takes no credit.
func (he *Hedger) Decide(service, route string, si Situation) Verdict {
	switch {
	case si.Attempts >= si.MaxAttempts:
		return Attempts
	case si.Remaining <= si.Threshold:
		return Deadline
	case si.IsSuspected:
		return Suspected
	case !he.shares.hasCredit(service, route):
		return Share
	}
	endpoints, withRoom := si.CountRoom()
	switch {
	case withRoom == 0:
		return NoEndpoint
	case float64(withRoom) < minRoomShare*float64(endpoints):
		return ShortOfRoom
	}
	return Due
}

// Take uses up credit for one extra attempt. It reports false if there is none.
func (he *Hedger) Take(service, route string) bool { return he.shares.take(service, route) }
