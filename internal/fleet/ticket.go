package fleet

import "time"

// Begin counts a request at an endpoint. It returns nil if the endpoint may not get it any more,
// or is cold and this host has used up its share of what cold endpoints bear.
func (fl *Fleet) Begin(id string, load Load, coldRate float64) *Ticket {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
		return nil
	}
	now := fl.opts.Clock.Now()
	if coldRate > 0 && now.Before(ep.coldUntil) &&
		!ep.cold.take(now, coldShare(coldRate, id, fl.opts.Host, fl.hosts)) {
		return nil
	}
	ep.own.Requests += load.Requests
	ep.own.Tokens += load.Tokens
	ep.own.Unread += load.Unread
	return &Ticket{fl: fl, ep: ep, load: load}
}

// Read records that the endpoint has read the prompt of the request.
func (ti *Ticket) Read() {
	ti.fl.mu.Lock()
	defer ti.fl.mu.Unlock()
	ti.readLocked()
}

func (ti *Ticket) readLocked() {
	if !ti.read {
		ti.read = true
		ti.ep.own.Unread -= ti.load.Unread
	}
}

// End ends the request. A second call does nothing.
func (ti *Ticket) End(oc Outcome, coldFor time.Duration) {
	ti.fl.mu.Lock()
	defer ti.fl.mu.Unlock()
	if ti.done {
		return
	}
	ti.done = true
	ti.readLocked()
	ti.ep.own.Requests -= ti.load.Requests
	ti.ep.own.Tokens -= ti.load.Tokens
	now := ti.fl.opts.Clock.Now()
	switch oc {
	case Good:
		ti.ep.failures *= 1 - failureWeight
		ti.ep.backoff = 0
	case Failed:
		ti.ep.failures += failureWeight * (1 - ti.ep.failures)
	case Unreachable:
		ti.ep.failures += failureWeight * (1 - ti.ep.failures)
		ti.ep.backoff = min(max(2*ti.ep.backoff, avoidFirst), avoidMost)
		ti.ep.avoid = now.Add(ti.ep.backoff)
		// An endpoint that refuses connections is starting again, and will be cold.
		ti.ep.coldUntil = later(ti.ep.coldUntil, now.Add(coldFor))
	case Neutral:
	}
}

// Used records the prompt parts that an endpoint has read, and Resident tells whether it has.
func (fl *Fleet) Used(id, key string, tokens, capacity int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.resident.use(key, tokens, int(float64(capacity)*residentShare))
	}
}

// Resident reports whether an endpoint is expected to hold a prompt part in its memory.
func (fl *Fleet) Resident(id, key string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	return ep != nil && ep.resident.has(key)
}
