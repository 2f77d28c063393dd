package host

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/entry"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/logs"
	"github.com/bergamotway/bergamotway/internal/membership"
	"github.com/bergamotway/bergamotway/internal/peer"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/service"
	"github.com/bergamotway/bergamotway/internal/store"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

type (
	// Host is a running entry host.
	Host struct {
		st           Settings
		log          logrus.FieldLogger
		controlPlane *ControlPlane
		meter        *telemetry.Meter
		limiter      *admission.Limiter
		server       *entry.Server
		operator     *operatorServer
		peerServer   *peer.Server
		peerPool     *peer.Pool

		clientListener   net.Listener
		operatorListener net.Listener
		peerListener     net.Listener
	}

	// IncompleteShutdownError reports a graceful shutdown that ended before all requests had finished.
	IncompleteShutdownError struct {
		running int
	}

	// engineAdapter adapts an engine.Client to dispatch.Engines.
	engineAdapter struct {
		*engine.Client
	}
)

// Error returns the message.
func (e *IncompleteShutdownError) Error() string {
	return "host: shutdown aborted before all requests on open connections had finished"
}

// RunningRequests returns the number of requests that were still running.
func (e *IncompleteShutdownError) RunningRequests() int { return e.running }

// Open starts a run and returns its token stream.
func (ea engineAdapter) Open(ctx context.Context, address string, rn engine.Run) (dispatch.Stream, error) {
	st, err := ea.Client.Open(ctx, address, rn)
	if err != nil {
		return nil, err
	}
	return st, nil
}

// New returns a host that listens on its addresses. Run must be called for it to serve.
func New(st Settings, lg *logrus.Logger) (*Host, error) {
	ho := &Host{st: st, log: logs.WithComponent(lg, logs.Host)}
	clientTLS, err := serverTLS(st.ClientTLS)
	if err != nil {
		return nil, err
	}
	peerTLS, err := mutualTLS(st.PeerTLS)
	if err != nil {
		return nil, err
	}
	if ho.meter, err = telemetry.New(); err != nil {
		return nil, err
	}
	ho.peerServer = peer.NewServer(peerTLS, ho.meter)
	ho.peerPool = peer.NewPool(peerTLS, ho.meter)
	ho.assemble(lg, clientTLS)
	if err = ho.listen(); err != nil {
		return nil, err
	}
	return ho, nil
}

// assemble creates the components of the host and connects them.
func (ho *Host) assemble(lg *logrus.Logger, clientTLS *tls.Config) {
	st := ho.st
	clk := clock.System()
	dialer := connection.NewDialer(connection.Options{IdleTimeout: st.Limits.EndpointIdleTimeout.Std(), Clock: clk})
	engineClient := engine.NewClient(dialer)
	ho.controlPlane = NewControlPlane(ControlPlaneOptions{
		Self: membership.Member{
			Name:        st.Name,
			Address:     st.PeerListen,
			Zone:        st.Zone,
			Incarnation: uint64(clk.Now().UnixMilli()),
		},
		Clock: clk,
		Platform: keyvalue.NewClient(keyvalue.Options{
			Address:         st.KeyValueAddress,
			HostListAddress: st.HostListAddress,
			Meter:           ho.meter,
			Clock:           clk,
		}),
		HasHostList: st.HostListAddress != "",
		Caller:      ho.peerPool,
		Engines:     engineClient,
		Seeds:       st.PeerAddresses,
		Log:         lg,
	})
	ho.controlPlane.Register(ho.peerServer)
	budget := &retry.Budget{}
	runner := dispatch.New(dispatch.Dependencies{
		Host:          st.Name,
		Clock:         clk,
		Snapshot:      ho.controlPlane.Configuration.Snapshot,
		Engines:       engineAdapter{engineClient},
		Stores:        store.NewClient(dialer),
		Slots:         ho.controlPlane.SlotBroker,
		LinkScheduler: ho.controlPlane.LinkBroker,
		Registry:      ho.controlPlane.Endpoints,
		Quarantine:    ho.controlPlane.Quarantine,
		RetryBudget:   budget,
		Announcer:     ho.controlPlane,
		Meter:         ho.meter,
		Log:           logs.WithComponent(lg, logs.Dispatch),
		Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	maxInFlight := st.Limits.MaxInFlight
	if maxInFlight == 0 {
		maxInFlight = defaultMaxInFlight
	}
	ho.limiter = admission.NewLimiter(clk, maxInFlight)
	ho.server = entry.NewServer(entry.ServerOptions{
		Chat: entry.ChatChain(ho.controlPlane, ho.controlPlane.Configuration.Snapshot, ho.controlPlane.Quarantine, ho.limiter, runner),
		Service: entry.ServiceChain(ho.controlPlane, ho.controlPlane.Configuration.Snapshot, entry.ServiceOptions{
			Clock:    clk,
			Ledger:   ho.controlPlane.BookingRouter,
			Services: service.NewClient(dialer),
			Budget:   budget,
			Meter:    ho.meter,
		}),
		Clock:          clk,
		Meter:          ho.meter,
		Log:            logs.WithComponent(lg, logs.Entry),
		MaxBodyBytes:   st.Limits.MaxBodyBytes,
		MaxHeaderBytes: st.Limits.MaxHeaderBytes,
		ReadTimeout:    st.Limits.ReadTimeout.Std(),
		WriteTimeout:   st.Limits.WriteTimeout.Std(),
		TLS:            clientTLS,
	})
	ho.operator = newOperatorServer(ho, clientTLS)
}

func (ho *Host) listen() error {
	var err error
	if ho.clientListener, err = listen(ho.st.Listen); err != nil {
		return errors.Wrap(err, "host: listen")
	}
	if ho.operatorListener, err = listen(ho.st.OperatorListen); err != nil {
		return errors.Wrap(err, "host: operator-listen")
	}
	if ho.peerListener, err = listen(ho.st.PeerListen); err != nil {
		return errors.Wrap(err, "host: peer-listen")
	}
	return nil
}

// Run serves until stop is done, then waits for all running requests and hands over what the host
// owns. When abort is done or the stop deadline passes, it closes the remaining connections and
// returns an *IncompleteShutdownError.
func (ho *Host) Run(stop, abort context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var eg errgroup.Group
	eg.Go(func() error { return ho.controlPlane.Run(ctx) })
	eg.Go(func() error { return ho.peerServer.Serve(ctx, ho.peerListener) })
	eg.Go(func() error { return ho.operator.serve(ho.operatorListener) })
	eg.Go(func() error { return ho.server.Serve(ho.clientListener) })
	ho.log.WithField("listen", ho.st.Listen).Info("Host is serving.")
	<-stop.Done()
	err := ho.stop(abort)
	cancel()
	ho.operator.shutdown()
	_ = ho.peerListener.Close()
	ho.peerServer.Close()
	ho.peerPool.Close()
	if waitErr := eg.Wait(); err == nil {
		err = waitErr
	}
	return err
}

// stop refuses new work, waits for the running requests and announces the shutdown to the peers.
func (ho *Host) stop(abort context.Context) error {
	ho.log.Info("Host is shutting down.")
	ho.controlPlane.StartLeaving()
	deadline := ho.st.StopDeadline.Std()
	if deadline == 0 {
		deadline = defaultStopDeadline
	}
	ctx, cancel := context.WithTimeout(abort, deadline)
	defer cancel()
	err := ho.server.Shutdown(ctx)
	running := ho.limiter.Running()
	leaveCtx, leaveCancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer leaveCancel()
	ho.controlPlane.Leave(leaveCtx)
	if err != nil {
		ho.log.WithField("open", running).Warn("Stop cut requests.")
		return &IncompleteShutdownError{running: running}
	}
	ho.log.Info("Host stopped.")
	return nil
}

// Snapshot returns the active configuration.
func (ho *Host) Snapshot() *configuration.Snapshot { return ho.controlPlane.Configuration.Snapshot() }
