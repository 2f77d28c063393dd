package fleet

import (
	"math"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

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
		// ownAsOf is the time as of which a response to this host said so; zero if only other hosts say it.
		ownAsOf time.Time
		// isInvalidKnown is set once the endpoint has named an invalid limit.
		isInvalidKnown bool

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

// RecordLimit records the limit that an endpoint names in a response, in requests per second.
func (fl *Fleet) RecordLimit(id string, startTimeMs int64, perSecond float64) {
	fl.applyLimit(Limit{Endpoint: id, StartTimeMs: startTimeMs, PerSecond: max(perSecond, minLimit), AsOf: fl.opts.Clock.Now()}, false)
}

// RecordNoLimit records a response without a limit to a request that was sent at sentAt. If that was before a limit was
// named, the limit remains, as responses may overtake each other.
func (fl *Fleet) RecordNoLimit(id string, startTimeMs int64, sentAt time.Time) {
	fl.applyLimit(Limit{Endpoint: id, StartTimeMs: startTimeMs, AsOf: sentAt}, false)
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

// applyLimit applies a statement that is newer than the known one.
func (fl *Fleet) applyLimit(li Limit, fromPeer bool) {
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
	ownAsOf := li.AsOf
	if fromPeer {
		ownAsOf = time.Time{}
	}
	if ep.limit.perSecond == li.PerSecond {
		if li.PerSecond > 0 {
			ep.limit.asOf, ep.limit.ownAsOf = later(ep.limit.asOf, li.AsOf), later(ep.limit.ownAsOf, ownAsOf)
		}
		return lc, false
	}
	if !ep.limit.isReplacedBy(li, fromPeer) {
		return lc, false
	}
	if ep.limit.perSecond == 0 {
		ep.limit.level, ep.limit.refilledAt = 0, fl.opts.Clock.Now()
	}
	ep.limit.perSecond, ep.limit.asOf, ep.limit.ownAsOf = li.PerSecond, li.AsOf, ownAsOf
	return LimitChange{Limit: li, Service: ep.entry.Service, FromPeer: fromPeer}, true
}

// isReplacedBy reports whether a statement with another limit replaces the known one. In doubt the endpoint names a limit:
// statements of other hosts may be older than they seem.
func (rl requestLimit) isReplacedBy(li Limit, fromPeer bool) bool {
	asOf := li.AsOf
	switch {
	case fromPeer && li.PerSecond == 0:
		asOf = asOf.Add(-maxStatementDelay)
	case fromPeer && rl.perSecond == 0:
		asOf = asOf.Add(maxStatementDelay)
	}
	return !asOf.Before(rl.asOf)
}

// MergeLimit records what another host knows of an endpoint's limit.
func (fl *Fleet) MergeLimit(li Limit) {
	if li.PerSecond != 0 {
		li.PerSecond = max(li.PerSecond, minLimit)
	}
	if now := fl.opts.Clock.Now(); li.AsOf.After(now) {
		li.AsOf = now
	}
	fl.applyLimit(li, true)
}

// Limits returns what endpoints said in responses to this host: the limits that they name, and those that have ended
// recently. What other hosts say is left out, since its age would seem lower with each host that passes it on.
func (fl *Fleet) Limits() []Limit {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	var out []Limit
	for id, ep := range fl.endpoints {
		asOf := ep.limit.ownAsOf
		if !asOf.IsZero() && (fl.hasLimit(ep, now) || now.Sub(asOf) < endedRetention) {
			out = append(out, Limit{Endpoint: id, StartTimeMs: ep.entry.StartTimeMs, PerSecond: ep.limit.perSecond, AsOf: asOf})
		}
	}
	return out
}

// UntilWithinLimit returns the shortest time until this host may send a request to an endpoint of a service; ok is false
// unless all its endpoints that get requests name a limit.
func (fl *Fleet) UntilWithinLimit(service string) (d time.Duration, ok bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	for _, ep := range fl.endpoints {
		if ep.entry.Service != service || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
			continue
		}
		if !fl.hasLimit(ep, now) {
			return 0, false
		}
		// Without a share the client has to ask another host, which has one after about this time.
		rate := max(ep.limit.perSecond/float64(max(1, len(fl.hosts))), minLimit)
		missing := 1.0
		if share := fl.limitShare(ep, now); share > 0 {
			rate, missing = share, 1-ep.limit.level
		}
		wait := time.Duration(max(0, missing) / rate * float64(time.Second))
		if !ok || wait < d {
			d, ok = wait, true
		}
	}
	return d, ok
}

// CountCall counts a call to an endpoint that is not held back by the endpoint's limit, such as an order. The next
// requests wait for it.
func (fl *Fleet) CountCall(id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	if ep := fl.endpoints[id]; ep != nil && fl.hasLimit(ep, now) {
		fl.refillLimit(ep, now)
		ep.limit.level--
	}
}

// hasLimit reports whether an endpoint names a limit. A limit that no host has heard of for long is forgotten, by one host
// after the other.
func (fl *Fleet) hasLimit(ep *endpoint, now time.Time) bool {
	if ep.limit.perSecond == 0 {
		return false
	}
	if age := now.Sub(ep.limit.asOf); age > limitRetention {
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
	return ep.limit.level >= 1
}

// refillLimit adds the requests that this host may send since the last call.
func (fl *Fleet) refillLimit(ep *endpoint, now time.Time) {
	li := &ep.limit
	share := fl.limitShare(ep, now)
	elapsed := max(0, now.Sub(li.refilledAt))
	li.refilledAt = now
	li.level = math.Min(max(1, share*reserveTime.Seconds()), li.level+elapsed.Seconds()*share)
}

// limitShare returns the rate, in requests per second, at which this host may send to an endpoint. The shares of all hosts
// add up to the limit. As long as hosts differ in the list of hosts, those of the hosts that are unsure come on top.
func (fl *Fleet) limitShare(ep *endpoint, now time.Time) float64 {
	li := &ep.limit
	if senders := min(len(fl.hosts), 1+int(min(li.perSecond, math.MaxInt32)/requestsPerSender)); senders != li.senderCount || li.hostsVersion != fl.hostsVersion {
		li.senderCount, li.hostsVersion = senders, fl.hostsVersion
		li.isSender = isAmongFirst(ep.hash, fl.opts.Host, fl.hosts, senders)
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
