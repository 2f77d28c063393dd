package node

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/canary"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/contact"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/release"
	"github.com/bergamotway/bergamotway/internal/verdicts"
	"github.com/bergamotway/bergamotway/internal/weights"
)

const (
	prefixOwn        = "bergamotway/"
	prefixHosts      = prefixOwn + "hosts/"
	prefixTargets    = prefixOwn + "named/"
	prefixVerdicts   = verdicts.Prefix
	prefixSoftware   = prefixOwn + "software/"
	prefixOrigins    = prefixOwn + "origins/"
	keyCheckpoint    = prefixOwn + "checkpoint"
	keyFormerTeams   = prefixOwn + "exclusive-teams"
	keyGates         = prefixOwn + "cache/gates"
	keyUpgradeLeader = prefixOwn + "leader/weights"
	// staleWeightsShare is the share of Bounds.WeightsMs after which older weights are no longer used.
	staleWeightsShare = 0.93
)

type (
	// ItemKind is the kind of an item that the operator writes into the metadata store.
	ItemKind int

	// Decoder decodes the items that endpoints and operators write into the metadata store.
	Decoder interface {
		// EndpointID returns the identifier of the endpoint whose entry is stored under key; ok is false
		// if key is not that of an endpoint's entry.
		EndpointID(key string) (id string, ok bool)
		// Entry decodes an endpoint's entry.
		Entry(key string, value []byte) (fleet.Entry, error)
		// ClassifyItem returns the kind of an operator's item and its subject: the evacuated zone, the model or the service.
		ClassifyItem(key string) (kind ItemKind, subject string)
		// Catalog decodes the operator's configuration.
		Catalog(value []byte) (*catalog.Catalog, error)
		// TargetVersion decodes the target version of a model.
		TargetVersion(value []byte) (model string, version uint64, err error)
		// RolloutOrder decodes an order to roll out a software version, without its revision.
		RolloutOrder(value []byte) (canary.Order, error)
		// RolloutStatus decodes the status of a rollout.
		RolloutStatus(value []byte) (RolloutStatus, error)
	}

	// hostRegistration is what a host writes about itself into the metadata store for its peers.
	hostRegistration struct {
		Zone    string `json:"zone"`
		Address string `json:"address"`
		// Relay is the address on which the host takes requests from its peers; empty for hosts of earlier versions.
		Relay  string  `json:"relay,omitempty"`
		Weight float64 `json:"weight,omitempty"`
		// Origins is set if the host reads what began a stream from a request that is passed on; false for hosts of earlier versions.
		Origins bool `json:"origins,omitempty"`
	}

	// storeState follows the metadata store and passes its items to the components that use them. The
	// methods of metastore.Follower are called from one goroutine.
	storeState struct {
		log     logrus.FieldLogger
		decoder Decoder
		fleet   *fleet.Fleet
		// host is the name of this host.
		host string
		// contact tells when what the host knows of the store was last complete.
		contact *contact.Contact
		// onConfirmed receives the reading of the boot-time clock up to which all changes of the store have been applied.
		onConfirmed func(at time.Duration)
		// The functions receive the decoded items. onLeaderGone is called when the upgrade leader's item
		// does not exist or has been removed.
		applyCatalog     func(ct *catalog.Catalog, encoded []byte)
		setTargetVersion func(model string, version uint64)
		applyGates       func(it metastore.Item)
		applyPeers       func([]peering.Peer)
		onLeaderGone     func()
		// adoptOrigins receives the batches of origins in the first snapshot, the latest last.
		adoptOrigins func(batches [][]byte)

		mu      sync.Mutex
		hosts   map[string]peering.Peer
		targets *weights.Targets
		// verdicts receives the items about parts of prompts that crash endpoints.
		verdicts *verdicts.Records
		// releases receives the items about software versions.
		releases *release.History
		// formerTeams receives the record of the teams that are or were exclusive.
		formerTeams *formerTeams
		// rollouts receives the orders to roll out software versions, and the statuses.
		rollouts *rolloutRecords
		// unreachable is set after a failed call to the store, until a call succeeds.
		unreachable bool
		// hasLeader reports whether the upgrade leader's item exists.
		hasLeader atomic.Bool
		// seenRevision is the revision up to which all changes have been applied.
		seenRevision atomic.Pointer[metastore.Revision]
		// clock is the source of time for what is retained.
		clock clock.Clock
		// onRestored is called before a snapshot of a store that was restored from a copy is applied.
		onRestored func()
		// evacuated holds the evacuated zones. retainedZones and retainedHosts hold the zones and hosts that the copy of a restored
		// store did not have, and until when they remain evacuated and registered.
		evacuated     map[string]bool
		retainedZones map[string]time.Time
		retainedHosts map[string]time.Time
	}
)

const (
	// ItemOther is an item that hosts ignore.
	ItemOther ItemKind = iota
	// ItemConfiguration is the operator's configuration.
	ItemConfiguration
	// ItemEvacuation marks an availability zone that must get no requests.
	ItemEvacuation
	// ItemTargetVersion is the target version of a model's weights.
	ItemTargetVersion
	// ItemRolloutOrder is an order to roll out a software version of a service.
	ItemRolloutOrder
	// ItemRolloutStatus is the status of a rollout, which hosts write for the operator.
	ItemRolloutStatus
)

var _ metastore.Follower = (*storeState)(nil)

// ApplySnapshot replaces the known state by a complete snapshot of the store.
func (ss *storeState) ApplySnapshot(sn metastore.Snapshot) {
	var entries []fleet.Entry
	evacuated := make(map[string]bool)
	hosts := make(map[string]peering.Peer)
	leaderFound := false
	isRestored := ss.isRestored(sn)
	ss.targets.Interrupt()
	if isRestored {
		ss.targets.Restore()
		ss.verdicts.Restore()
		ss.onRestored()
	}
	// The records and the checkpoint say how old the selected versions may be.
	for _, it := range sn.Items {
		ss.applyHostItem(it)
	}
	ss.formerTeams.applySnapshot(sn)
	ss.verdicts.ApplySnapshot(sn)
	ss.releases.ApplySnapshot(sn)
	if ss.seenRevision.Load() == nil {
		ss.adoptOrigins(originBatches(sn))
	}
	for _, it := range sn.Items {
		if _, ok := ss.decoder.EndpointID(it.Key); ok {
			en, err := ss.decoder.Entry(it.Key, it.Value)
			if err != nil {
				ss.log.WithField("cause", err.Error()).Warn("Endpoint entry is invalid.")
				continue
			}
			entries = append(entries, en)
			continue
		}
		kind, subject := ss.decoder.ClassifyItem(it.Key)
		if kind == ItemEvacuation {
			evacuated[subject] = true
		}
		if name, ok := strings.CutPrefix(it.Key, prefixHosts); ok {
			if pe, ok := ss.decodePeer(name, it.Value); ok {
				hosts[name] = pe
			}
		}
		leaderFound = leaderFound || it.Key == keyUpgradeLeader
		ss.applyOperatorItem(it)
	}
	ss.retainMissing(isRestored, evacuated, hosts)
	if isRestored {
		ss.fleet.ReplaceRestored(entries)
	} else {
		ss.fleet.Replace(entries)
	}
	ss.releases.NotifyChanged()
	ss.rollouts.applySnapshot(sn, isRestored)
	ss.evacuated = evacuated
	ss.fleet.SetEvacuatedZones(evacuated)
	ss.setHosts(hosts)
	ss.seenRevision.Store(&sn.Revision)
	ss.hasLeader.Store(leaderFound)
	if !leaderFound {
		ss.onLeaderGone()
	}
	ss.log.WithFields(logrus.Fields{
		"revision": sn.Revision.String(), "endpoints": len(entries), "hosts": len(hosts),
	}).Info("State was read whole.")
}

// ApplyEvent applies a change of one item of the store.
func (ss *storeState) ApplyEvent(ev metastore.Event) {
	it := ev.Item
	defer func() {
		seen := ss.seen().Latest(it.Revision)
		ss.seenRevision.Store(&seen)
	}()
	if id, ok := ss.decoder.EndpointID(it.Key); ok {
		ss.applyEndpoint(id, ev)
		return
	}
	if kind, subject := ss.decoder.ClassifyItem(it.Key); kind == ItemEvacuation {
		ss.setEvacuated(subject, !ev.Removed)
		ss.log.WithFields(logrus.Fields{"zone": subject, "on": !ev.Removed, "revision": it.Revision.String()}).Info("Evacuation changed.")
		return
	}
	if name, ok := strings.CutPrefix(it.Key, prefixHosts); ok {
		hosts := ss.knownHosts()
		delete(ss.retainedHosts, name)
		if pe, ok := ss.decodePeer(name, it.Value); ok && !ev.Removed {
			hosts[name] = pe
		} else {
			delete(hosts, name)
		}
		ss.setHosts(hosts)
		return
	}
	ss.verdicts.ApplyEvent(ev)
	ss.releases.ApplyEvent(ev)
	ss.rollouts.applyEvent(ev)
	ss.applyHostItem(it)
	if it.Key == keyFormerTeams && !ev.Removed {
		ss.formerTeams.applyItem(it)
	}
	if it.Key == keyUpgradeLeader {
		ss.hasLeader.Store(!ev.Removed)
	}
	if ev.Removed {
		if it.Key == keyUpgradeLeader {
			ss.onLeaderGone()
		}
		return
	}
	ss.applyOperatorItem(it)
}

// CallDelayed records that changes may have been missed until now.
func (ss *storeState) CallDelayed() {
	ss.targets.Interrupt()
	ss.contact.Interrupt()
	ss.releases.Interrupt()
}

// CallSucceeded records that the store has answered and its changes up to confirmedAt have been applied.
func (ss *storeState) CallSucceeded(confirmedAt time.Duration) {
	ss.endRetention()
	ss.targets.Confirm(ss.seen(), confirmedAt)
	ss.contact.Confirm(confirmedAt)
	ss.onConfirmed(confirmedAt)
	if outage := ss.fleet.StoreReached(); outage > 0 || ss.unreachable {
		ss.unreachable = false
		ss.log.WithFields(logrus.Fields{"dependency": "metadata-store", "away-ms": outage.Milliseconds()}).Info("Dependency is back.")
	}
}

// CallFailed records that a call to the store has failed.
func (ss *storeState) CallFailed(err error) {
	ss.targets.Interrupt()
	ss.contact.Interrupt()
	ss.releases.Interrupt()
	ss.fleet.StoreLost()
	if !ss.unreachable {
		ss.unreachable = true
		ss.log.WithFields(logrus.Fields{"dependency": "metadata-store", "cause": err.Error()}).Warn("Dependency is lost.")
	}
}

func (ss *storeState) applyEndpoint(id string, ev metastore.Event) {
	fields := logrus.Fields{"endpoint": id, "revision": ev.Item.Revision.String()}
	if ev.Removed {
		ss.fleet.Remove(id)
		ss.log.WithFields(fields).Info("Endpoint's entry was removed.")
		return
	}
	en, err := ss.decoder.Entry(ev.Item.Key, ev.Item.Value)
	if err != nil {
		// An invalid entry, which some other writer left, describes no usable endpoint.
		ss.fleet.Remove(id)
		ss.log.WithFields(fields).WithField("cause", err.Error()).Warn("Endpoint entry is invalid.")
		return
	}
	if ss.fleet.Put(en) {
		ss.releases.NotifyChanged()
		fields["service"], fields["draining"], fields["cold-ms"] = en.Service, en.Draining, en.ColdFor.Milliseconds()
		fields["born"], fields["models"] = en.StartTimeMs, en.Models
		fields["software"] = en.SoftwareVersion
		ss.log.WithFields(fields).Info("Endpoint changed.")
	}
}

func (ss *storeState) applyOperatorItem(it metastore.Item) {
	kind, _ := ss.decoder.ClassifyItem(it.Key)
	switch kind {
	case ItemConfiguration:
		ct, err := ss.decoder.Catalog(it.Value)
		if err != nil {
			ss.log.WithField("cause", err.Error()).Error("Configuration is invalid.")
			return
		}
		ss.applyCatalog(ct, it.Value)
	case ItemTargetVersion:
		model, version, err := ss.decoder.TargetVersion(it.Value)
		if err != nil {
			ss.log.WithField("cause", err.Error()).Error("Target version of a model is invalid.")
			return
		}
		if ss.targets.Select(weights.Selection{Model: model, Version: version, Item: it}) {
			ss.setTargetVersion(model, version)
		}
	case ItemOther, ItemEvacuation, ItemRolloutOrder, ItemRolloutStatus:
	}
}

// applyHostItem applies the items that hosts write for each other: since when versions have been selected, and
// the cache gates.
func (ss *storeState) applyHostItem(it metastore.Item) {
	if it.Key == keyGates && len(it.Value) > 0 {
		ss.applyGates(it)
	}
	if err := ss.targets.ApplyItem(it); err != nil {
		ss.log.WithFields(logrus.Fields{"key": it.Key, "cause": err.Error()}).Warn("Record of target versions is invalid.")
	}
}

func (ss *storeState) setHosts(hosts map[string]peering.Peer) {
	ss.mu.Lock()
	ss.hosts = hosts
	ss.mu.Unlock()
	names := []string{ss.host}
	var peers []peering.Peer
	for host, pe := range hosts {
		if host != ss.host {
			names = append(names, host)
			peers = append(peers, pe)
		}
	}
	slices.Sort(names)
	ss.fleet.SetHosts(names)
	ss.applyPeers(peers)
}

func (ss *storeState) decodePeer(name string, value []byte) (peering.Peer, bool) {
	var hr hostRegistration
	if err := json.Unmarshal(value, &hr); err != nil {
		return peering.Peer{}, false
	}
	ap, err := netip.ParseAddrPort(hr.Address)
	if err != nil {
		return peering.Peer{}, false
	}
	pe := peering.Peer{Name: name, Zone: hr.Zone, Capacity: hr.Weight, Address: ap, TakesOrigins: hr.Origins}
	if relay, err := netip.ParseAddrPort(hr.Relay); err == nil {
		pe.Relay = relay
	}
	return pe, true
}

// hasHost reports whether a host with the given name is registered.
func (ss *storeState) hasHost(name string) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	_, ok := ss.hosts[name]
	return ok
}

// hostNames returns the names of the registered hosts, in no particular order.
func (ss *storeState) hostNames() []string {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	out := make([]string, 0, len(ss.hosts))
	for name := range ss.hosts {
		out = append(out, name)
	}
	return out
}
