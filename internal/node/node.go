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
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/leadership"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/placement"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/telemetry"
	"github.com/bergamotway/bergamotway/internal/upgrade"
)

const (
	// registeredFor is the lease on a host's own item; keepEvery is how often it is renewed.
	registeredFor = 8 * time.Second
	keepEvery     = 2500 * time.Millisecond
	// registeredMargin is how long before the end of its lease a host takes itself as unknown.
	registeredMargin = time.Second
	// defaultHeaderBytes and defaultHeaderTime hold before there is a configuration.
	defaultHeaderBytes = 16 << 10
	defaultHeaderTime  = 5 * time.Second
	// idleTime is longer than what operators allow clients, so that a client never meets a
	// connection that this side is closing.
	idleTime = 60 * time.Second
	// memoryShare is the part of the memory at which the collector works harder.
	memoryShare = 0.7
	// bodyShare is the part of the memory that bodies of requests may take; they lie there once more
	// while they are sent on.
	bodyShare = 0.2
	mebibyte  = 1 << 20
	// stopMargin is how long before the end of a planned stop the process ends by itself.
	stopMargin = 400 * time.Millisecond
	// acceptFor is how long a stopping host still takes requests. Long ones that come later would
	// not end in time. listenFor is until when it answers at all: by then it is out of rotation,
	// after two questions a second apart.
	acceptFor = 2600 * time.Millisecond
	listenFor = 3400 * time.Millisecond
	// loadingFor is how long a peer's word that an engine takes weights is believed.
	loadingFor = 600 * time.Millisecond
	sweepEvery = time.Second
	// taughtFor is for how long what was learned of an engine's weights is passed on; by then its
	// entry says so.
	taughtFor = 3 * time.Second
	// gatherEach is the pause between two watches for each host, since each answer of the store to
	// all hosts costs much. gatherShare bounds it, as a share of the time in which changes must be in
	// force.
	gatherEach  = 18 * time.Millisecond
	gatherShare = 0.42
	// turnEach is how much later each host further behind in a common order seeks a vacant seat.
	turnEach = 120 * time.Millisecond
)

type (
	// World is what surrounds a host: the metadata store, the engines and their formats.
	World struct {
		Store   metastore.Store
		Decoder Decoder
		Codec   gateway.Codec
		Caches  cachedir.Source
		Engines upgrade.Engines
		Meter   *telemetry.Meter
	}

	// Node is a host that serves clients.
	Node struct {
		st       Settings
		current  atomic.Pointer[Settings]
		wo       World
		ck       clock.Clock
		log      *logrus.Logger
		fleet    *fleet.Fleet
		pool     *attempt.Pool
		cache    *cachedir.Directory
		gateway  *gateway.Gateway
		budget   *retry.Windows
		board    *quarantine.Board
		state    *state
		seat     *leadership.Seat
		upgrades *upgrade.Controller
		exchange *peering.Exchange

		clients  net.Listener
		ready    net.Listener
		metrics  net.Listener
		hosts    atomic.Int64
		stopping atomic.Bool

		reclaim    *reclaim
		registered atomic.Int64

		mu   sync.Mutex
		seen map[string]uint64
	}
)

// New returns a host that listens at its addresses and is ready to Run.
func New(st Settings, wo World, lg *logrus.Logger) (*Node, error) {
	ck := clock.System()
	no := &Node{
		st: st, wo: wo, ck: ck, log: lg,
		seen:  make(map[string]uint64),
		fleet: fleet.New(fleet.Options{Clock: ck, Host: st.Name}),
		pool:  attempt.NewPool(attempt.Options{Clock: ck, Opened: wo.Meter.Opened}),
		cache: cachedir.New(ck),
		board: quarantine.NewBoard(ck),
	}
	no.hosts.Store(1)
	no.current.Store(&st)
	setMemory(st.MemoryMiB)
	no.budget = retry.NewWindows(ck, bound(st.Bounds))
	no.state = &state{
		log: lg.WithField("part", "state"), decode: wo.Decoder, fleet: no.fleet, name: st.Name,
		apply: no.apply, peers: no.setPeers,
		hosts: make(map[string]peering.Peer), weights: newNaming(ck),
	}
	no.seat = leadership.New(leadership.Options{
		Store: wo.Store, Clock: ck, Boot: clock.Boot, Key: keyUpgrades, Holder: st.Name,
		TTL: time.Duration(st.Bounds.LeaseMs) * time.Millisecond, Changed: no.seated,
		Turn: no.turn, Taken: func() bool { return no.state.taken.Load() },
	})
	no.upgrades = upgrade.New(upgrade.Options{
		Clock: ck, Fleet: no.fleet, Engines: wo.Engines, Holder: st.Name, Fence: no.seat.Fence,
		Log: lg.WithField("part", "upgrade"),
	})
	no.reclaim = &reclaim{no: no}
	no.state.gates = no.reclaim.take
	no.cache.SetPermit(no.mayFetch)
	no.state.named, no.state.vacant = no.upgrades.Target, no.seat.Vacant
	no.gateway = gateway.New(gateway.Options{
		Clock: ck, Codec: wo.Codec, Fleet: no.fleet, Pool: no.pool, Cache: no.cache, Budget: no.budget, Board: no.board,
		BodyMemory: int64(float64(st.MemoryMiB) * mebibyte * bodyShare),
		Log:        lg.WithField("part", "gateway"), Meter: wo.Meter, Zone: st.Zone, Policy: placement.ParsePolicy(st.Placement),
		Hosts:   func() int { return int(no.hosts.Load()) },
		Weights: no.state.weights.wanted,
		Expired: func(model string, version uint64) bool {
			limit := time.Duration(float64(no.settings().Bounds.WeightsMs) * weightsShare * float64(time.Millisecond))
			return no.state.weights.expired(model, version, limit)
		},
	})
	if err := no.listen(); err != nil {
		return nil, err
	}
	return no, nil
}

func setMemory(mib int) {
	if mib > 0 {
		debug.SetMemoryLimit(int64(float64(mib) * mebibyte * memoryShare))
	}
}

func (no *Node) listen() error {
	var err error
	if no.exchange, err = peering.Listen(no.st.PeerListen, peering.Peer{
		Name: no.st.Name, Zone: no.st.Zone, Weight: no.st.Weight, LinkMbps: no.st.LinkMbps,
	}, no.ck); err != nil {
		return err
	}
	if no.clients, err = net.Listen("tcp", no.st.Listen); err != nil {
		return errors.Wrap(err, "node: listen for clients")
	}
	if no.ready, err = net.Listen("tcp", no.st.ReadyListen); err != nil {
		return errors.Wrap(err, "node: listen for readiness")
	}
	if no.st.MetricsListen != "" {
		if no.metrics, err = net.Listen("tcp", no.st.MetricsListen); err != nil {
			return errors.Wrap(err, "node: listen for metrics")
		}
	}
	return nil
}

// Run serves until ctx ends, and then finishes what is under way within the time for a planned stop.
func (no *Node) Run(ctx context.Context) error {
	no.log.WithFields(logrus.Fields{
		"host": no.st.Name, "zone": no.st.Zone, "listen": no.clients.Addr().String(),
		"metadata-store": no.st.Store, "bounds": no.st.Bounds,
	}).Info("Host starts.")
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var eg errgroup.Group
	eg.Go(func() error { metastore.Follow(work, no.wo.Store, no.ck, "", no.gather, no.state); return nil })
	eg.Go(func() error { return no.exchange.Run(work, (*source)(no)) })
	eg.Go(func() error { no.keep(work); return nil })
	eg.Go(func() error { no.sweep(work); return nil })
	eg.Go(func() error { no.followCaches(work); return nil })
	eg.Go(func() error { no.state.weights.record(work, no.wo.Store, no.recordDelay); return nil })
	duties, endDuties := context.WithCancel(work)
	defer endDuties()
	eg.Go(func() error { no.seat.Run(duties); return nil })
	eg.Go(func() error { no.upgrades.Run(duties); return nil })
	eg.Go(func() error { no.reclaim.run(duties); return nil })

	ready := &http.Server{Handler: http.HandlerFunc(no.answerReady), ReadHeaderTimeout: defaultHeaderTime}
	clients := &http.Server{
		Handler: no.gateway, ReadHeaderTimeout: defaultHeaderTime, IdleTimeout: idleTime, MaxHeaderBytes: defaultHeaderBytes,
		ConnContext: gateway.WithClient,
	}
	servers := []struct {
		server   *http.Server
		listener net.Listener
	}{{ready, no.ready}, {clients, no.clients}}
	if no.metrics != nil {
		servers = append(servers, struct {
			server   *http.Server
			listener net.Listener
		}{&http.Server{Handler: no.wo.Meter.Handler(), ReadHeaderTimeout: defaultHeaderTime}, no.metrics})
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
	no.stop(clients, endDuties)
	cancel()
	for _, se := range servers {
		_ = se.server.Close()
	}
	no.log.Info("Host stops.")
	return eg.Wait()
}

// Address returns the address for clients.
func (no *Node) Address() string { return no.clients.Addr().String() }

// ReadyAddress returns the address at which the host says whether it is ready.
func (no *Node) ReadyAddress() string { return no.ready.Addr().String() }

// stop takes the host out of rotation and waits for the requests under way.
func (no *Node) stop(clients *http.Server, endDuties func()) {
	no.stopping.Store(true)
	no.gateway.Stop()
	endDuties()
	no.log.WithField("active", no.gateway.Active()).Info("Host is stopping.")
	deadline := no.ck.Now().Add(time.Duration(no.settings().Bounds.StopMs)*time.Millisecond - stopMargin)
	<-no.ck.After(acceptFor)
	no.gateway.Close()
	<-no.ck.After(listenFor - acceptFor)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		no.log.WithFields(logrus.Fields{"active": no.gateway.Active(), "cause": err.Error()}).Warn("Stop cut requests.")
	}
}

func (no *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if no.stopping.Load() || no.gateway.Catalog() == nil || !no.fleet.IsSynced() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// apply puts a configuration in force.
func (no *Node) apply(ct *catalog.Catalog) {
	if !no.gateway.Configure(ct) {
		return
	}
	no.cache.Configure(ct.Stores())
	no.log.WithFields(logrus.Fields{
		"version": ct.Version(), "services": len(ct.Services()), "cache-stores": len(ct.Stores()),
	}).Info("Configuration is in force.")
}

func (no *Node) setPeers(peers []peering.Peer) {
	no.hosts.Store(int64(len(peers) + 1))
	no.budget.SetHosts(len(peers) + 1)
	no.exchange.SetPeers(peers)
}

// gather returns the pause between two watches of the metadata store.
func (no *Node) gather() time.Duration {
	most := time.Duration(float64(no.settings().Bounds.ApplyMs) * gatherShare * float64(time.Millisecond))
	return min(time.Duration(no.hosts.Load())*gatherEach, most)
}

// turn returns how long this host waits before it seeks a vacant seat.
func (no *Node) turn() time.Duration { return time.Duration(no.rank()) * turnEach }

// rank returns how many hosts come before this one in an order that is the same everywhere: strong
// hosts first.
func (no *Node) rank() int {
	no.state.mu.Lock()
	defer no.state.mu.Unlock()
	rank := 0
	for name, pe := range no.state.hosts {
		if pe.Weight > no.st.Weight || (pe.Weight == no.st.Weight && name < no.st.Name) {
			rank++
		}
	}
	return rank
}

// recordDelay returns after which time this host records weights that nobody has recorded yet.
func (no *Node) recordDelay() time.Duration { return time.Duration(no.rank()) * recordEvery }

func (no *Node) seated(held bool, fence uint64) {
	no.log.WithFields(logrus.Fields{"held": held, "fence": fence}).Info("Duty of weights changed hands.")
}

// mayFetch reports whether parts that this host fetches at a time of the endpoints' clock are not freed
// meanwhile: because it is registered, or on the word of a host that is.
func (no *Node) mayFetch(clock int64) bool {
	return !no.reclaim.isUnreadable() && (no.isRegistered() || no.reclaim.hasPass(clock))
}

// knownToAll returns the revision of the metadata store up to which each registered host knows all
// changes.
func (no *Node) knownToAll() uint64 {
	no.mu.Lock()
	defer no.mu.Unlock()
	known := no.state.seen.Load()
	for _, name := range no.state.names() {
		if name != no.st.Name {
			known = min(known, no.seen[name])
		}
	}
	return known
}

// sweep drops connections to endpoints that are gone.
func (no *Node) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-no.ck.After(sweepEvery):
		}
		live := make(map[attempt.Target]bool)
		for _, vw := range no.fleet.All() {
			live[attempt.Target{ID: vw.ID, Address: vw.Address, Born: vw.Born}] = !vw.Draining
		}
		no.pool.Drop(func(ta attempt.Target) bool { return live[ta] })
	}
}
