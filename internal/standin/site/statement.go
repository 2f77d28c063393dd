package site

import (
	"net/http"
	"strconv"
	"time"
)

// statements is what an endpoint says of itself in its responses. A restart ends it.
type statements struct {
	// limits are the values of Server-Limit, and retryAfter those of Retry-After with which it turns requests away.
	limits     []string
	retryAfter []string
	isLeaving  bool
	// brittle is the value of Server-Brittle; empty if the endpoint is sound.
	brittle string
	// receivedAt holds the times at which clients' requests arrived, also those that were turned away.
	receivedAt []time.Time
}

// AnnounceLimit sets the values of Server-Limit, in requests per second, in all further responses; without a value
// the header is omitted.
func (ep *Endpoint) AnnounceLimit(values ...string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.statements.limits = values
}

// AnnounceLeaving makes the endpoint say in all further responses that it leaves. It still serves.
func (ep *Endpoint) AnnounceLeaving() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.statements.isLeaving = true
}

// AnnounceBrittle makes the endpoint say in all further responses that it is brittle, and stop when it has turned more than
// limit requests away within a second for want of room.
func (ep *Endpoint) AnnounceBrittle(limit int) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.statements.brittle, ep.brittleLimit = strconv.Itoa(limit), limit
}

// admit reports whether the endpoint has room for one more request. If it is brittle and has turned too many away, it stops.
func (ep *Endpoint) admit() (ok, stops bool) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.opts.Capacity == 0 || ep.running < ep.opts.Capacity {
		ep.running++
		return true, false
	}
	now := time.Now()
	ep.turnedAway = append(ep.turnedAway, now)
	recent := 0
	for _, at := range ep.turnedAway {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	return false, ep.statements.brittle != "" && recent > ep.brittleLimit
}

// release frees the room of a request.
func (ep *Endpoint) release() {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.running--
}

// TurnAway makes the endpoint turn all further requests away, with the given values of Retry-After in seconds; without a
// value it serves them again.
func (ep *Endpoint) TurnAway(retryAfter ...string) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.statements.retryAfter = retryAfter
}

// ReceivedSince returns the number of clients' requests that have arrived since start, also those that were turned away.
func (ep *Endpoint) ReceivedSince(start time.Time) int {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	count := 0
	for _, at := range ep.statements.receivedAt {
		if !at.Before(start) {
			count++
		}
	}
	return count
}

// announce adds what the endpoint says of itself to the header of a response.
func (ep *Endpoint) announce(hd http.Header) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if len(ep.statements.limits) > 0 {
		hd["Server-Limit"] = ep.statements.limits
	}
	if ep.statements.brittle != "" {
		hd.Set("Server-Brittle", ep.statements.brittle)
	}
	if ep.statements.isLeaving {
		hd.Set("Server-Leaving", "1")
	}
}
