package fleet

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

type (
	// namedLimit is the rate of requests that an endpoint takes from all hosts together, as it says in a response.
	namedLimit struct {
		// perSecond is the rate in requests per second; zero means that the endpoint names none any more.
		perSecond float64
		// asOf is the time from which the statement is known to hold.
		asOf time.Time
	}

	// requestLimit is the limit of an endpoint.
	requestLimit struct {
		perSecond float64
		asOf      time.Time
		// ownAsOf is the time as of which a response to this host said so; zero if only other hosts say it.
		ownAsOf time.Time

		// level is the number of requests that this host may send now, as of refilledAt.
		level      float64
		refilledAt time.Time
		// isSender reports whether this host is one of those that share the limit, and senderCount how many there are,
		// as of the version hostsVersion of the list of hosts. senderSince is zero for other hosts.
		isSender     bool
		senderCount  int
		hostsVersion int
		senderSince  time.Time
	}
)

const (
	// minLimit is the limit, in requests per second, as which a lower one counts, so that the end of a limit is noticed.
	minLimit = 0.1
	// requestsPerSender is the rate, in requests per second, for which one more host shares a limit. Each may have one
	// request in reserve, so that with fewer hosts the sum keeps closer to the limit.
	requestsPerSender = 2
	// reserveTime is the time of which a host may have requests in reserve, if that is more than one request.
	reserveTime = 500 * time.Millisecond
	// unsureShare is the part of its share that a host uses while others may use it as well: while the host is not
	// registered, and for membershipSettleTime after it was registered or became one of those that share a limit. By then
	// a host that does not know of the change is not registered any more.
	unsureShare          = 0.25
	membershipSettleTime = 8 * time.Second
	// limitRetention is how long a limit counts after the last response that named it, limitRetentionSpread the time over
	// which hosts forget it, and endedRetention how long the end of a limit is passed on to other hosts.
	limitRetention       = 30 * time.Second
	limitRetentionSpread = 30 * time.Second
	endedRetention       = 3 * time.Second
	// maxStatementDelay is how much older than it seems a statement from another host may be, as it waits at hosts on its
	// way.
	maxStatementDelay = 500 * time.Millisecond
)

// setLimit sets the limit of an endpoint, unless what is known is newer. It reports whether more than its time changes.
func (fl *Fleet) setLimit(ep *endpoint, nl namedLimit, fromPeer bool) bool {
	ownAsOf := nl.asOf
	if fromPeer {
		ownAsOf = time.Time{}
	}
	li := &ep.said.limit
	if li.perSecond == nl.perSecond {
		if nl.perSecond > 0 {
			li.asOf, li.ownAsOf = later(li.asOf, nl.asOf), later(li.ownAsOf, ownAsOf)
		}
		return false
	}
	if !li.isReplacedBy(nl, fromPeer) {
		return false
	}
	if li.perSecond == 0 {
		li.level, li.refilledAt = 0, fl.opts.Clock.Now()
	}
	li.perSecond, li.asOf, li.ownAsOf = nl.perSecond, nl.asOf, ownAsOf
	return true
}

// isReplacedBy reports whether a statement with another limit replaces the known one. In doubt the endpoint names a limit:
// statements of other hosts may be older than they seem.
func (rl requestLimit) isReplacedBy(nl namedLimit, fromPeer bool) bool {
	asOf := nl.asOf
	switch {
	case fromPeer && nl.perSecond == 0:
		asOf = asOf.Add(-maxStatementDelay)
	case fromPeer && rl.perSecond == 0:
		asOf = asOf.Add(maxStatementDelay)
	}
	return !asOf.Before(rl.asOf)
}

// CountCall counts a call to an endpoint that is not held back by the endpoint's limit, such as an order. The next
// requests wait for it.
func (fl *Fleet) CountCall(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	if ep := fl.endpoints[id]; ep != nil && fl.hasLimit(ep, now) {
		fl.refillLimit(ep, now)
		ep.said.limit.level--
	}
}

// hasLimit reports whether an endpoint names a limit. A limit that no host has heard of for long is forgotten, by one host
// after the other.
func (fl *Fleet) hasLimit(ep *endpoint, now time.Time) bool {
	if ep.said.limit.perSecond == 0 {
		return false
	}
	if age := now.Sub(ep.said.limit.asOf); age > limitRetention {
		spread := float64(rendezvous.Score(ep.hash, fl.hostHash)>>11) / (1 << 53)
		return age <= limitRetention+time.Duration(spread*float64(limitRetentionSpread))
	}
	return true
}

// isWithinLimit reports whether this host may send one more request to an endpoint.
func (fl *Fleet) isWithinLimit(ep *endpoint, now time.Time) bool {
	if !fl.hasLimit(ep, now) {
		return true
	}
	fl.refillLimit(ep, now)
	return ep.said.limit.level >= 1
}

// refillLimit adds the requests that this host may send since the last call.
func (fl *Fleet) refillLimit(ep *endpoint, now time.Time) {
	li := &ep.said.limit
	share := fl.limitShare(ep, now)
	elapsed := max(0, now.Sub(li.refilledAt))
	li.refilledAt = now
	li.level = math.Min(max(1, share*reserveTime.Seconds()), li.level+elapsed.Seconds()*share)
}

// limitShare returns the rate, in requests per second, at which this host may send to an endpoint. The shares of all hosts
// add up to the limit. As long as hosts differ in the list of hosts, those of the hosts that are unsure come on top.
func (fl *Fleet) limitShare(ep *endpoint, now time.Time) float64 {
	li := &ep.said.limit
	if senders := min(len(fl.hosts), 1+int(min(li.perSecond, math.MaxInt32)/requestsPerSender)); senders != li.senderCount || li.hostsVersion != fl.hostsVersion {
		li.senderCount, li.hostsVersion = senders, fl.hostsVersion
		li.isSender = rendezvous.IsAmongFirst(ep.hash, fl.opts.Host, fl.hosts, senders)
	}
	if !li.isSender {
		li.senderSince = time.Time{}
		return 0
	}
	if li.senderSince.IsZero() || fl.opts.IsRegistered != nil && !fl.opts.IsRegistered() {
		li.senderSince = now
	}
	share := li.perSecond / float64(max(1, li.senderCount))
	if now.Sub(li.senderSince) < membershipSettleTime {
		share *= unsureShare
	}
	return share
}
