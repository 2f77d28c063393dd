package fleet

import (
	"slices"
	"time"
)

const (
	// departedHostRetention is how long a host whose registration has ended counts among those that send to cold endpoints: it may
	// only be cut off from the metadata store, and still reach endpoints and clients.
	departedHostRetention = 30 * time.Second
	// maxUnregisteredTime is how long a host that is not registered any more uses its whole share. It is shorter than
	// departedHostRetention, so that the others do not use it at the same time.
	maxUnregisteredTime = 25 * time.Second
	// unsureColdShare is the part of the rate that a host shares out while it may not know all others, or they may not know it.
	unsureColdShare = 0.5
)

// coldSenders holds what a host knows of the hosts that may send to cold endpoints.
type coldSenders struct {
	// departedAt holds the hosts whose registration has ended lately.
	departedAt map[string]time.Time
	// names lists the registered hosts and those that have departed lately, as of the given version of the list of hosts, until
	// the first departure is forgotten.
	names      []string
	version    int
	validUntil time.Time
	// registeredSince is the time at which this host was first seen to be registered, and registeredAt the last; both are zero if
	// it never was.
	registeredSince, registeredAt time.Time
}

// observeRegistration notes whether this host is registered.
func (fl *Fleet) observeRegistration(now time.Time) {
	if fl.opts.IsRegistered == nil || !fl.opts.IsRegistered() {
		return
	}
	cs := &fl.coldSenders
	if cs.registeredSince.IsZero() {
		cs.registeredSince = now
	}
	cs.registeredAt = now
}

// observeDepartures notes the hosts that are not in a new list of all hosts.
func (fl *Fleet) observeDepartures(hosts []string, now time.Time) {
	cs := &fl.coldSenders
	for _, host := range fl.hosts {
		if !slices.Contains(hosts, host) {
			cs.departedAt[host] = now
		}
	}
	for _, host := range hosts {
		delete(cs.departedAt, host)
	}
}

// hostsOfCold returns the hosts that may send to cold endpoints.
func (fl *Fleet) hostsOfCold(now time.Time) []string {
	cs := &fl.coldSenders
	if cs.names != nil && cs.version == fl.hostsVersion && (cs.validUntil.IsZero() || now.Before(cs.validUntil)) {
		return cs.names
	}
	cs.names, cs.version, cs.validUntil = slices.Clone(fl.hosts), fl.hostsVersion, time.Time{}
	for host, at := range cs.departedAt {
		until := at.Add(departedHostRetention)
		if !now.Before(until) {
			delete(cs.departedAt, host)
			continue
		}
		cs.names = append(cs.names, host)
		if cs.validUntil.IsZero() || until.Before(cs.validUntil) {
			cs.validUntil = until
		}
	}
	slices.Sort(cs.names)
	return cs.names
}

// coldShare returns the rate, in requests per second, at which this host may send to a cold endpoint. A host that started lately
// does not know of hosts that are cut off from the metadata store, and one that is not registered for long is not known to others.
// Both count on a part of the rate only.
func (fl *Fleet) coldShare(rate float64, endpoint string, now time.Time) float64 {
	part := 1.0
	if fl.isUnsure(now) {
		part = unsureColdShare
	}
	return coldShare(rate, part, endpoint, fl.opts.Host, fl.hostsOfCold(now))
}

// isUnsure reports whether this host may not know all others, or they may not know it.
func (fl *Fleet) isUnsure(now time.Time) bool {
	if fl.opts.IsRegistered == nil {
		return false
	}
	fl.observeRegistration(now)
	cs := &fl.coldSenders
	return cs.registeredSince.IsZero() || now.Sub(cs.registeredSince) < departedHostRetention || now.Sub(cs.registeredAt) > maxUnregisteredTime
}
