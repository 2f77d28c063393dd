package fleet

import (
	"cmp"
	"slices"
)

// SoftwareFilter selects endpoints by their software version. The zero value selects all.
type SoftwareFilter struct {
	// Only is the only version that is selected; empty means any. Except lists those that are not.
	Only   string
	Except []string
	// Limit returns how many of the selected endpoints are kept, the same ones at all hosts; nil means all.
	Limit func(endpoints int) int
}

func (sf SoftwareFilter) includes(ep *endpoint) bool {
	version := ep.entry.SoftwareVersion
	return (sf.Only == "" || version == sf.Only) && !slices.Contains(sf.Except, version)
}

// selector returns a function that reports whether a filter selects an endpoint of a service.
func (fl *Fleet) selector(service string, sf SoftwareFilter) func(*endpoint) bool {
	includes := func(ep *endpoint) bool { return ep.entry.Service == service && sf.includes(ep) }
	if sf.Limit == nil {
		return includes
	}
	first := fl.firstOf(includes, sf.Limit)
	return func(ep *endpoint) bool { return first[ep] }
}

// firstOf returns the first of the included endpoints that are not draining, in an order that is the same at all hosts.
func (fl *Fleet) firstOf(includes func(*endpoint) bool, limit func(endpoints int) int) map[*endpoint]bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var found []*endpoint
	for _, ep := range fl.endpoints {
		if includes(ep) && !ep.entry.Draining {
			found = append(found, ep)
		}
	}
	slices.SortFunc(found, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	out := make(map[*endpoint]bool)
	for _, ep := range found[:min(len(found), limit(len(found)))] {
		out[ep] = true
	}
	return out
}

// CountSoftware returns the number of endpoints of a service with a software version. Endpoints that are draining count as
// well.
func (fl *Fleet) CountSoftware(service, software string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.software[serviceVersion{service, software}]
}

// HasOtherSoftware reports whether a service has endpoints with other software versions than the given ones.
func (fl *Fleet) HasOtherSoftware(service string, versions ...string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for sv := range fl.software {
		if sv.service == service && !slices.Contains(versions, sv.version) {
			return true
		}
	}
	return false
}
