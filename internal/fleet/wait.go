package fleet

import "time"

// requestWait is for how long an endpoint that has turned a request away wants none from this host.
type requestWait struct {
	until time.Time
	// isSet is set until a request has run after the wait. Until then there is one request at a time, and isTried is set
	// while it is in flight.
	isSet, isTried bool
}

const (
	// maxWait bounds a wait. An endpoint that wants a longer one says so again.
	maxWait = 10 * time.Minute
	// maxPeerAvoidance is how long an endpoint is avoided that another host is to wait for, after that host said so.
	maxPeerAvoidance = 2 * time.Second
)

// set extends the wait. It reports whether there was none.
func (rw *requestWait) set(until time.Time) bool {
	isNew := !rw.isSet
	rw.until, rw.isSet = later(rw.until, until), true
	return isNew
}

// isHeld reports whether the endpoint gets no request now.
func (rw *requestWait) isHeld(now time.Time) bool {
	return rw.isSet && (rw.isTried || now.Before(rw.until))
}

// begin counts a request. It reports whether the host tries the endpoint again with it.
func (rw *requestWait) begin() bool {
	rw.isTried = rw.isSet
	return rw.isSet
}

// end ends the wait after the response to a request that was sent at sentAt and has run. It reports whether there was one.
func (rw *requestWait) end(sentAt time.Time) bool {
	if !rw.isSet || sentAt.Before(rw.until) {
		return false
	}
	*rw = requestWait{}
	return true
}
