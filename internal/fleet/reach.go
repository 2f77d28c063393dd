package fleet

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// minSilentEndpoints and maxSilentEndpoints bound the number of endpoints of a service of which none may have responded for
	// the host to count as cut off. One silent endpoint says nothing about the host.
	minSilentEndpoints = 2
	maxSilentEndpoints = 4
	// silenceRetention is how long an attempt without a response counts.
	silenceRetention = 3 * time.Second
)

type (
	// ReachChange is a change of whether this host reaches the endpoints of a service.
	ReachChange struct {
		Service string
		// IsCutOff reports that no endpoint responds to this host any more.
		IsCutOff bool
		// Lasted is for how long the host was cut off; zero at the beginning.
		Lasted time.Duration
	}

	// reach is what a host knows of its way to the endpoints of a service since the last response of one of them.
	reach struct {
		// silentSince holds when an attempt at an endpoint last ended without a response, by identifier.
		silentSince map[string]time.Time
		// cutOffAt is the time since when the host counts as cut off; zero if it does not.
		cutOffAt time.Time
	}
)

// Responded records that the endpoint has responded, whatever the response was.
func (fi *InFlight) Responded() {
	fi.fl.mu.Lock()
	service := fi.ep.entry.Service
	fi.fl.mu.Unlock()
	fi.fl.NoteReached(service)
}

// Silent records that the attempt ended without a response although neither the client nor the deadline ended it.
func (fi *InFlight) Silent() {
	fl := fi.fl
	fl.mu.Lock()
	change, hasChanged := fl.noteSilence(fi.ep.entry, fl.opts.Clock.Now())
	fl.mu.Unlock()
	if hasChanged && fl.opts.OnReachChange != nil {
		fl.opts.OnReachChange(change)
	}
}

// NoteReached records that an endpoint of a service accepts connections of this host.
func (fl *Fleet) NoteReached(service string) {
	fl.mu.Lock()
	re := fl.reach[service]
	delete(fl.reach, service)
	now := fl.opts.Clock.Now()
	fl.mu.Unlock()
	if re != nil && !re.cutOffAt.IsZero() && fl.opts.OnReachChange != nil {
		fl.opts.OnReachChange(ReachChange{Service: service, Lasted: now.Sub(re.cutOffAt)})
	}
}

// IsCutOff reports whether no endpoint of a service responds to this host. Whether the endpoints are down, or only the way to
// them, other hosts can tell.
func (fl *Fleet) IsCutOff(service string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.isCutOff(service)
}

// CutOffSample returns, for each service from which this host is cut off, at most count of its endpoints, chosen at random.
func (fl *Fleet) CutOffSample(count int) map[string][]Entry {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[string][]Entry)
	for service, re := range fl.reach {
		if re.cutOffAt.IsZero() {
			continue
		}
		entries := fl.usableEntries(service)
		rand.Shuffle(len(entries), func(i, k int) { entries[i], entries[k] = entries[k], entries[i] })
		out[service] = entries[:min(count, len(entries))]
	}
	return out
}

// usableEntries returns the entries of the endpoints of a service that may get requests.
func (fl *Fleet) usableEntries(service string) []Entry {
	var out []Entry
	for _, ep := range fl.endpoints {
		if ep.entry.Service == service && !ep.entry.Draining && !fl.evacuated[ep.entry.Zone] {
			out = append(out, ep.entry)
		}
	}
	return out
}

// noteSilence records an attempt without a response, and returns the change if the host counts as cut off from now on.
func (fl *Fleet) noteSilence(en Entry, now time.Time) (ReachChange, bool) {
	re := fl.reach[en.Service]
	if re == nil {
		re = &reach{silentSince: make(map[string]time.Time)}
		fl.reach[en.Service] = re
	}
	re.silentSince[en.ID] = now
	maps.DeleteFunc(re.silentSince, func(_ string, at time.Time) bool { return now.Sub(at) > silenceRetention })
	if !re.cutOffAt.IsZero() || len(re.silentSince) < minSilentEndpoints {
		return ReachChange{}, false
	}
	usable := fl.usableEntries(en.Service)
	silent := 0
	for _, other := range usable {
		if _, ok := re.silentSince[other.ID]; ok {
			silent++
		}
	}
	if silent < max(minSilentEndpoints, min(len(usable), maxSilentEndpoints)) {
		return ReachChange{}, false
	}
	re.cutOffAt = now
	return ReachChange{Service: en.Service, IsCutOff: true}, true
}

// isCutOff is IsCutOff for callers that hold the lock.
func (fl *Fleet) isCutOff(service string) bool {
	re := fl.reach[service]
	return re != nil && !re.cutOffAt.IsZero()
}
