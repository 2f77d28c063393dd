package fleet

import "time"

type (
	// Limit is the rate of requests that an endpoint takes from all hosts together, as it says in its responses.
	Limit struct {
		// Endpoint and StartTimeMs identify the start of the endpoint.
		Endpoint    string
		StartTimeMs int64
		// PerSecond is the rate in requests per second; zero means that the endpoint names none any more.
		PerSecond float64
		// AsOf is the time from which the statement is known to hold.
		AsOf time.Time
	}

	// LimitChange is a change of what a host knows of an endpoint's limit.
	LimitChange struct {
		Limit
		// Service is the service of the endpoint.
		Service string
		// FromPeer reports that another host got the response.
		FromPeer bool
	}

	// requestLimit is the limit of an endpoint.
	requestLimit struct {
		perSecond float64
		asOf      time.Time
		// isInvalidKnown is set once the endpoint has named an invalid limit.
		isInvalidKnown bool
	}
)

// minLimit is the limit, in requests per second, as which a lower one counts, so that the end of a limit is noticed.
const minLimit = 0.1

// RecordLimit records what an endpoint says in a response: its limit, or zero if it names none. The request was sent at
// sentAt. A response to a request from before a limit was named does not end the limit, as responses may overtake each other.
func (fl *Fleet) RecordLimit(id string, startTimeMs int64, perSecond float64, sentAt time.Time) {
	asOf := fl.opts.Clock.Now()
	if perSecond == 0 {
		asOf = sentAt
	}
	fl.applyLimit(Limit{Endpoint: id, StartTimeMs: startTimeMs, PerSecond: perSecond, AsOf: asOf}, false)
}

// RecordInvalidLimit records that an endpoint named an invalid limit, which changes nothing. It reports whether that is
// the first one.
func (fl *Fleet) RecordInvalidLimit(id string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.limit.isInvalidKnown {
		return false
	}
	ep.limit.isInvalidKnown = true
	return true
}

// applyLimit applies a statement that is newer than the known one. Of two as of the same time the lower limit counts.
func (fl *Fleet) applyLimit(li Limit, fromPeer bool) {
	if li.PerSecond > 0 {
		li.PerSecond = max(li.PerSecond, minLimit)
	}
	if lc, ok := fl.storeLimit(li, fromPeer); ok && fl.opts.OnLimitChange != nil {
		fl.opts.OnLimitChange(lc)
	}
}

// storeLimit stores a statement; ok is false if nothing changes but its time.
func (fl *Fleet) storeLimit(li Limit, fromPeer bool) (lc LimitChange, ok bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[li.Endpoint]
	if ep == nil || ep.entry.StartTimeMs != li.StartTimeMs {
		return lc, false
	}
	known := ep.limit
	isLower := li.PerSecond > 0 && (known.perSecond == 0 || li.PerSecond < known.perSecond)
	if li.AsOf.Before(known.asOf) || li.AsOf.Equal(known.asOf) && !isLower || known.perSecond == 0 && li.PerSecond == 0 {
		return lc, false
	}
	ep.limit.perSecond, ep.limit.asOf = li.PerSecond, li.AsOf
	return LimitChange{Limit: li, Service: ep.entry.Service, FromPeer: fromPeer}, known.perSecond != li.PerSecond
}
