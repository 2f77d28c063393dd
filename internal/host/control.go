// Package host assembles the components of an entry host and runs them.
package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/bergamotway/bergamotway/internal/booking"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/endpoint"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/lease"
	"github.com/bergamotway/bergamotway/internal/link"
	"github.com/bergamotway/bergamotway/internal/lock"
	"github.com/bergamotway/bergamotway/internal/logs"
	"github.com/bergamotway/bergamotway/internal/membership"
	"github.com/bergamotway/bergamotway/internal/peer"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/rollout"
	"github.com/bergamotway/bergamotway/internal/slot"
)

const (
	// methodConfigurationSince returns what changed in the configuration since a revision.
	methodConfigurationSince = "configuration-since"
	// factCrash announces the crash of an endpoint, and factHostState a changed state in the
	// platform's host list.
	factCrash     = "crash"
	factHostState = "listed"

	// reportInterval is the pause between two rounds of endpoint polls.
	reportInterval = time.Second
	// reportTimeout bounds one poll of an endpoint.
	reportTimeout = 500 * time.Millisecond
	// hostListInterval is the time between two reads of the platform's host list by one of the
	// hostListReaders.
	hostListInterval = time.Second
	// meanSlowHostListInterval is the mean time between two reads of the list by any other host.
	meanSlowHostListInterval = 30 * time.Second
	// hostListReaders is the number of hosts that read the list every hostListInterval.
	hostListReaders = 4
	// maxContactAge is how long a host stays ready without contact with the key-value service or
	// any peer.
	maxContactAge = 2 * time.Second
	// isolationTimeout is how long a host goes without contact with a peer before it watches the
	// key-value service itself. It covers a few rounds of gossip.
	isolationTimeout = 1500 * time.Millisecond
	// maxConcurrentPolls bounds the number of endpoints polled at the same time.
	maxConcurrentPolls = 16
)

type (
	// Platform is the platform's key-value service and host list.
	Platform interface {
		keyvalue.Store
		Hosts(ctx context.Context) ([]keyvalue.ListedHost, error)
	}

	// Engines reads the load reports of endpoints and makes them load weights.
	Engines interface {
		rollout.Engines
	}

	// Registrar takes the handlers of the methods that other hosts call.
	Registrar interface {
		Register(method string, h peer.Handler)
	}

	// ControlPlaneOptions configures a control plane. All fields except HasHostList, Seeds and
	// Rand are required.
	ControlPlaneOptions struct {
		Self     membership.Member
		Clock    clock.Clock
		Platform Platform
		// HasHostList reports whether the platform has a host list.
		HasHostList bool
		Caller      peer.Caller
		Engines     Engines
		// Seeds are peer addresses of some other hosts.
		Seeds []string
		Log   *logrus.Logger
		// Rand spreads periodic calls over time; nil means a random seed.
		Rand *rand.Rand
	}

	// ControlPlane is the control plane of a host: membership, configuration, leases, owned endpoints
	// and the booking ledger. The request path reads immutable snapshots of it.
	ControlPlane struct {
		ControlPlaneOptions
		Configuration *configuration.Replica
		Membership    *membership.Table
		Gossiper      *membership.Gossiper
		Leases        *lease.Manager
		SlotTable     *slot.Table
		SlotBroker    *slot.Broker
		Endpoints     *endpoint.Registry
		Quarantine    *quarantine.Tracker
		BookingLedger *booking.Ledger
		BookingRouter *booking.Router
		LinkBroker    *link.Broker

		log logrus.FieldLogger
		// lastPlatformAnswerNs is when the key-value service last answered, in Unix nanoseconds.
		lastPlatformAnswerNs atomic.Int64
		isLeaving            atomic.Bool
		// fetchLock admits one configuration fetch at a time.
		fetchLock *lock.Lock
		// reportRefreshes merges concurrent calls of refreshReport for the same endpoint.
		reportRefreshes singleflight.Group
		hostList        atomic.Pointer[[]keyvalue.ListedHost]

		// ownedEndpoints caches the endpoints owned under ownedView and ownedSnapshot.
		ownedView      *membership.View
		ownedSnapshot  *configuration.Snapshot
		ownedEndpoints []configuration.Endpoint
	}

	// sinceParams holds the params of methodConfigurationSince.
	sinceParams struct {
		Revision uint64 `json:"revision"`
	}

	// crashFact is the value of a fact of kind factCrash.
	crashFact struct {
		Fingerprints []quarantine.Fingerprint `json:"f"`
	}
)

// NewControlPlane returns the control plane of a host. It is updated only while Run runs.
func NewControlPlane(opts ControlPlaneOptions) *ControlPlane {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	cp := &ControlPlane{ControlPlaneOptions: opts, log: logs.WithComponent(opts.Log, logs.Host), fetchLock: lock.New()}
	cp.Membership = membership.NewTable(opts.Clock, opts.Self)
	store := &lastAnswerStore{Store: opts.Platform, clk: opts.Clock, lastAnswerNs: &cp.lastPlatformAnswerNs}
	cp.Configuration = configuration.NewReplica(store, cp.configurationChanged)
	cp.Gossiper = membership.NewGossiper(cp.Membership, membership.Options{
		Clock:           opts.Clock,
		Caller:          opts.Caller,
		Seeds:           func() []string { return opts.Seeds },
		Revision:        cp.Configuration.Revision,
		OnNewerRevision: cp.fetchConfiguration,
		Rand:            splitRand(opts.Rand),
	})
	cp.Leases = lease.NewManager(opts.Clock, store, opts.Self.Name)
	cp.SlotTable = slot.NewTable(opts.Clock, cp)
	cp.SlotBroker = slot.NewBroker(cp.SlotTable, cp, opts.Caller, cp.slotLimits, cp.refreshReport)
	cp.Endpoints = endpoint.NewRegistry(opts.Clock, cp.Configuration.Snapshot)
	cp.Quarantine = quarantine.NewTracker(opts.Clock)
	cp.BookingLedger = booking.NewLedger(store, booking.Options{Clock: opts.Clock})
	cp.BookingRouter = booking.NewRouter(cp.BookingLedger, cp, opts.Caller)
	cp.LinkBroker = link.NewBroker(opts.Clock, link.NewScheduler(opts.Clock, cp.linkRate), cp, opts.Caller)
	cp.Membership.OnFact(cp.applyFact)
	cp.Membership.OnChange(cp.membersChanged)
	cp.hostList.Store(&[]keyvalue.ListedHost{})
	return cp
}

// Register registers the handlers of the methods that other hosts call.
func (cp *ControlPlane) Register(sv Registrar) {
	sv.Register(membership.MethodGossip, cp.Gossiper.HandleGossip)
	sv.Register(membership.MethodProbe, cp.Gossiper.HandleProbe)
	sv.Register(slot.MethodAcquire, cp.SlotBroker.HandleAcquire)
	sv.Register(slot.MethodRelease, cp.SlotBroker.HandleRelease)
	sv.Register(methodConfigurationSince, cp.handleConfigurationSince)
	sv.Register(link.MethodTurn, cp.LinkBroker.HandleTurn)
	for method, h := range cp.BookingRouter.Handlers() {
		sv.Register(method, h)
	}
}

// Run keeps the control plane up to date until ctx is done.
func (cp *ControlPlane) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	run := func(f func(context.Context)) {
		eg.Go(func() error {
			f(ctx)
			return nil
		})
	}
	watcher := configuration.NewWatcher(cp.Configuration, configuration.WatcherOptions{
		IsAmongFirst: func(name string, n int) bool { return cp.Membership.View().IsAmongFirst(name, n) },
		IsIsolated:   func() bool { return cp.Clock.Now().Sub(cp.Gossiper.LastHeard()) > isolationTimeout },
		Clock:        cp.Clock,
		Rand:         splitRand(cp.Rand),
		OnError: func(err error) {
			logs.WithComponent(cp.Log, logs.Configuration).WithError(err).Debug("Configuration watch failed.")
		},
	})
	run(watcher.Run)
	run(cp.Gossiper.Run)
	run(cp.BookingLedger.Run)
	run(cp.pollReports)
	listRand := splitRand(cp.Rand)
	run(func(ctx context.Context) { cp.pollHostList(ctx, listRand) })
	run(cp.newRolloutController().Run)
	return eg.Wait()
}

// Leave announces the shutdown of this host to the other hosts and releases its leases.
func (cp *ControlPlane) Leave(ctx context.Context) {
	cp.isLeaving.Store(true)
	cp.Membership.MarkLeft()
	cp.Gossiper.Flood(ctx)
	cp.Leases.ReleaseAll(ctx)
}

// StartLeaving makes the host refuse new work.
func (cp *ControlPlane) StartLeaving() { cp.isLeaving.Store(true) }

// Ready returns nil if the host may accept new work, else the refusal to send. A host that has had
// no contact with the key-value service or any peer for maxContactAge may have missed a change and
// is not ready. A host without peers is exempt.
func (cp *ControlPlane) Ready() error {
	now := cp.Clock.Now()
	lastContact := time.Unix(0, cp.lastPlatformAnswerNs.Load())
	if lastHeard := cp.Gossiper.LastHeard(); lastHeard.After(lastContact) {
		lastContact = lastHeard
	}
	switch {
	case cp.isLeaving.Load() || cp.Configuration.Snapshot().IsHostLeaving(cp.Self.Name):
		return refusal.New(refusal.Leaving, "the host is leaving").WithRetryAfter(time.Second)
	case cp.Configuration.Revision() == 0:
		return refusal.New(refusal.NotReady, "no configuration has been seen yet").WithRetryAfter(time.Second)
	case now.Sub(lastContact) > maxContactAge && !cp.isSoleHost():
		return refusal.New(refusal.NotReady, "neither the platform nor a peer was heard for %v", maxContactAge).
			WithRetryAfter(time.Second)
	default:
		return nil
	}
}

// EndpointOwner returns the peer address of the host that owns an endpoint.
func (cp *ControlPlane) EndpointOwner(name string) (address string, isSelf bool) {
	m, isSelf := cp.Membership.View().OwnerOf("endpoint/"+name, cp.zoneOf(name))
	return m.Address, isSelf
}

// OwnerOf returns the peer address of the host that owns a name; empty means this host.
func (cp *ControlPlane) OwnerOf(name string) string {
	m, isSelf := cp.Membership.View().OwnerOf(name, "")
	if isSelf {
		return ""
	}
	return m.Address
}

// HoldsLease reports whether this host may grant slots on an endpoint in cold start: it holds the
// lease, and the previous holder no longer grants any.
func (cp *ControlPlane) HoldsLease(name string) bool {
	return cp.Leases.Peek("endpoint/" + name).IsSettled(cp.Clock.Now())
}

// AnnounceCrash announces to the other hosts which requests were running when an endpoint crashed.
func (cp *ControlPlane) AnnounceCrash(ctx context.Context, id string, fps []quarantine.Fingerprint) {
	data, err := json.Marshal(crashFact{Fingerprints: fps})
	if err != nil {
		return
	}
	cp.Gossiper.Announce(ctx, factCrash, id, string(data))
}

// applyFact applies a fact received by gossip.
func (cp *ControlPlane) applyFact(f membership.Fact) {
	if f.Kind == factHostState {
		cp.Endpoints.SetListedState(f.Key, keyvalue.HostState(f.Value))
		return
	}
	if f.Kind != factCrash {
		return
	}
	var cf crashFact
	if err := json.Unmarshal([]byte(f.Value), &cf); err != nil {
		return
	}
	cp.Quarantine.RecordCrash(f.Key, cf.Fingerprints...)
	name, _, _ := strings.Cut(f.Key, "/")
	cp.Endpoints.RecordCrash(name)
}

// configurationChanged announces a new revision to the peers at once; they fetch it from this host.
func (cp *ControlPlane) configurationChanged(sn *configuration.Snapshot) {
	logs.WithComponent(cp.Log, logs.Configuration).WithField("revision", sn.Revision()).Info("Configuration applied.")
	go cp.Gossiper.Flood(context.Background())
}

// membersChanged revokes the slots granted to hosts that left or died.
func (cp *ControlPlane) membersChanged() {
	for _, m := range cp.Membership.Members() {
		if !m.IsUsable() {
			cp.SlotTable.DropHost(m.Name)
		}
	}
}

// fetchConfiguration fetches a newer configuration from a peer in the background.
func (cp *ControlPlane) fetchConfiguration(ctx context.Context, address string) {
	go func() {
		if cp.fetchLock.Acquire(ctx) != nil {
			return
		}
		defer cp.fetchLock.Release()
		var up configuration.Update
		err := cp.Caller.Call(ctx, address, methodConfigurationSince, sinceParams{Revision: cp.Configuration.Revision()}, &up)
		if err == nil && up.Head.Revision > 0 {
			err = cp.Configuration.ApplyUpdate(up)
		}
		if err != nil {
			logs.WithComponent(cp.Log, logs.Configuration).WithError(err).Debug("Configuration fetch from a peer failed.")
		}
	}()
}

func (cp *ControlPlane) handleConfigurationSince(_ context.Context, params json.RawMessage) (any, error) {
	var sp sinceParams
	if err := json.Unmarshal(params, &sp); err != nil {
		return nil, err
	}
	up, _ := cp.Configuration.UpdateSince(sp.Revision)
	return up, nil
}

func (cp *ControlPlane) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-cp.Clock.After(d):
	}
}

func (cp *ControlPlane) slotLimits(name string) slot.Limits {
	sn := cp.Configuration.Snapshot()
	ep, ok := sn.Endpoint(name)
	if !ok {
		return slot.Limits{}
	}
	m, _ := sn.Model(ep.Model)
	return slot.Limits{ColdLimit: m.ColdRequestLimit, ColdTime: m.ColdStartTime.Std(), PrefillRate: m.PrefillRate}
}

// linkRate returns the link budget of a store host, in bytes/s.
func (cp *ControlPlane) linkRate(store string) float64 {
	for _, sh := range cp.Configuration.Snapshot().StoreHosts() {
		if sh.Name == store {
			return sh.LinkRateOrDefault()
		}
	}
	return configuration.StoreHost{}.LinkRateOrDefault()
}

func (cp *ControlPlane) zoneOf(name string) string {
	ep, _ := cp.Configuration.Snapshot().Endpoint(name)
	return ep.Zone
}

func (cp *ControlPlane) isSoleHost() bool { return cp.Membership.Len() == 1 && len(cp.Seeds) == 0 }

// splitRand derives a new random source for use by one goroutine.
func splitRand(rnd *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
}

func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
