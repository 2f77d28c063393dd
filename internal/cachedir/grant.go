package cachedir

// grantDurationMs is the validity of a grant, in milliseconds of the endpoints' clock. The grant and the
// longest fetch under it must end before the parts excluded by a gate that all registered hosts know are
// freed.
const grantDurationMs = 600

// FetchGrant is a grant that lets a host fetch although it is no longer registered in the metadata store, based
// on a registered host's report that the gates have not changed. Parts are freed after waiting for
// registered hosts only, so a grant ends soon after the report was made, by the endpoints' clock: a
// report that arrives late is valid for a shorter time. The zero value is not valid.
type FetchGrant struct {
	validUntilMs int64
}

// Extend applies a registered host's report made at clockMs. PeerRevision is the revision of the gates that
// the registered host knows, ownRevision that of this host. A host that does not know the newest gates may
// not fetch.
func (fg *FetchGrant) Extend(peerRevision, ownRevision uint64, clockMs int64) {
	if ownRevision < peerRevision {
		fg.validUntilMs = 0
		return
	}
	fg.validUntilMs = max(fg.validUntilMs, clockMs+grantDurationMs)
}

// IsValid reports whether the host may fetch at clockMs.
func (fg *FetchGrant) IsValid(clockMs int64) bool { return clockMs < fg.validUntilMs }
