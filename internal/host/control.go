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
	// maxContactAge is how long a host stays ready without contact to the key-value service or any
	// peer.
	maxContactAge = 2 * time.Second
	// isolationTimeout is how long a host goes without contact to a peer before it watches the
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

	// Reporter reads the load reports of endpoints and makes them load weights.
	Reporter interface {
		rollout.Engines
	}

	// Registrar registers the handlers of methods that other hosts call.
	Registrar interface {
		Register(method string, h peer.Handler)
	}

	// ControlParts configures a control plane. All fields except HasList, Seeds and Rand are required.
	ControlParts struct {
		Self     membership.Member
		Clock    clock.Clock
		Platform Platform
		// HasList reports whether the platform has a host list.
		HasList  bool
		Caller   peer.Caller
		Reporter Reporter
		// Seeds are peer addresses of some other hosts.
		Seeds []string
		Log   *logrus.Logger
		// Rand adds jitter to the times of calls; nil means a random seed.
		Rand *rand.Rand
	}

	// Control is the control plane of a host: membership, configuration, leases, owned endpoints
	// and the booking ledger. The request path reads immutable snapshots of it.
	Control struct {
		ControlParts
		Keeper   *configuration.Keeper
		Table    *membership.Table
		Gossiper *membership.Gossiper
		Leases   *lease.Keeper
		Slots    *slot.Table
		Desk     *slot.Desk
		Registry *endpoint.Registry
		Board    *quarantine.Board
		Ledger   *booking.Ledger
		Bookings *booking.Router
		Turns    *link.Desk

		log logrus.FieldLogger
		// lastPlatformAnswerNs is when the key-value service last answered, in Unix nanoseconds.
		lastPlatformAnswerNs atomic.Int64
		isLeaving            atomic.Bool
		// fetchLock admits one configuration fetch at a time.
		fetchLock *lock.Lock
		// reportRefreshes merges concurrent polls of the same endpoint.
		reportRefreshes singleflight.Group
		hostList        atomic.Pointer[[]keyvalue.ListedHost]

		// ownedEndpoints caches the endpoints owned under ownedView and ownedSnapshot.
		ownedView      *membership.View
		ownedSnapshot  *configuration.Snapshot
		ownedEndpoints []configuration.Endpoint
	}

	sinceParams struct {
		Revision uint64 `json:"revision"`
	}

	crashFact struct {
		Fingerprints []quarantine.Fingerprint `json:"f"`
	}
)

// NewControl returns the control plane of a host. It is updated only while Run runs.
func NewControl(parts ControlParts) *Control {
	if parts.Rand == nil {
		parts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	co := &Control{ControlParts: parts, log: logs.For(parts.Log, logs.Host), fetchLock: lock.New()}
	co.Table = membership.NewTable(parts.Clock, parts.Self)
	store := &lastAnswerStore{Store: parts.Platform, clk: parts.Clock, lastAnswerNs: &co.lastPlatformAnswerNs}
	co.Keeper = configuration.NewKeeper(store, co.configurationChanged)
	co.Gossiper = membership.NewGossiper(co.Table, membership.Options{
		Clock:    parts.Clock,
		Caller:   parts.Caller,
		Seeds:    func() []string { return parts.Seeds },
		Revision: co.Keeper.Revision,
		Newer:    co.fetchConfiguration,
		Rand:     splitRand(parts.Rand),
	})
	co.Leases = lease.NewKeeper(parts.Clock, store, parts.Self.Name)
	co.Slots = slot.NewTable(parts.Clock, co)
	co.Desk = slot.NewDesk(co.Slots, co, parts.Caller, co.slotLimits, co.refreshReport)
	co.Registry = endpoint.NewRegistry(parts.Clock, co.Keeper.Snapshot)
	co.Board = quarantine.NewBoard(parts.Clock)
	co.Ledger = booking.NewLedger(store, booking.Options{Clock: parts.Clock})
	co.Bookings = booking.NewRouter(co.Ledger, co, parts.Caller)
	co.Turns = link.NewDesk(parts.Clock, link.NewTable(parts.Clock, co.linkRate), co, parts.Caller)
	co.Table.OnFact(co.applyFact)
	co.Table.OnChange(co.membersChanged)
	co.hostList.Store(&[]keyvalue.ListedHost{})
	return co
}

// Register registers the methods that other hosts call.
func (co *Control) Register(sv Registrar) {
	sv.Register(membership.MethodGossip, co.Gossiper.HandleGossip)
	sv.Register(membership.MethodProbe, co.Gossiper.HandleProbe)
	sv.Register(slot.MethodTake, co.Desk.HandleTake)
	sv.Register(slot.MethodRelease, co.Desk.HandleRelease)
	sv.Register(methodConfigurationSince, co.handleConfigurationSince)
	sv.Register(link.MethodTurn, co.Turns.HandleTurn)
	for method, h := range co.Bookings.Handlers() {
		sv.Register(method, h)
	}
}

// Run keeps the control plane up to date until ctx is done.
func (co *Control) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	run := func(f func(context.Context)) {
		eg.Go(func() error {
			f(ctx)
			return nil
		})
	}
	watcher := configuration.NewWatcher(co.Keeper, configuration.WatcherOptions{
		IsAmongFirst: func(name string, n int) bool { return co.Table.View().IsAmongFirst(name, n) },
		IsCutOff:     func() bool { return co.Clock.Now().Sub(co.Gossiper.LastHeard()) > isolationTimeout },
		Clock:        co.Clock,
		Rand:         splitRand(co.Rand),
		Failed: func(err error) {
			logs.For(co.Log, logs.Configuration).WithError(err).Debug("Configuration watch failed.")
		},
	})
	run(watcher.Run)
	run(co.Gossiper.Run)
	run(co.Ledger.Run)
	run(co.pollReports)
	listRand := splitRand(co.Rand)
	run(func(ctx context.Context) { co.pollHostList(ctx, listRand) })
	run(co.newRolloutController().Run)
	return eg.Wait()
}

// Leave announces the shutdown of this host to the other hosts and releases its leases.
func (co *Control) Leave(ctx context.Context) {
	co.isLeaving.Store(true)
	co.Table.Leave()
	co.Gossiper.Flood(ctx)
	co.Leases.Release(ctx)
}

// StartLeaving makes the host refuse new work.
func (co *Control) StartLeaving() { co.isLeaving.Store(true) }

// Ready returns nil if the host may accept new work, else the refusal to send. A host that has had
// no contact to the key-value service or any peer for maxContactAge may have missed a change and
// is not ready.
func (co *Control) Ready() error {
	now := co.Clock.Now()
	lastContact := time.Unix(0, co.lastPlatformAnswerNs.Load())
	if lastHeard := co.Gossiper.LastHeard(); lastHeard.After(lastContact) {
		lastContact = lastHeard
	}
	switch {
	case co.isLeaving.Load() || co.Keeper.Snapshot().IsHostLeaving(co.Self.Name):
		return refusal.New(refusal.Leaving, "the host is leaving").WithRetryAfter(time.Second)
	case co.Keeper.Revision() == 0:
		return refusal.New(refusal.NotReady, "no configuration has been seen yet").WithRetryAfter(time.Second)
	case now.Sub(lastContact) > maxContactAge && !co.isSoleHost():
		return refusal.New(refusal.NotReady, "neither the platform nor a peer was heard for %v", maxContactAge).
			WithRetryAfter(time.Second)
	default:
		return nil
	}
}

// EndpointOwner returns the peer address of the host that owns an endpoint.
func (co *Control) EndpointOwner(name string) (address string, isSelf bool) {
	m, isSelf := co.Table.View().OwnerOf("endpoint/"+name, co.zoneOf(name))
	return m.Address, isSelf
}

// OwnerOf returns the peer address of the host that owns a name; empty means this host.
func (co *Control) OwnerOf(name string) string {
	m, isSelf := co.Table.View().OwnerOf(name, "")
	if isSelf {
		return ""
	}
	return m.Address
}

// IsSettled reports whether this host may grant slots on an endpoint that is in cold start.
func (co *Control) IsSettled(name string) bool {
	return co.Leases.Peek("endpoint/" + name).IsSettled(co.Clock.Now())
}

// AnnounceCrash announces to the other hosts which requests were running when an endpoint crashed.
func (co *Control) AnnounceCrash(ctx context.Context, id string, fps []quarantine.Fingerprint) {
	data, err := json.Marshal(crashFact{Fingerprints: fps})
	if err != nil {
		return
	}
	co.Gossiper.Announce(ctx, factCrash, id, string(data))
}

// applyFact applies a fact received by gossip.
func (co *Control) applyFact(f membership.Fact) {
	if f.Kind == factHostState {
		co.Registry.NoteListed(f.Key, keyvalue.HostState(f.Value))
		return
	}
	if f.Kind != factCrash {
		return
	}
	var cf crashFact
	if err := json.Unmarshal([]byte(f.Value), &cf); err != nil {
		return
	}
	co.Board.Crash(f.Key, cf.Fingerprints...)
	name, _, _ := strings.Cut(f.Key, "/")
	co.Registry.Crashed(name)
}

// configurationChanged announces a new revision to the peers at once; they fetch it from this host.
func (co *Control) configurationChanged(sn *configuration.Snapshot) {
	logs.For(co.Log, logs.Configuration).WithField("revision", sn.Revision()).Info("Configuration applied.")
	go co.Gossiper.Flood(context.Background())
}

// membersChanged revokes the slots granted to hosts that left or died.
func (co *Control) membersChanged() {
	for _, m := range co.Table.Members() {
		if !m.IsUsable() {
			co.Slots.DropHost(m.Name)
		}
	}
}

// fetchConfiguration fetches a newer configuration from a peer in the background.
func (co *Control) fetchConfiguration(ctx context.Context, address string) {
	go func() {
		if co.fetchLock.Acquire(ctx) != nil {
			return
		}
		defer co.fetchLock.Release()
		var up configuration.Update
		err := co.Caller.Call(ctx, address, methodConfigurationSince, sinceParams{Revision: co.Keeper.Revision()}, &up)
		if err == nil && up.Head.Revision > 0 {
			err = co.Keeper.Accept(up)
		}
		if err != nil {
			logs.For(co.Log, logs.Configuration).WithError(err).Debug("Configuration fetch from a peer failed.")
		}
	}()
}

func (co *Control) handleConfigurationSince(_ context.Context, params json.RawMessage) (any, error) {
	var sp sinceParams
	if err := json.Unmarshal(params, &sp); err != nil {
		return nil, err
	}
	up, _ := co.Keeper.Since(sp.Revision)
	return up, nil
}

func (co *Control) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-co.Clock.After(d):
	}
}

func (co *Control) slotLimits(name string) slot.Limits {
	sn := co.Keeper.Snapshot()
	ep, ok := sn.Endpoint(name)
	if !ok {
		return slot.Limits{}
	}
	m, _ := sn.Model(ep.Model)
	return slot.Limits{ColdLimit: m.ColdLimit, ColdTime: m.ColdTime.Of(), PrefillRate: m.PrefillRate}
}

// linkRate returns the link budget of a store host, in bytes/s.
func (co *Control) linkRate(store string) float64 {
	for _, sh := range co.Keeper.Snapshot().StoreHosts() {
		if sh.Name == store {
			return sh.Link()
		}
	}
	return configuration.StoreHost{}.Link()
}

func (co *Control) zoneOf(name string) string {
	ep, _ := co.Keeper.Snapshot().Endpoint(name)
	return ep.Zone
}

func (co *Control) isSoleHost() bool { return co.Table.Len() == 1 && len(co.Seeds) == 0 }

// splitRand derives a new random source for use by one goroutine.
func splitRand(rnd *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
}

func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
