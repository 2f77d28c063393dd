package fleet

// MarkOtherStart records that another start of an endpoint answers than the entry describes, whose start time is given. It reports
// whether that was not known before. The mark lasts until the entry of another start is read.
func (fl *Fleet) MarkOtherStart(id string, startTimeMs int64) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	ep := fl.endpoints[id]
	if ep == nil || ep.entry.StartTimeMs != startTimeMs || ep.otherStart {
		return false
	}
	ep.otherStart = true
	fl.otherStarts[ep] = true
	return true
}

// HasOtherStart reports whether an endpoint of a service has a software version that is not known, because another start answers
// than its entry describes.
func (fl *Fleet) HasOtherStart(service string) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	found := false
	for ep := range fl.otherStarts {
		if fl.endpoints[ep.entry.ID] != ep {
			delete(fl.otherStarts, ep)
			continue
		}
		found = found || ep.entry.Service == service
	}
	return found
}

// IsSoftware reports whether the endpoint of the request has a software version, as far as the host knows now. It may have started
// again since.
func (fi *InFlight) IsSoftware(version string) bool {
	fi.fl.mu.Lock()
	defer fi.fl.mu.Unlock()
	return fi.currentEntry().SoftwareVersion == version
}
