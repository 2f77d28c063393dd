package node

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
)

const (
	// restoredRetention is how long what the copy of a restored store does not have remains in force: evacuations, which the
	// operator writes again, and hosts, which register again. It is longer than the lease of a registration.
	restoredRetention = 10 * time.Second
	// maxReregisterDelay bounds the random delay before a host registers again, as all hosts do so at the same time.
	maxReregisterDelay = 600 * time.Millisecond
)

// seen returns the revision up to which all changes have been applied.
func (ss *storeState) seen() metastore.Revision {
	if seen := ss.seenRevision.Load(); seen != nil {
		return *seen
	}
	return metastore.Revision{}
}

// isRestored reports whether a snapshot is of a store that was restored from a copy since the last one.
func (ss *storeState) isRestored(sn metastore.Snapshot) bool {
	seen := ss.seen()
	if seen.IsZero() || sn.Revision.Era <= seen.Era {
		return false
	}
	ss.log.WithFields(logrus.Fields{"revision": sn.Revision.String(), "revision-before": seen.String()}).Warn("Metadata store was restored from a copy.")
	return true
}

// retainMissing adds the known zones and hosts which the copy of a restored store does not have to those of the snapshot, for a
// while. Their removal is seen as a change, if they are removed.
func (ss *storeState) retainMissing(isRestored bool, evacuated map[string]bool, hosts map[string]peering.Peer) {
	known := ss.knownHosts()
	if isRestored {
		until := ss.clock.Now().Add(restoredRetention)
		for zone := range ss.evacuated {
			ss.retainedZones[zone] = until
		}
		for name := range known {
			ss.retainedHosts[name] = until
		}
	}
	for zone := range ss.retainedZones {
		if evacuated[zone] {
			delete(ss.retainedZones, zone)
		}
		evacuated[zone] = true
	}
	for name := range ss.retainedHosts {
		pe, ok := known[name]
		if _, isListed := hosts[name]; isListed || !ok {
			delete(ss.retainedHosts, name)
			continue
		}
		hosts[name] = pe
	}
}

// endRetention drops the zones and hosts that have been retained for long enough.
func (ss *storeState) endRetention() {
	if len(ss.retainedZones)+len(ss.retainedHosts) == 0 {
		return
	}
	now := ss.clock.Now()
	for zone, until := range ss.retainedZones {
		if now.After(until) {
			ss.setEvacuated(zone, false)
			ss.log.WithFields(logrus.Fields{"zone": zone, "on": false}).Info("Evacuation was not written again.")
		}
	}
	hosts := ss.knownHosts()
	before := len(hosts)
	for name, until := range ss.retainedHosts {
		if now.After(until) {
			delete(ss.retainedHosts, name)
			delete(hosts, name)
		}
	}
	if len(hosts) < before {
		ss.setHosts(hosts)
	}
}

// setEvacuated sets whether a zone is evacuated.
func (ss *storeState) setEvacuated(zone string, evacuated bool) {
	delete(ss.retainedZones, zone)
	if evacuated {
		ss.evacuated[zone] = true
	} else {
		delete(ss.evacuated, zone)
	}
	ss.fleet.SetEvacuated(zone, evacuated)
}

// knownHosts returns a copy of the registered hosts.
func (ss *storeState) knownHosts() map[string]peering.Peer {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return maps.Clone(ss.hosts)
}

// noteRestored prepares for a store that was restored from a copy: the gates in force remain, and the host registers again.
func (no *Node) noteRestored() {
	no.reclaimer.restore()
	select {
	case no.reregister <- struct{}{}:
	default:
	}
}

// learnEra passes the eras that a digest names to the client of the store, so that a host which the store turns away knows
// them as well.
func (no *Node) learnEra(dg peering.Digest) {
	era := dg.AppliedRevision.Era
	for _, revision := range dg.HostRevisions {
		era = max(era, revision.Era)
	}
	if dg.Feed != nil {
		era = max(era, dg.Feed.To.Era)
	}
	no.deps.Store.LearnEra(era)
}
