package fleet

import (
	"maps"
	"slices"
	"time"
)

type (
	// Statement is what an endpoint says of itself in the header of a response.
	Statement struct {
		// Limit is the rate of requests that the endpoint takes from all hosts together, in requests per second, and
		// HasLimit whether it names one.
		Limit    float64
		HasLimit bool
		// IsLeaving reports that the endpoint is about to stop.
		IsLeaving bool
		// IsBrittle reports that the endpoint falls over when it has to turn away more than Rejections requests in a second.
		IsBrittle  bool
		Rejections int
		// Wait is for how long the endpoint, which turns the request away, wants none from this host; zero if it does not say.
		Wait time.Duration
		// Invalid is a field that cannot be used; empty if there is none.
		Invalid string
	}

	// PeerStatement is what a host has heard from an endpoint, for the other hosts.
	PeerStatement struct {
		// Endpoint and StartTimeMs identify the start of the endpoint.
		Endpoint    string
		StartTimeMs int64
		// PerSecond is the limit in requests per second, zero if the endpoint names none any more. LimitAsOf is the time from
		// which that is known to hold; the zero time means that nothing is known.
		PerSecond float64
		LimitAsOf time.Time
		// IsLeaving reports that the endpoint is about to stop.
		IsLeaving bool
		// WaitUntil is the time until which the endpoint wants no requests from the host that heard it; zero if it does not say.
		WaitUntil time.Time
		// BrittleAsOf is the time from which the endpoint is known to be brittle, or not, as IsBrittle says; the zero time means
		// that nothing is known. Rejections is how many requests it bears to turn away in a second. HeldUntil is the time until which it gets no requests, after it has turned one away.
		IsBrittle   bool
		Rejections  int
		BrittleAsOf time.Time
		HeldUntil   time.Time
	}

	// StatementKind is the kind of a statement.
	StatementKind int

	// StatementChange is a change of what a host knows from an endpoint about itself.
	StatementChange struct {
		Kind StatementKind
		// Endpoint is the identifier of the endpoint, and Service its service.
		Endpoint, Service string
		// PerSecond is the limit in requests per second, Wait the duration of the wait; zero for other kinds.
		PerSecond float64
		Wait      time.Duration
		// AsOf is the time from which the statement is known to hold.
		AsOf time.Time
		// HasEnded reports that the endpoint does not say so any more.
		HasEnded bool
		// FromPeer reports that another host got the response.
		FromPeer bool
	}

	// StatementCount is the number of endpoints of a service of which a kind of statement holds now.
	StatementCount struct {
		Service   string
		Kind      StatementKind
		Endpoints int
	}

	// statements is what is known of an endpoint from what it says of itself.
	statements struct {
		limit   requestLimit
		wait    requestWait
		brittle brittleness
		// isLeaving is set once the endpoint has said that it is about to stop, and isLeavingHeard if it did so in a response
		// to this host.
		isLeaving, isLeavingHeard bool
		// isInvalidKnown is set once the endpoint has said something that cannot be used.
		isInvalidKnown bool
	}
)

const (
	// LimitStatement is the rate of requests that an endpoint takes.
	LimitStatement StatementKind = iota
	// LeavingStatement says that an endpoint is about to stop.
	LeavingStatement
	// WaitStatement says for how long an endpoint wants no requests from a host.
	WaitStatement
	// BrittleStatement says that an endpoint falls over when it has to turn away many requests.
	BrittleStatement

	statementKinds = iota
)

// String returns the name of the kind.
func (sk StatementKind) String() string {
	return [...]string{LimitStatement: "limit", LeavingStatement: "leaving", WaitStatement: "wait", BrittleStatement: "brittle"}[sk]
}

// RecordStatement records what an endpoint says in a response to a request that was sent at sentAt. Only a response to a
// request that has run tells that the endpoint names no limit, and ends its wait. The result reports whether the statement is the
// first invalid one of this start of the endpoint.
func (fl *Fleet) RecordStatement(id string, startTimeMs int64, st Statement, sentAt time.Time, hasRun bool) (isFirstInvalid bool) {
	fl.mu.Lock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.StartTimeMs != startTimeMs {
		fl.mu.Unlock()
		return false
	}
	now := fl.opts.Clock.Now()
	changes := fl.record(ep, st, sentAt, hasRun, now)
	isFirstInvalid = st.Invalid != "" && !ep.said.isInvalidKnown
	ep.said.isInvalidKnown = ep.said.isInvalidKnown || st.Invalid != ""
	service := ep.entry.Service
	fl.mu.Unlock()
	fl.report(id, service, false, changes)
	return isFirstInvalid
}

// record applies a statement from a response to this host and returns what it changes.
func (fl *Fleet) record(ep *endpoint, st Statement, sentAt time.Time, hasRun bool, now time.Time) (changes []StatementChange) {
	if st.HasLimit {
		li := namedLimit{perSecond: max(st.Limit, minLimit), asOf: now}
		if fl.setLimit(ep, li, false) {
			changes = append(changes, StatementChange{Kind: LimitStatement, PerSecond: li.perSecond, AsOf: now})
		}
	} else if hasRun && st.Invalid == "" && fl.setLimit(ep, namedLimit{asOf: sentAt}, false) {
		// Responses may overtake each other, so that this one tells nothing about the time after sentAt.
		changes = append(changes, StatementChange{Kind: LimitStatement, AsOf: sentAt, HasEnded: true})
	}
	if (st.IsBrittle || hasRun && st.Invalid == "") && ep.said.brittle.set(st.IsBrittle, st.Rejections, sentAtOrNow(st.IsBrittle, sentAt, now), false) {
		changes = append(changes, StatementChange{Kind: BrittleStatement, AsOf: ep.said.brittle.asOf, HasEnded: !st.IsBrittle})
	}
	if st.IsLeaving {
		if !ep.said.isLeaving {
			changes = append(changes, StatementChange{Kind: LeavingStatement, AsOf: now})
		}
		ep.said.isLeaving, ep.said.isLeavingHeard = true, true
		fl.drain(ep)
	}
	switch {
	case st.Wait > 0:
		wait := min(st.Wait, maxWait)
		if ep.said.wait.set(now.Add(wait)) {
			changes = append(changes, StatementChange{Kind: WaitStatement, Wait: wait, AsOf: now})
		}
	case hasRun && ep.said.wait.end(sentAt):
		changes = append(changes, StatementChange{Kind: WaitStatement, AsOf: sentAt, HasEnded: true})
	}
	return changes
}

// MergeStatement records what another host has heard from an endpoint. A wait concerns only that host, but this one prefers
// other endpoints meanwhile.
func (fl *Fleet) MergeStatement(ps PeerStatement) {
	fl.mu.Lock()
	now := fl.opts.Clock.Now()
	ep := fl.endpoints[ps.Endpoint]
	if de := fl.departed[ps.Endpoint]; ep == nil && ps.IsLeaving && de.startTimeMs <= ps.StartTimeMs {
		// Its entry may come, or return, later.
		fl.departed[ps.Endpoint] = departure{startTimeMs: ps.StartTimeMs, at: now, said: statements{isLeaving: true}}
	}
	if ep == nil || ep.entry.StartTimeMs != ps.StartTimeMs {
		fl.mu.Unlock()
		return
	}
	var changes []StatementChange
	if !ps.LimitAsOf.IsZero() {
		li := namedLimit{perSecond: ps.PerSecond, asOf: ps.LimitAsOf}
		if li.perSecond != 0 {
			li.perSecond = max(li.perSecond, minLimit)
		}
		if li.asOf.After(now) {
			li.asOf = now
		}
		if fl.setLimit(ep, li, true) {
			changes = append(changes, StatementChange{Kind: LimitStatement, PerSecond: li.perSecond, AsOf: li.asOf, HasEnded: li.perSecond == 0})
		}
	}
	if !ps.BrittleAsOf.IsZero() && ep.said.brittle.set(ps.IsBrittle, ps.Rejections, earlier(ps.BrittleAsOf, now), true) {
		changes = append(changes, StatementChange{Kind: BrittleStatement, AsOf: ep.said.brittle.asOf, HasEnded: !ps.IsBrittle})
	}
	if ps.HeldUntil.After(now) {
		ep.said.brittle.hold(earlier(ps.HeldUntil, now.Add(rejectionHold)))
	}
	if ps.IsLeaving && !ep.said.isLeaving {
		ep.said.isLeaving = true
		fl.drain(ep)
		changes = append(changes, StatementChange{Kind: LeavingStatement, AsOf: now})
	}
	if ps.WaitUntil.After(now) {
		until := now.Add(min(ps.WaitUntil.Sub(now), maxPeerAvoidance))
		ep.avoidUntil = later(ep.avoidUntil, until)
	}
	service := ep.entry.Service
	fl.mu.Unlock()
	fl.report(ps.Endpoint, service, true, changes)
}

// report passes on changes of an endpoint's statements.
func (fl *Fleet) report(id, service string, fromPeer bool, changes []StatementChange) {
	if fl.opts.OnStatementChange == nil {
		return
	}
	for _, sc := range changes {
		sc.Endpoint, sc.Service, sc.FromPeer = id, service, fromPeer
		fl.opts.OnStatementChange(sc)
	}
}

// Statements returns what endpoints said in responses to this host: limits, also those that have ended recently, waits, and that
// they leave. What other hosts say is left out, since its age would seem lower with each host that passes it on.
func (fl *Fleet) Statements() []PeerStatement {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	var out []PeerStatement
	for id, ep := range fl.endpoints {
		ps := PeerStatement{Endpoint: id, StartTimeMs: ep.entry.StartTimeMs, IsLeaving: ep.said.isLeavingHeard}
		if asOf := ep.said.limit.ownAsOf; !asOf.IsZero() && (fl.hasLimit(ep, now) || now.Sub(asOf) < endedRetention) {
			ps.PerSecond, ps.LimitAsOf = ep.said.limit.perSecond, asOf
		}
		if until := ep.said.wait.until; now.Before(until) {
			ps.WaitUntil = until
		}
		if br := ep.said.brittle; br.isPassedOn(now) {
			ps.IsBrittle, ps.Rejections, ps.BrittleAsOf, ps.HeldUntil = br.isBrittle, br.rejections, br.ownAsOf, br.ownHeldUntil
		}
		if ps.IsLeaving || !ps.LimitAsOf.IsZero() || !ps.WaitUntil.IsZero() || !ps.BrittleAsOf.IsZero() {
			out = append(out, ps)
		}
	}
	return out
}

// StatementCounts returns, for each service with endpoints and each kind of statement, of how many endpoints it holds now.
func (fl *Fleet) StatementCounts() []StatementCount {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	counts := make(map[string]*[statementKinds]int)
	for _, ep := range fl.endpoints {
		count := counts[ep.entry.Service]
		if count == nil {
			count = &[statementKinds]int{}
			counts[ep.entry.Service] = count
		}
		for kind, holds := range [...]bool{
			LimitStatement: fl.hasLimit(ep, now), LeavingStatement: ep.said.isLeaving, WaitStatement: ep.said.wait.isHeld(now),
			BrittleStatement: ep.said.brittle.holds(now),
		} {
			if holds {
				count[kind]++
			}
		}
	}
	var out []StatementCount
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		for kind, endpoints := range counts[service] {
			out = append(out, StatementCount{Service: service, Kind: StatementKind(kind), Endpoints: endpoints})
		}
	}
	return out
}

// UntilAvailable returns the shortest time until this host may send a request to an endpoint of a service; ok is false
// unless all its endpoints that get requests name a limit or want none now.
func (fl *Fleet) UntilAvailable(service string) (d time.Duration, ok bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	for _, ep := range fl.endpoints {
		if ep.entry.Service != service || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
			continue
		}
		isHeld, isFull := ep.said.wait.isHeld(now), !fl.hasRoom(ep, now)
		if !isHeld && !isFull && !fl.hasLimit(ep, now) {
			return 0, false
		}
		wait := max(0, ep.said.wait.until.Sub(now))
		if isFull {
			wait = max(wait, fullRetryAfter, ep.said.brittle.heldUntil.Sub(now))
		}
		if fl.hasLimit(ep, now) {
			wait = max(wait, fl.untilWithinLimit(ep, now))
		}
		if !ok || wait < d {
			d, ok = wait, true
		}
	}
	return d, ok
}

// untilWithinLimit returns the time until this host may send a request to an endpoint that names a limit.
func (fl *Fleet) untilWithinLimit(ep *endpoint, now time.Time) time.Duration {
	// Without a share the client has to ask another host, which has one after about this time.
	rate := max(ep.said.limit.perSecond/float64(max(1, len(fl.hosts))), minLimit)
	missing := 1.0
	if share := fl.limitShare(ep, now); share > 0 {
		rate, missing = share, 1-ep.said.limit.level
	}
	return time.Duration(max(0, missing) / rate * float64(time.Second))
}
