package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/canary"
	"github.com/bergamotway/bergamotway/internal/changefeed"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/contact"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/freshness"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/hedge"
	"github.com/bergamotway/bergamotway/internal/leadership"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/relay"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/telemetry"
	"github.com/bergamotway/bergamotway/internal/timing"
	"github.com/bergamotway/bergamotway/internal/upgrade"
	"github.com/bergamotway/bergamotway/internal/weights"
)

const (
	// registrationTTL is the lease of a host's registration in the metadata store;
	// registrationRenewInterval is the pause between its renewals.
	registrationTTL           = 8 * time.Second
	registrationRenewInterval = 2500 * time.Millisecond
	// registrationMargin is how long before the end of that lease a host stops treating itself as
	// registered.
	registrationMargin = time.Second
	// maxHeaderBytes and headerTimeout bound the header of a request. They apply before there is a
	// configuration, and the limits of a configuration do not replace them.
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	// idleTimeout is longer than the idle time that operators allow clients, so that a client never
	// sends a request on a connection that the host is closing.
	idleTimeout = 60 * time.Second
	// memoryLimitShare is the share of Settings.MemoryMiB that is set as the soft memory limit of the Go
	// runtime, near which the garbage collector works harder.
	memoryLimitShare = 0.7
	// bodyMemoryShare is the share of Settings.MemoryMiB that request bodies may take. A body is held
	// a second time while it is forwarded.
	bodyMemoryShare = 0.2
	// responseMemoryShare is the share of Settings.MemoryMiB that the headers, events and beginnings of bodies of responses in
	// flight may take together.
	responseMemoryShare = 0.15
	// unreadMemoryShare is the share of Settings.MemoryMiB that requests and responses of clients that do not read may take. It is less
	// than either of the above, so that others have room.
	unreadMemoryShare = 0.1
	mebibyte          = 1 << 20
	// peerLoadingTTL is how long a peer's report that an engine is loading weights is valid.
	peerLoadingTTL = 600 * time.Millisecond
	// connectionSweepInterval is the pause between two sweeps of connections to endpoints.
	connectionSweepInterval = time.Second
	// learnedVersionTTL is how long a weights version that was learned from an engine is passed on to
	// peers; after that the engine's entry in the metadata store has it.
	learnedVersionTTL = 3 * time.Second
	// leaderDelayPerRank is how long a host waits, per host that ranks before it, before it tries to become
	// leader.
	leaderDelayPerRank = 120 * time.Millisecond
	// weightsCancelMargin is how long before older weights may no longer be used requests that still wait at
	// their engines are cancelled. It covers the time until the engine learns of it, and that by which this host has learned late that
	// newer weights were named.
	weightsCancelMargin = 300 * time.Millisecond
	// recordDelayPerRank is the delay per rank before a host records a target version.
	recordDelayPerRank = 300 * time.Millisecond
)

type (
	// Dependencies holds the clients and codecs that a host uses to reach the metadata store, the engines
	// and the cache stores.
	Dependencies struct {
		Store   metastore.Store
		Decoder Decoder
		Codec   gateway.Codec
		Caches  cachedir.Source
		Engines upgrade.Engines
		Meter   *telemetry.Meter
		// Rollouts encodes the statuses of rollouts; nil means that none are written.
		Rollouts RolloutEncoder
		// Dialer opens the connections to endpoints; nil means the system's.
		Dialer attempt.Dialer
		// Starts translates the question which start of an endpoint answers; nil means that it can't be asked.
		Starts attempt.StartCodec
	}

	// Node is a gateway host: it serves clients, exchanges state with its peers and, when it is the
	// leader, upgrades the weights of engines and frees parts in cache stores.
	Node struct {
		// st holds the settings at the start, currentSettings those after the last reload.
		st              Settings
		currentSettings atomic.Pointer[Settings]
		deps            Dependencies
		ck              clock.Clock
		log             *logrus.Logger
		fleet           *fleet.Fleet
		pool            *attempt.Pool
		cache           *cachedir.Directory
		gateway         *gateway.Gateway
		retryBudget     *retry.WindowBudget
		hedger          *hedge.Hedger
		quarantine      *quarantine.Tracker
		parts           *quarantine.PartTracker
		origins         *origin.Directory
		originLedger    *origin.Ledger
		timing          *timing.Book
		storeState      *storeState
		canaries        *canary.Tracker
		rollouts        *rolloutRecords
		leaderLease     *leadership.Candidate
		upgrades        *upgrade.Controller
		exchange        *peering.Exchange
		// feedPublisher and feedSubscriber pass changes of the metadata store through the aggregators.
		feedPublisher  *changefeed.Publisher
		feedSubscriber *changefeed.Subscriber

		// neighbours are the hosts through which requests reach services that do not respond to this host.
		neighbours *relay.Neighbours

		// peerContact tells when another host was last heard.
		peerContact *contact.Contact
		// freshness tells whether the configuration may have been replaced.
		freshness *freshness.Guard
		// configurationMu is held while a configuration is put in force, and configuration is the one in force; nil if there is none.
		configurationMu sync.Mutex
		configuration   atomic.Pointer[appliedConfiguration]
		// configurationBasis is the freshness.Basis after the last inquiry among the other hosts.
		configurationBasis atomic.Int64
		// peerClient calls other hosts.
		peerClient *http.Client

		// The listeners for clients, peers' requests, readiness probes and metrics; metricsListener may be nil.
		clientListener  net.Listener
		relayListener   net.Listener
		readyListener   net.Listener
		metricsListener net.Listener
		// hostCount is the number of registered hosts, this one included.
		hostCount atomic.Int64
		stopping  atomic.Bool

		reclaimer *reclaimer
		// cutOff receives a value when this host may reach no endpoint of a service any more.
		cutOff chan struct{}
		// reregister receives a value when the registration may be lost.
		reregister chan struct{}
		// registeredUntil is the time since boot, in nanoseconds, until which the registration is valid.
		registeredUntil atomic.Int64

		mu sync.Mutex
		// peerSeenRevisions holds, by host name, the revision up to which a peer has seen all changes of the
		// metadata store.
		peerSeenRevisions map[string]metastore.Revision
		// heardAt holds, by host name, when the last digest of a host itself arrived.
		heardAt map[string]time.Time
	}
)

// New returns a host that listens on its addresses. Run starts it.
func New(st Settings, deps Dependencies, lg *logrus.Logger) (*Node, error) {
	ck := clock.System()
	memory := attempt.NewMemory(int64(float64(st.MemoryMiB) * mebibyte * responseMemoryShare))
	no := &Node{
		st: st, deps: deps, ck: ck, log: lg,
		peerSeenRevisions: make(map[string]metastore.Revision),
		heardAt:           make(map[string]time.Time),
		cache:             cachedir.New(ck),
		timing:            timing.New(ck),
		cutOff:            make(chan struct{}, 1),
		reregister:        make(chan struct{}, 1),
		quarantine:        quarantine.NewTracker(ck),
		neighbours:        relay.New(ck),
		peerContact:       contact.New(nil),
		peerClient:        &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	no.pool = attempt.NewPool(attempt.Options{
		Clock: ck, Dialer: deps.Dialer, Memory: memory, OnOpen: deps.Meter.ConnectionOpened, StartCodec: deps.Starts, IsConfirmed: no.isStoreFollowed,
	})
	no.fleet = fleet.New(fleet.Options{Clock: ck, Host: st.Name, IsRegistered: no.isRegistered, OnStatementChange: no.noteStatement, OnReachChange: no.noteReach})
	no.hostCount.Store(1)
	no.currentSettings.Store(&st)
	setMemoryLimit(st.MemoryMiB)
	no.retryBudget = retry.NewWindowBudget(ck, retryLimits(st.Bounds))
	no.hedger = hedge.New(hedgeLimits(st.Hedging))
	no.storeState = &storeState{
		log: lg.WithField("part", "state"), decoder: deps.Decoder, fleet: no.fleet, host: st.Name,
		applyCatalog: no.applyCatalog, applyPeers: no.setPeers,
		contact: contact.New(nil), hosts: make(map[string]peering.Peer), clock: ck, onRestored: no.noteRestored,
		evacuated: make(map[string]bool), retainedZones: make(map[string]time.Time), retainedHosts: make(map[string]time.Time),
	}
	no.storeState.targets = weights.New(weights.Options{
		Clock: ck, SinceBoot: clock.SinceBoot, Store: deps.Store, RecordPrefix: prefixTargets, CheckpointKey: keyCheckpoint,
		RecordDelay: no.recordDelay, MaxAge: no.maxWeightsAge, Log: lg.WithField("part", "state"),
	})
	no.storeState.onConfirmed = no.noteConfirmed
	no.parts = no.newPartTracker()
	no.storeState.formerTeams = &formerTeams{
		store: deps.Store, clock: ck, log: lg.WithField("part", "state"), delay: no.releaseDelay, change: func(names []string) { no.gateway.SetFormerTeams(names) },
	}
	no.storeState.verdicts = no.newVerdictRecords()
	no.storeState.releases = no.newReleaseHistory()
	no.originLedger = no.newOriginLedger()
	no.canaries = no.newCanaryTracker()
	no.rollouts = newRolloutRecords(no)
	no.storeState.rollouts = no.rollouts
	no.origins = no.newOriginDirectory()
	no.storeState.adoptOrigins = no.adoptOrigins
	no.leaderLease = leadership.New(leadership.Options{
		Store: deps.Store, Clock: ck, SinceBoot: clock.SinceBoot, Key: keyUpgradeLeader, Holder: st.Name,
		TTL: milliseconds(st.Bounds.LeaseMs), OnChange: no.logLeadership,
		// A host that does not know the state yet leaves the lease to the others.
		AcquireDelay: no.leaderDelay, IsHeld: func() bool { return !no.fleet.IsSynced() || no.storeState.hasLeader.Load() },
	})
	no.upgrades = upgrade.New(upgrade.Options{
		Clock: ck, Fleet: no.fleet, Engines: deps.Engines, Holder: st.Name, FencingToken: no.leaderLease.FencingToken,
		UntilActive: no.leaderLease.UntilActive, Log: lg.WithField("part", "upgrade"),
	})
	no.feedPublisher = changefeed.NewPublisher(clock.SinceBoot)
	no.feedSubscriber = changefeed.NewSubscriber(changefeed.SubscriberOptions{
		Clock: ck, MaxAge: no.maxFeedAge, Disabled: func() bool { return no.exchange.IsZoneAggregator() },
	})
	no.freshness = no.newFreshnessGuard()
	no.reclaimer = &reclaimer{no: no, settlesAt: clock.SinceBoot() + registrationTTL}
	no.storeState.applyGates = no.reclaimer.setGates
	no.cache.SetFetchPermit(no.canFetch)
	no.storeState.setTargetVersion, no.storeState.onLeaderGone = no.upgrades.SetTarget, no.leaderLease.NotifyVacant
	no.gateway = gateway.New(gateway.Options{
		Clock: ck, Codec: deps.Codec, Fleet: no.fleet, Pool: no.pool, Cache: no.cache, Budget: no.retryBudget, Hedger: no.hedger, Quarantine: no.quarantine, Parts: no.parts,
		Rollouts: no.canaries, Neighbours: no.neighbours, RelayPool: attempt.NewPool(attempt.Options{Clock: ck, Memory: memory}),
		BodyMemoryBytes:   int64(float64(st.MemoryMiB) * mebibyte * bodyMemoryShare),
		UnreadMemoryBytes: int64(float64(st.MemoryMiB) * mebibyte * unreadMemoryShare),
		Log:               lg.WithField("part", "gateway"), Meter: deps.Meter, Zone: st.Zone, Policy: placement.ParsePolicy(st.Placement),
		HostCount:     func() int { return int(no.hostCount.Load()) },
		TargetVersion: no.storeState.targets.Target, IsVersionExpired: no.storeState.targets.IsExpired,
		WeightsTimeLeft: no.weightsTimeLeft, Origins: no.origins, IsSoftwareRecorded: no.storeState.releases.IsRecorded,
		ContactFields: no.contactFields, Timing: no.timing, Freshness: no.freshness,
	})
	if err := deps.Meter.ObserveEndpoints(no.countStatements); err != nil {
		return nil, err
	}
	if err := deps.Meter.ObserveRollouts(no.countRollouts); err != nil {
		return nil, err
	}
	if err := no.listen(); err != nil {
		return nil, err
	}
	return no, nil
}

func setMemoryLimit(mib int) {
	if mib > 0 {
		debug.SetMemoryLimit(int64(float64(mib) * mebibyte * memoryLimitShare))
	}
}

// Run serves until ctx ends, and then finishes the requests in flight within Bounds.StopMs.
func (no *Node) Run(ctx context.Context) error {
	no.log.WithFields(logrus.Fields{
		"host": no.st.Name, "zone": no.st.Zone, "listen": no.clientListener.Addr().String(),
		"metadata-store": no.st.Store, "bounds": no.st.Bounds,
	}).Info("Host starts.")
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var eg errgroup.Group
	eg.Go(func() error {
		metastore.Follow(workCtx, metastore.FollowOptions{
			Store: no.deps.Store, Clock: no.ck, BatchPause: no.watchPause, WatchWait: no.watchWait,
			Feed: no.feedSubscriber, OnFeedChange: no.logFeedChange, Relay: no.feedPublisher, Relaying: no.exchange.FollowsCacheStores,
		}, no.storeState)
		return nil
	})
	eg.Go(func() error { return no.exchange.Run(workCtx, (*digestSource)(no)) })
	eg.Go(func() error { no.maintainRegistration(workCtx); return nil })
	eg.Go(func() error { no.sweepConnections(workCtx); return nil })
	eg.Go(func() error { no.probeEndpoints(workCtx); return nil })
	eg.Go(func() error { contact.WatchStandstill(workCtx, no.ck, clock.SinceBoot, no.noteStandstill); return nil })
	eg.Go(func() error { no.freshness.Run(workCtx); return nil })
	eg.Go(func() error { no.followCacheStores(workCtx); return nil })
	eg.Go(func() error { no.storeState.targets.Run(workCtx); return nil })
	eg.Go(func() error { no.storeState.formerTeams.run(workCtx); return nil })
	eg.Go(func() error { no.storeState.verdicts.Run(workCtx); return nil })
	eg.Go(func() error { no.storeState.releases.Run(workCtx); return nil })
	eg.Go(func() error { no.originLedger.Run(workCtx); return nil })
	eg.Go(func() error { no.judgeRollouts(workCtx); return nil })
	leaderCtx, endLeading := context.WithCancel(workCtx)
	defer endLeading()
	eg.Go(func() error { no.leaderLease.Run(leaderCtx); return nil })
	eg.Go(func() error { no.upgrades.Run(leaderCtx); return nil })
	eg.Go(func() error { newRolloutDuty(no).run(leaderCtx); return nil })
	eg.Go(func() error { no.reclaimer.run(leaderCtx); return nil })

	readyServer := &http.Server{Handler: http.HandlerFunc(no.serveReadiness), ReadHeaderTimeout: headerTimeout}
	clientServer := &http.Server{
		Handler: no.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: gateway.WithClientConn,
	}
	relayServer := &http.Server{
		Handler: no.relayHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes,
		ConnContext: gateway.WithClientConn,
	}
	servers := []struct {
		server   *http.Server
		listener net.Listener
	}{{readyServer, no.readyListener}, {clientServer, no.clientListener}, {relayServer, no.relayListener}}
	if no.metricsListener != nil {
		servers = append(servers, struct {
			server   *http.Server
			listener net.Listener
		}{&http.Server{Handler: no.deps.Meter.Handler(), ReadHeaderTimeout: headerTimeout}, no.metricsListener})
	}
	for _, se := range servers {
		eg.Go(func() error {
			if err := se.server.Serve(se.listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, "node: serve")
			}
			return nil
		})
	}
	<-ctx.Done()
	no.stop(endLeading, clientServer, relayServer)
	cancel()
	for _, se := range servers {
		_ = se.server.Close()
	}
	no.log.Info("Host stops.")
	return eg.Wait()
}

// Address returns the address on which the host serves clients.
func (no *Node) Address() string { return no.clientListener.Addr().String() }

// ReadyAddress returns the address of the readiness probe.
func (no *Node) ReadyAddress() string { return no.readyListener.Addr().String() }

func (no *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if no.stopping.Load() || no.gateway.Catalog() == nil || !no.fleet.IsSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (no *Node) setPeers(peers []peering.Peer) {
	no.hostCount.Store(int64(len(peers) + 1))
	no.retryBudget.SetHostCount(len(peers) + 1)
	no.exchange.SetPeers(peers)
	hosts := make([]relay.Host, 0, len(peers))
	for _, pe := range peers {
		if pe.Relay.IsValid() {
			hosts = append(hosts, relay.Host{Name: pe.Name, Address: pe.Relay, TakesOrigins: pe.TakesOrigins})
		}
	}
	no.neighbours.SetHosts(hosts)
}

// leaderDelay returns how long this host waits before it tries to become leader.
func (no *Node) leaderDelay() time.Duration { return time.Duration(no.rank()) * leaderDelayPerRank }

// canFetch reports whether this host may fetch from managed stores at the given time, in milliseconds of
// the endpoints' clock. It may if it can decode the newest gates, and either is registered or holds a valid
// fetch grant: then the parts that the gates allow are not freed during the fetch.
func (no *Node) canFetch(clock int64) bool {
	return !no.reclaimer.hasUnreadableGates() && (no.isRegistered() || no.reclaimer.hasFetchGrant(clock))
}

// revisionSeenByAll returns the revision of the metadata store up to which every registered host has
// seen all changes.
func (no *Node) revisionSeenByAll() metastore.Revision {
	no.mu.Lock()
	defer no.mu.Unlock()
	revision := no.storeState.seen()
	for _, name := range no.storeState.hostNames() {
		if name != no.st.Name {
			if seen := no.peerSeenRevisions[name]; seen.Before(revision) {
				revision = seen
			}
		}
	}
	return revision
}
