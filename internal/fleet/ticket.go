package fleet

import "time"

// Begin counts a request at an endpoint. It returns nil if the endpoint gets no requests any more, or if it
// is cold and this host has used up its share of the endpoint's cold rate.
func (fl *Fleet) Begin(id string, load Load, coldRate float64) *Ticket {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
		return nil
	}
	now := fl.opts.Clock.Now()
	if coldRate > 0 && now.Before(ep.coldUntil) &&
		!ep.coldBucket.allow(now, coldShare(coldRate, id, fl.opts.Host, fl.hosts)) {
		return nil
	}
	ep.ownLoad.Requests += load.Requests
	ep.ownLoad.Tokens += load.Tokens
	ep.ownLoad.Unread += load.Unread
	return &Ticket{fl: fl, ep: ep, load: load}
}

// Read records that the endpoint has finished the prefill of the request.
func (ti *Ticket) Read() {
	ti.fl.mu.Lock()
	defer ti.fl.mu.Unlock()
	ti.markPrefilledLocked()
}

func (ti *Ticket) markPrefilledLocked() {
	if !ti.prefilled {
		ti.prefilled = true
		ti.ep.ownLoad.Unread -= ti.load.Unread
	}
}

// End ends the request. Further calls have no effect.
func (ti *Ticket) End(oc Outcome, coldFor time.Duration) {
	ti.fl.mu.Lock()
	defer ti.fl.mu.Unlock()
	if ti.ended {
		return
	}
	ti.ended = true
	ti.markPrefilledLocked()
	ti.ep.ownLoad.Requests -= ti.load.Requests
	ti.ep.ownLoad.Tokens -= ti.load.Tokens
	now := ti.fl.opts.Clock.Now()
	switch oc {
	case Good:
		ti.ep.failures *= 1 - failureWeight
		ti.ep.backoff = 0
	case Failed:
		ti.ep.failures += failureWeight * (1 - ti.ep.failures)
	case Unreachable:
		ti.ep.failures += failureWeight * (1 - ti.ep.failures)
		ti.ep.backoff = min(max(2*ti.ep.backoff, minBackoff), maxBackoff)
		ti.ep.avoidUntil = now.Add(ti.ep.backoff)
		// An endpoint that refuses connections is restarting, and will be cold.
		ti.ep.coldUntil = latest(ti.ep.coldUntil, now.Add(coldFor))
	case Neutral:
	}
}

// Used records a prompt part that an endpoint has prefilled. Capacity is the memory of the engine in
// tokens.
func (fl *Fleet) Used(id, key string, tokens, capacity int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.residentParts.add(key, tokens, int(float64(capacity)*residentMemoryShare))
	}
}

// Resident reports whether an endpoint is expected to have a prompt part in its memory.
func (fl *Fleet) Resident(id, key string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	return ep != nil && ep.residentParts.contains(key)
}
