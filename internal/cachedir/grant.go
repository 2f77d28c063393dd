package cachedir

import "github.com/bergamotway/bergamotway/internal/metastore"

// grantDurationMs is the validity of a grant, in milliseconds of the endpoints' clock. Once all registered hosts
// know a gate, the parts that it excludes are freed after a delay. The grant and the longest fetch under it
// must end within that delay.
const grantDurationMs = 600

// FetchGrant lets a host that is no longer registered in the metadata store fetch parts, because a registered
// host has reported that the gates have not changed. Hosts that free parts wait for registered hosts only, so
// a grant ends soon after the report was made, by the endpoints' clock: a report that arrives late is valid
// for a shorter time. The zero value is not valid.
type FetchGrant struct {
	validUntilMs int64
}

// Extend applies a report that a registered host made at clockMs. PeerRevision is the revision of the gates
// that the registered host knows, ownRevision the one that this host knows. A host that does not know the
// newest gates may not fetch.
func (fg *FetchGrant) Extend(peerRevision, ownRevision metastore.Revision, clockMs int64) {
	if ownRevision.Before(peerRevision) {
		fg.validUntilMs = 0
		return
	}
	fg.validUntilMs = max(fg.validUntilMs, clockMs+grantDurationMs)
}

// IsValid reports whether the host may fetch at clockMs.
func (fg *FetchGrant) IsValid(clockMs int64) bool { return clockMs < fg.validUntilMs }
