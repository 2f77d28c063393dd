package fleet

import "time"

const (
	// retentionTime is how long after an outage of the metadata store an endpoint without an entry is still
	// used. Live endpoints register again within about 2 s after the outage.
	retentionTime = 2300 * time.Millisecond
	// minRetentionTime is the part of it for which such an endpoint is used also if the store was back before this host noticed.
	// retentionAfterFailure is how long it is used after the last failed call.
	minRetentionTime      = 2 * time.Second
	retentionAfterFailure = 2500 * time.Millisecond
	// removalRetention is how long an endpoint is used after its removal was seen. An endpoint that leaves without notice
	// must not get requests 2 s after it.
	removalRetention = 1700 * time.Millisecond
	// departureRetention is how long an endpoint without an entry is remembered, and leavingRetention how long one that said
	// that it leaves.
	departureRetention = time.Minute
	leavingRetention   = 10 * time.Minute
)

// departure is a start of an endpoint whose entry disappeared, with what it said of itself.
type departure struct {
	startTimeMs int64
	at          time.Time
	said        statements
}

// ReplaceRestored records the complete list of entries of a metadata store that was restored from a copy. Entries that the copy
// lacks may be those of live endpoints, which write them again as after an outage. Entries of endpoints that have been
// removed may be only in the copy; those endpoints are used once they write them again.
func (fl *Fleet) ReplaceRestored(entries []Entry) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	if fl.storeLostAt.IsZero() {
		fl.storeFailedAt, fl.storeRegainedAt = now, now
	}
	current := make([]Entry, 0, len(entries))
	for _, en := range entries {
		ep := fl.endpoints[en.ID]
		switch {
		case ep != nil && ep.entry.StartTimeMs > en.StartTimeMs:
			// The copy has an earlier start of the endpoint, which writes its entry again.
			current = append(current, ep.entry)
		case ep != nil || !fl.hasDeparted(en, now):
			current = append(current, en)
		}
	}
	fl.replace(current, now)
}

// StoreLost records a failed call to the metadata store.
func (fl *Fleet) StoreLost() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.storeFailedAt = fl.opts.Clock.Now()
	if fl.storeLostAt.IsZero() {
		fl.storeLostAt = fl.storeFailedAt
	}
}

// StoreReached records a successful call to the metadata store. It returns the duration of the outage
// that the call ends, or zero.
func (fl *Fleet) StoreReached() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	now := fl.opts.Clock.Now()
	fl.observeRegistration(now)
	if fl.storeLostAt.IsZero() {
		return 0
	}
	outage := now.Sub(fl.storeLostAt)
	fl.storeLostAt, fl.storeRegainedAt = time.Time{}, now
	for _, ep := range fl.endpoints {
		if !ep.retainedUntil.IsZero() {
			ep.retainedUntil = fl.retentionEnd()
		}
	}
	return outage
}

// remove deletes an endpoint without an entry, or retains it if its entry may have expired.
func (fl *Fleet) remove(id string, ep *endpoint, now time.Time) {
	storeUnreliable := !fl.storeLostAt.IsZero() || now.Sub(fl.storeRegainedAt) < retentionTime && !fl.storeRegainedAt.IsZero()
	switch {
	case !storeUnreliable || ep.entry.Draining:
		fl.delete(id, ep, now)
	case !fl.storeLostAt.IsZero():
		// StoreReached sets the end.
		ep.retainedUntil = now.Add(retentionTime)
	default:
		ep.retainedUntil = fl.retentionEnd()
	}
}

// retentionEnd returns until when endpoints are retained whose entries disappeared during the last outage of the store.
func (fl *Fleet) retentionEnd() time.Time {
	end := later(fl.storeFailedAt.Add(retentionAfterFailure), fl.storeRegainedAt.Add(minRetentionTime))
	if latest := fl.storeRegainedAt.Add(retentionTime); latest.Before(end) {
		return latest
	}
	return end
}

// delete deletes an endpoint, and keeps its identity and what it said of itself in case its entry returns.
func (fl *Fleet) delete(id string, ep *endpoint, now time.Time) {
	delete(fl.endpoints, id)
	fl.countSoftware(ep.entry, -1)
	delete(fl.ordered, ep.entry.Service)
	for other, de := range fl.departed {
		if !de.isRetained(now) {
			delete(fl.departed, other)
		}
	}
	fl.departed[id] = departure{startTimeMs: ep.entry.StartTimeMs, at: now, said: ep.said}
}

// isRetained reports whether a departure is still remembered.
func (de departure) isRetained(now time.Time) bool {
	if de.said.isLeaving {
		return now.Sub(de.at) <= leavingRetention
	}
	return now.Sub(de.at) <= departureRetention
}

// hasDeparted reports whether the entry of this start of an endpoint disappeared lately.
func (fl *Fleet) hasDeparted(en Entry, now time.Time) bool {
	de, ok := fl.departed[en.ID]
	return ok && de.startTimeMs == en.StartTimeMs && de.isRetained(now)
}

// takeDeparted returns what an endpoint said of itself before its entry disappeared, if it has not been restarted.
func (fl *Fleet) takeDeparted(en Entry, now time.Time) statements {
	defer delete(fl.departed, en.ID)
	if !fl.hasDeparted(en, now) {
		return statements{}
	}
	return fl.departed[en.ID].said
}

// isExpired reports whether the retention of an endpoint without an entry has ended.
func (fl *Fleet) isExpired(ep *endpoint, now time.Time) bool {
	return !ep.retainedUntil.IsZero() && fl.storeLostAt.IsZero() && now.After(ep.retainedUntil)
}
