package node

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
)

const (
	prefixOwn    = "bergamotway/"
	prefixHosts  = prefixOwn + "hosts/"
	prefixNamed  = prefixOwn + "named/"
	keyGates     = prefixOwn + "cache/gates"
	keyUpgrades  = prefixOwn + "leader/weights"
	weightsShare = 0.93
)

type (
	// OperatorItem says what an item of the operator holds.
	OperatorItem int

	// Decoder reads the items that others write into the metadata store.
	Decoder interface {
		// Endpoint reports whether an item is an endpoint's entry, and its identifier.
		Endpoint(key string) (id string, ok bool)
		// Entry reads an endpoint's entry.
		Entry(key string, value []byte) (fleet.Entry, error)
		// Operator says what an item of the operator holds and what it is about.
		Operator(key string) (item OperatorItem, subject string)
		// Catalog reads the operator's configuration.
		Catalog(value []byte) (*catalog.Catalog, error)
		// Weights reads which version of a model is named.
		Weights(value []byte) (model string, version uint64, err error)
	}

	// hostItem is what a host says of itself in the metadata store.
	hostItem struct {
		Zone    string  `json:"zone"`
		Address string  `json:"address"`
		Weight  float64 `json:"weight,omitempty"`
	}

	// state takes what the metadata store says and passes it to the parts that use it. Replace,
	// Change, Reached and Lost are called from one goroutine.
	state struct {
		log    logrus.FieldLogger
		decode Decoder
		fleet  *fleet.Fleet
		name   string
		apply  func(*catalog.Catalog)
		named  func(model string, version uint64)
		gates  func(it metastore.Item)
		peers  func([]peering.Peer)
		vacant func()

		mu      sync.Mutex
		hosts   map[string]peering.Peer
		weights *naming
		away    bool
		taken   atomic.Bool
		seen    atomic.Uint64
	}
)

const (
	// ItemOther is not used.
	ItemOther OperatorItem = iota
	// ItemCatalog is the operator's configuration.
	ItemCatalog
	// ItemEvacuation asks that a zone gets no requests.
	ItemEvacuation
	// ItemWeights names the version of a model's weights.
	ItemWeights
)

var _ metastore.Follower = (*state)(nil)

// Replace takes the whole state.
func (sa *state) Replace(sn metastore.Snapshot) {
	var entries []fleet.Entry
	zones := make(map[string]bool)
	hosts := make(map[string]peering.Peer)
	seat := false
	for _, it := range sn.Items {
		if _, ok := sa.decode.Endpoint(it.Key); ok {
			en, err := sa.decode.Entry(it.Key, it.Value)
			if err != nil {
				sa.log.WithField("cause", err.Error()).Warn("Entry is not usable.")
				continue
			}
			entries = append(entries, en)
			continue
		}
		item, subject := sa.decode.Operator(it.Key)
		if item == ItemEvacuation {
			zones[subject] = true
		}
		if name, ok := strings.CutPrefix(it.Key, prefixHosts); ok {
			if pe, ok := sa.peer(name, it.Value); ok {
				hosts[name] = pe
			}
		}
		seat = seat || it.Key == keyUpgrades
		sa.recorded(it)
		sa.operator(it)
	}
	sa.fleet.Replace(entries)
	sa.fleet.EvacuateOnly(zones)
	sa.setHosts(hosts)
	sa.seen.Store(sn.Revision)
	sa.taken.Store(seat)
	if !seat {
		sa.vacant()
	}
	sa.log.WithFields(logrus.Fields{
		"revision": sn.Revision, "endpoints": len(entries), "hosts": len(hosts),
	}).Info("State was read whole.")
}

// Change takes one change.
func (sa *state) Change(ev metastore.Event) {
	it := ev.Item
	defer func() { sa.seen.Store(max(sa.seen.Load(), it.Revision)) }()
	if id, ok := sa.decode.Endpoint(it.Key); ok {
		sa.endpoint(id, ev)
		return
	}
	if item, subject := sa.decode.Operator(it.Key); item == ItemEvacuation {
		sa.fleet.Evacuate(subject, !ev.Removed)
		sa.log.WithFields(logrus.Fields{"zone": subject, "on": !ev.Removed, "revision": it.Revision}).Info("Evacuation changed.")
		return
	}
	if name, ok := strings.CutPrefix(it.Key, prefixHosts); ok {
		sa.mu.Lock()
		hosts := make(map[string]peering.Peer, len(sa.hosts)+1)
		for k, v := range sa.hosts {
			hosts[k] = v
		}
		sa.mu.Unlock()
		if pe, ok := sa.peer(name, it.Value); ok && !ev.Removed {
			hosts[name] = pe
		} else {
			delete(hosts, name)
		}
		sa.setHosts(hosts)
		return
	}
	sa.recorded(it)
	if it.Key == keyUpgrades {
		sa.taken.Store(!ev.Removed)
	}
	if ev.Removed {
		if it.Key == keyUpgrades {
			sa.vacant()
		}
		return
	}
	sa.operator(it)
}

// Reached notes that the store answers.
func (sa *state) Reached() {
	if away := sa.fleet.StoreReached(); away > 0 || sa.away {
		sa.away = false
		sa.log.WithFields(logrus.Fields{"dependency": "metadata-store", "away-ms": away.Milliseconds()}).Info("Dependency is back.")
	}
}

// Lost notes that a call to the store failed.
func (sa *state) Lost(err error) {
	sa.fleet.StoreLost()
	if !sa.away {
		sa.away = true
		sa.log.WithFields(logrus.Fields{"dependency": "metadata-store", "cause": err.Error()}).Warn("Dependency is lost.")
	}
}

func (sa *state) endpoint(id string, ev metastore.Event) {
	fields := logrus.Fields{"endpoint": id, "revision": ev.Item.Revision}
	if ev.Removed {
		sa.fleet.Remove(id)
		sa.log.WithFields(fields).Info("Endpoint's entry was removed.")
		return
	}
	en, err := sa.decode.Entry(ev.Item.Key, ev.Item.Value)
	if err != nil {
		// Another writer's entry names no endpoint to use.
		sa.fleet.Remove(id)
		sa.log.WithFields(fields).WithField("cause", err.Error()).Warn("Entry is not usable.")
		return
	}
	if sa.fleet.Put(en) {
		fields["service"], fields["draining"], fields["cold-ms"] = en.Service, en.Draining, en.ColdFor.Milliseconds()
		fields["born"], fields["models"] = en.Born, en.Models
		sa.log.WithFields(fields).Info("Endpoint changed.")
	}
}

func (sa *state) operator(it metastore.Item) {
	item, _ := sa.decode.Operator(it.Key)
	switch item {
	case ItemCatalog:
		ct, err := sa.decode.Catalog(it.Value)
		if err != nil {
			sa.log.WithField("cause", err.Error()).Error("Configuration is not usable.")
			return
		}
		sa.apply(ct)
	case ItemWeights:
		model, version, err := sa.decode.Weights(it.Value)
		if err != nil {
			sa.log.WithField("cause", err.Error()).Error("Named weights are not usable.")
			return
		}
		newer := sa.weights.name(model, version)
		if newer {
			sa.named(model, version)
			sa.log.WithFields(logrus.Fields{"model": model, "version": version, "revision": it.Revision}).Info("Weights were named.")
		}
	case ItemOther, ItemEvacuation:
	}
}

// recorded takes what hosts record for each other: when weights were named, and the cache's gates.
func (sa *state) recorded(it metastore.Item) {
	if it.Key == keyGates && len(it.Value) > 0 {
		sa.gates(it)
	}
	model, ok := strings.CutPrefix(it.Key, prefixNamed)
	if !ok || len(it.Value) == 0 {
		return
	}
	if err := sa.weights.restore(model, it.Value, it.Revision); err != nil {
		sa.log.WithFields(logrus.Fields{"model": model, "cause": err.Error()}).Warn("Record of named weights is not usable.")
	}
}

func (sa *state) setHosts(hosts map[string]peering.Peer) {
	sa.mu.Lock()
	sa.hosts = hosts
	sa.mu.Unlock()
	names := []string{sa.name}
	var peers []peering.Peer
	for name, pe := range hosts {
		if name != sa.name {
			names = append(names, name)
			peers = append(peers, pe)
		}
	}
	slices.Sort(names)
	sa.fleet.SetHosts(names)
	sa.peers(peers)
}

func (sa *state) peer(name string, value []byte) (peering.Peer, bool) {
	var hi hostItem
	if err := json.Unmarshal(value, &hi); err != nil {
		return peering.Peer{}, false
	}
	ap, err := netip.ParseAddrPort(hi.Address)
	if err != nil {
		return peering.Peer{}, false
	}
	return peering.Peer{Name: name, Zone: hi.Zone, Weight: hi.Weight, Address: ap}, true
}

// knows reports whether a host is registered.
func (sa *state) knows(name string) bool {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	_, ok := sa.hosts[name]
	return ok
}

// names returns the names of the registered hosts.
func (sa *state) names() []string {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	out := make([]string, 0, len(sa.hosts))
	for name := range sa.hosts {
		out = append(out, name)
	}
	return out
}
