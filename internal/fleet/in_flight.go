package fleet

import "time"

// Begin counts a request at an endpoint. It returns nil if the endpoint gets no requests any more, or if it
// is cold or names a limit and this host has used up its share of that rate, or if it wants no requests now
// or is brittle and full.
func (fl *Fleet) Begin(id string, load Load, coldRate float64) *InFlight {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.Draining || fl.evacuated[ep.entry.Zone] {
		return nil
	}
	now := fl.opts.Clock.Now()
	if !fl.isWithinLimit(ep, now) || ep.said.wait.isHeld(now) || !fl.hasRoom(ep, now) {
		return nil
	}
	if coldRate > 0 && now.Before(ep.coldUntil) &&
		!ep.coldBucket.allow(now, fl.coldShare(coldRate, id, now), fl.isUnsure(now)) {
		return nil
	}
	if fl.hasLimit(ep, now) {
		ep.said.limit.level--
	}
	ep.ownLoad.Requests += load.Requests
	ep.ownLoad.Tokens += load.Tokens
	ep.ownLoad.PrefillTokens += load.PrefillTokens
	return &InFlight{fl: fl, ep: ep, load: load, isFirst: ep.said.wait.begin()}
}

// IsAt reports whether the request is at the given start of the endpoint, with the given software version, as far as the host
// knows now.
func (fi *InFlight) IsAt(startTimeMs int64, software string) bool {
	fi.fl.mu.Lock()
	defer fi.fl.mu.Unlock()
	en := fi.currentEntry()
	return en.StartTimeMs == startTimeMs && en.SoftwareVersion == software
}

// currentEntry returns the entry of the endpoint as of now. The caller holds the fleet's lock.
func (fi *InFlight) currentEntry() Entry {
	if current := fi.fl.endpoints[fi.ep.entry.ID]; current != nil {
		return current.entry
	}
	return fi.ep.entry
}

// MarkPrefilled records that the endpoint has finished the prefill of the request.
func (fi *InFlight) MarkPrefilled() {
	fi.fl.mu.Lock()
	defer fi.fl.mu.Unlock()
	fi.markPrefilledLocked()
}

// IsPrefilled reports whether the endpoint has finished the prefill of the request.
func (fi *InFlight) IsPrefilled() bool {
	fi.fl.mu.Lock()
	defer fi.fl.mu.Unlock()
	return fi.prefilled
}

// markPrefilledLocked is MarkPrefilled for callers that hold the fleet's lock.
func (fi *InFlight) markPrefilledLocked() {
	if !fi.prefilled {
		fi.prefilled = true
		fi.ep.ownLoad.PrefillTokens -= fi.load.PrefillTokens
	}
}

// End ends the request and records its outcome. An unreachable endpoint counts as cold for coldFor. Further
// calls have no effect.
func (fi *InFlight) End(oc Outcome, coldFor time.Duration) {
	fi.fl.mu.Lock()
	defer fi.fl.mu.Unlock()
	if fi.ended {
		return
	}
	fi.ended = true
	fi.markPrefilledLocked()
	fi.ep.ownLoad.Requests -= fi.load.Requests
	fi.ep.ownLoad.Tokens -= fi.load.Tokens
	if fi.isFirst {
		fi.ep.said.wait.isTried = false
	}
	now := fi.fl.opts.Clock.Now()
	switch oc {
	case Succeeded:
		fi.ep.failureShare *= 1 - failureWeight
		fi.ep.backoff = 0
	case Failed:
		fi.ep.failureShare += failureWeight * (1 - fi.ep.failureShare)
	case Unreachable:
		fi.ep.failureShare += failureWeight * (1 - fi.ep.failureShare)
		fi.ep.backoff = min(max(2*fi.ep.backoff, minBackoff), maxBackoff)
		fi.ep.avoidUntil = now.Add(fi.ep.backoff)
		// An endpoint that refuses connections is restarting, and will be cold after that.
		fi.ep.coldUntil = later(fi.ep.coldUntil, now.Add(coldFor))
	case Neutral:
	}
}

// MarkResident records a prompt part that an endpoint has prefilled. Capacity is the memory of the engine in
// tokens.
func (fl *Fleet) MarkResident(id, key string, tokens, capacity int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if ep := fl.endpoints[id]; ep != nil {
		ep.residentParts.add(key, tokens, int(float64(capacity)*residentMemoryShare))
	}
}

// IsResident reports whether an endpoint is expected to have a prompt part in its memory.
func (fl *Fleet) IsResident(id, key string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	return ep != nil && ep.residentParts.contains(key)
}
