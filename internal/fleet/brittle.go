package fleet

import "time"

const (
	// brittleRetention is how long an endpoint counts as brittle after the last response that said so.
	brittleRetention = 30 * time.Second
	// brittlePassedOn is how long the statement that an endpoint is brittle no more is passed on to other hosts.
	brittlePassedOn = 3 * time.Second
	// rejectionHold is how long a brittle endpoint gets no requests after it has turned one away: the time over which it counts.
	rejectionHold = time.Second
	// fullRetryAfter is how long an endpoint without room is expected to have none.
	fullRetryAfter = 300 * time.Millisecond
)

// brittleness is whether an endpoint falls over when it has to turn away many requests.
type brittleness struct {
	isBrittle bool
	// rejections is how many requests the endpoint bears to turn away in a second.
	rejections int
	// ownRejections counts those of this host's since countedSince.
	ownRejections int
	countedSince  time.Time
	// asOf is the time from which that is known to hold, ownAsOf that from responses to this host.
	asOf, ownAsOf time.Time
	// heldUntil is the time until which the endpoint gets no requests, ownHeldUntil that after a rejection of this host's.
	heldUntil, ownHeldUntil time.Time
}

// set records whether the endpoint is brittle as of a time, unless what is known is newer. It reports whether that changes.
func (br *brittleness) set(isBrittle bool, rejections int, asOf time.Time, fromPeer bool) bool {
	if asOf.Before(br.asOf) || !isBrittle && !br.isBrittle {
		return false
	}
	if fromPeer && !isBrittle && asOf.Before(br.asOf.Add(maxStatementDelay)) {
		// What another host says may be older than it seems.
		return false
	}
	changed := br.isBrittle != isBrittle
	br.isBrittle, br.rejections, br.asOf = isBrittle, rejections, asOf
	if !fromPeer {
		br.ownAsOf = asOf
	} else if changed {
		br.ownAsOf = time.Time{}
	}
	return changed
}

// hold keeps requests from the endpoint until a time.
func (br *brittleness) hold(until time.Time) { br.heldUntil = later(br.heldUntil, until) }

// holds reports whether the endpoint counts as brittle.
func (br *brittleness) holds(now time.Time) bool {
	return br.isBrittle && now.Sub(br.asOf) <= brittleRetention
}

// isPassedOn reports whether other hosts are told what this host has heard.
func (br *brittleness) isPassedOn(now time.Time) bool {
	return !br.ownAsOf.IsZero() && (br.holds(now) || !br.isBrittle && now.Sub(br.ownAsOf) < brittlePassedOn)
}

// hasRoom reports whether an endpoint may get one more request. A brittle one gets no more than it can run at a time, of all
// hosts together, and none for a while after it has turned one away.
func (fl *Fleet) hasRoom(ep *endpoint, now time.Time) bool {
	if !ep.said.brittle.holds(now) {
		return true
	}
	if now.Before(ep.said.brittle.heldUntil) {
		return false
	}
	requests := ep.ownLoad.Requests
	for _, pl := range ep.peerLoads {
		if now.Sub(pl.reportedAt) <= maxPeerLoadAge {
			requests += pl.load.Requests
		}
	}
	return ep.entry.Slots <= 0 || requests < ep.entry.Slots
}

// noteRejection records that an endpoint has turned a request of this host away. It gets no more requests for a while once
// this host has used up half of its share of the rejections that the endpoint bears.
func (fl *Fleet) noteRejection(ep *endpoint, now time.Time) {
	br := &ep.said.brittle
	if !br.holds(now) {
		return
	}
	if now.Sub(br.countedSince) >= rejectionHold {
		br.ownRejections, br.countedSince = 0, now
	}
	br.ownRejections++
	if 2*br.ownRejections*len(fl.hosts) >= br.rejections {
		br.ownHeldUntil = now.Add(rejectionHold)
		br.hold(br.ownHeldUntil)
	}
}

// sentAtOrNow returns since when a response is known to say something: one that says so, since it arrived; one that does not,
// since its request was sent, as responses may overtake each other.
func sentAtOrNow(says bool, sentAt, now time.Time) time.Time {
	if says {
		return now
	}
	return sentAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
