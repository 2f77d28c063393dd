// Package host puts the parts of an entry host together and runs them.
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
	methodConfiguration = "configuration-since"
	factCrash           = "crash"
	factListed          = "listed"

	reportPeriod  = time.Second
	reportTimeout = 500 * time.Millisecond
	// listPeriod is the time between two reads of the platform's list by a host that reads it.
	listPeriod = time.Second
	// listSlowPeriod is the mean time between two reads by any other host.
	listSlowPeriod = 30 * time.Second
	// listReaders is how many hosts read the list often.
	listReaders = 4
	// staleAfter is how long a host may go without hearing of the service or any peer.
	staleAfter = 2 * time.Second
	// cutOffAfter is after how long without a peer a host follows the service itself. It is a
	// few rounds of gossip.
	cutOffAfter = 1500 * time.Millisecond
	// pollsAtOnce bounds the endpoints that are asked for a report at a time.
	pollsAtOnce = 16
)

type (
	// Platform is what a host needs of the platform.
	Platform interface {
		keyvalue.Store
		Hosts(ctx context.Context) ([]keyvalue.ListedHost, error)
	}

	// Reporter asks endpoints for their reports and orders them to load weights.
	Reporter interface {
		rollout.Engines
	}

	// Registrar takes the methods that other hosts call.
	Registrar interface {
		Register(method string, h peer.Handler)
	}

	// ControlParts are what a Control works with. All are required but HasList.
	ControlParts struct {
		Self     membership.Member
		Clock    clock.Clock
		Platform Platform
		HasList  bool
		Caller   peer.Caller
		Reporter Reporter
		Seeds    []string
		Log      *logrus.Logger
		// Rand spreads calls over time; nil means a random seed.
		Rand *rand.Rand
	}

	// Control is the control state of a host: membership, configuration, leases, owned endpoints
	// and the log of bookings. Traffic reads immutable snapshots of it.
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

		log       logrus.FieldLogger
		pulled    atomic.Int64
		isLeaving atomic.Bool
		fetching  *lock.Lock
		// confirming joins concurrent questions to one endpoint.
		confirming singleflight.Group
		listed     atomic.Pointer[[]keyvalue.ListedHost]

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

// NewControl returns the control state of a host. Run must run for it to change.
func NewControl(parts ControlParts) *Control {
	if parts.Rand == nil {
		parts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	co := &Control{ControlParts: parts, log: logs.For(parts.Log, logs.Host), fetching: lock.New()}
	co.Table = membership.NewTable(parts.Clock, parts.Self)
	store := &freshStore{Store: parts.Platform, clk: parts.Clock, heard: &co.pulled}
	co.Keeper = configuration.NewKeeper(store, co.configured)
	co.Gossiper = membership.NewGossiper(co.Table, membership.Options{
		Clock:    parts.Clock,
		Caller:   parts.Caller,
		Seeds:    func() []string { return parts.Seeds },
		Revision: co.Keeper.Revision,
		Newer:    co.fetch,
		Rand:     split(parts.Rand),
	})
	co.Leases = lease.NewKeeper(parts.Clock, store, parts.Self.Name)
	co.Slots = slot.NewTable(parts.Clock, co)
	co.Desk = slot.NewDesk(co.Slots, co, parts.Caller, co.limits, co.confirm)
	co.Registry = endpoint.NewRegistry(parts.Clock, co.Keeper.Snapshot)
	co.Board = quarantine.NewBoard(parts.Clock)
	co.Ledger = booking.NewLedger(store, booking.Options{Clock: parts.Clock})
	co.Bookings = booking.NewRouter(co.Ledger, co, parts.Caller)
	co.Turns = link.NewDesk(parts.Clock, link.NewTable(parts.Clock, co.linkBudget), co, parts.Caller)
	co.Table.OnFact(co.hear)
	co.Table.OnChange(co.membersChanged)
	co.listed.Store(&[]keyvalue.ListedHost{})
	return co
}

// Register adds the methods that other hosts call.
func (co *Control) Register(sv Registrar) {
	sv.Register(membership.MethodGossip, co.Gossiper.HandleGossip)
	sv.Register(membership.MethodProbe, co.Gossiper.HandleProbe)
	sv.Register(slot.MethodTake, co.Desk.HandleTake)
	sv.Register(slot.MethodRelease, co.Desk.HandleRelease)
	sv.Register(methodConfiguration, co.handleSince)
	sv.Register(link.MethodTurn, co.Turns.HandleTurn)
	for method, h := range co.Bookings.Handlers() {
		sv.Register(method, h)
	}
}

// Run keeps the control state until ctx ends.
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
		IsCutOff:     func() bool { return co.Clock.Now().Sub(co.Gossiper.LastHeard()) > cutOffAfter },
		Clock:        co.Clock,
		Rand:         split(co.Rand),
		Failed:       func(err error) { logs.For(co.Log, logs.Configuration).WithError(err).Debug("Watch failed.") },
	})
	run(watcher.Run)
	run(co.Gossiper.Run)
	run(co.Ledger.Run)
	run(co.pollReports)
	listRand := split(co.Rand)
	run(func(ctx context.Context) { co.pollList(ctx, listRand) })
	run(co.rollouts().Run)
	return eg.Wait()
}

// Leave tells the other hosts that this one is shutting down and gives up its leases.
func (co *Control) Leave(ctx context.Context) {
	co.isLeaving.Store(true)
	co.Table.Leave()
	co.Gossiper.Flood(ctx)
	co.Leases.Release(ctx)
}

// StartLeaving makes the host refuse new work.
func (co *Control) StartLeaving() { co.isLeaving.Store(true) }

// Ready returns nil if the host may take new work, else the refusal. A host that has heard
// neither the service nor any peer for a while may have missed a change and is not ready.
func (co *Control) Ready() error {
	now := co.Clock.Now()
	heard := time.Unix(0, co.pulled.Load())
	if last := co.Gossiper.LastHeard(); last.After(heard) {
		heard = last
	}
	switch {
	case co.isLeaving.Load() || co.Keeper.Snapshot().IsHostLeaving(co.Self.Name):
		return refusal.New(refusal.Leaving, "the host is leaving").WithRetryAfter(time.Second)
	case co.Keeper.Revision() == 0:
		return refusal.New(refusal.NotReady, "no configuration has been seen yet").WithRetryAfter(time.Second)
	case now.Sub(heard) > staleAfter && !co.isAlone():
		return refusal.New(refusal.NotReady, "neither the platform nor a peer was heard for %v", staleAfter).
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

// IsSettled reports whether this host may give places on an endpoint in cold start.
func (co *Control) IsSettled(name string) bool {
	return co.Leases.Peek("endpoint/" + name).IsSettled(co.Clock.Now())
}

// AnnounceCrash tells the other hosts which requests were running at a crash.
func (co *Control) AnnounceCrash(ctx context.Context, id string, fps []quarantine.Fingerprint) {
	data, err := json.Marshal(crashFact{Fingerprints: fps})
	if err != nil {
		return
	}
	co.Gossiper.Announce(ctx, factCrash, id, string(data))
}

func (co *Control) hear(f membership.Fact) {
	if f.Kind == factListed {
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

// configured spreads a new revision at once; the hosts that hear it fetch it from here.
func (co *Control) configured(sn *configuration.Snapshot) {
	logs.For(co.Log, logs.Configuration).WithField("revision", sn.Revision()).Info("Configuration in force.")
	go co.Gossiper.Flood(context.Background())
}

func (co *Control) membersChanged() {
	for _, m := range co.Table.Members() {
		if !m.IsUsable() {
			co.Slots.DropHost(m.Name)
		}
	}
}

// fetch brings a newer configuration from a peer.
func (co *Control) fetch(ctx context.Context, address string) {
	go func() {
		if co.fetching.Acquire(ctx) != nil {
			return
		}
		defer co.fetching.Release()
		var up configuration.Update
		err := co.Caller.Call(ctx, address, methodConfiguration, sinceParams{Revision: co.Keeper.Revision()}, &up)
		if err == nil && up.Head.Revision > 0 {
			err = co.Keeper.Accept(up)
		}
		if err != nil {
			logs.For(co.Log, logs.Configuration).WithError(err).Debug("Fetch failed.")
		}
	}()
}

func (co *Control) handleSince(_ context.Context, params json.RawMessage) (any, error) {
	var sp sinceParams
	if err := json.Unmarshal(params, &sp); err != nil {
		return nil, err
	}
	up, _ := co.Keeper.Since(sp.Revision)
	return up, nil
}

func (co *Control) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-co.Clock.After(d):
	}
}

func (co *Control) limits(name string) slot.Limits {
	sn := co.Keeper.Snapshot()
	ep, ok := sn.Endpoint(name)
	if !ok {
		return slot.Limits{}
	}
	m, _ := sn.Model(ep.Model)
	return slot.Limits{ColdLimit: m.ColdLimit, ColdTime: m.ColdTime.Of(), PrefillRate: m.PrefillRate}
}

func (co *Control) linkBudget(store string) float64 {
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

func (co *Control) isAlone() bool { return co.Table.Len() == 1 && len(co.Seeds) == 0 }

// split returns a source of its own for one goroutine.
func split(rnd *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
}

func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}
