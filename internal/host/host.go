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
		st         Settings
		log        logrus.FieldLogger
		control    *Control
		meter      *telemetry.Meter
		limiter    *admission.Gate
		server     *entry.Server
		operator   *operatorServer
		peerServer *peer.Server
		peerPool   *peer.Pool

		clientListener   net.Listener
		operatorListener net.Listener
		peerListener     net.Listener
	}

	// CutError reports a graceful shutdown that ended before all requests had finished.
	CutError struct {
		running int
	}

	// engineAdapter makes an engine.Client usable as dispatch.Engines.
	engineAdapter struct {
		*engine.Client
	}
)

// Error returns the message.
func (e *CutError) Error() string {
	return "host: shutdown aborted before all requests on open connections had finished"
}

// Open returns the number of requests that were still running.
func (e *CutError) Open() int { return e.running }

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
	ho := &Host{st: st, log: logs.For(lg, logs.Host)}
	clientTLS, err := serverTLS(st.CallerTLS)
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
	dialer := connection.NewDialer(connection.Options{Silence: st.Limits.Silence.Of(), Clock: clk})
	client := engine.NewClient(dialer)
	ho.control = NewControl(ControlParts{
		Self: membership.Member{
			Name:        st.Name,
			Address:     st.PeerListen,
			Zone:        st.Zone,
			Incarnation: uint64(clk.Now().UnixMilli()),
		},
		Clock: clk,
		Platform: keyvalue.NewClient(keyvalue.Options{
			Address:      st.KeyValue,
			HostsAddress: st.HostList,
			Meter:        ho.meter,
			Clock:        clk,
		}),
		HasList:  st.HostList != "",
		Caller:   ho.peerPool,
		Reporter: client,
		Seeds:    st.Peers,
		Log:      lg,
	})
	ho.control.Register(ho.peerServer)
	budget := &retry.Budget{}
	runner := dispatch.New(dispatch.Parts{
		Host:      st.Name,
		Clock:     clk,
		Snapshot:  ho.control.Keeper.Snapshot,
		Engines:   engineAdapter{client},
		Stores:    store.NewClient(dialer),
		Slots:     ho.control.Desk,
		Turns:     ho.control.Turns,
		Registry:  ho.control.Registry,
		Board:     ho.control.Board,
		Budget:    budget,
		Announcer: ho.control,
		Meter:     ho.meter,
		Log:       logs.For(lg, logs.Dispatch),
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	concurrent := st.Limits.Concurrent
	if concurrent == 0 {
		concurrent = defaultMaxInFlight
	}
	ho.limiter = admission.NewGate(clk, concurrent)
	ho.server = entry.NewServer(entry.ServerOptions{
		Chat: entry.ChatChain(ho.control, ho.control.Keeper.Snapshot, ho.control.Board, ho.limiter, runner),
		Service: entry.ServiceChain(ho.control, ho.control.Keeper.Snapshot, entry.BookOptions{
			Clock:    clk,
			Ledger:   ho.control.Bookings,
			Services: service.NewClient(dialer),
			Budget:   budget,
			Meter:    ho.meter,
		}),
		Clock:       clk,
		Meter:       ho.meter,
		Log:         logs.For(lg, logs.Entry),
		BodyLimit:   st.Limits.Body,
		HeaderLimit: st.Limits.Header,
		ReadLimit:   st.Limits.Read.Of(),
		WriteLimit:  st.Limits.Write.Of(),
		TLS:         clientTLS,
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
// returns a *CutError.
func (ho *Host) Run(stop, abort context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var eg errgroup.Group
	eg.Go(func() error { return ho.control.Run(ctx) })
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

func (ho *Host) stop(abort context.Context) error {
	ho.log.Info("Host is shutting down.")
	ho.control.StartLeaving()
	deadline := ho.st.StopDeadline.Of()
	if deadline == 0 {
		deadline = defaultStopDeadline
	}
	ctx, cancel := context.WithTimeout(abort, deadline)
	defer cancel()
	err := ho.server.Shutdown(ctx)
	running := ho.limiter.Running()
	leaveCtx, leaveCancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer leaveCancel()
	ho.control.Leave(leaveCtx)
	if err != nil {
		ho.log.WithField("open", running).Warn("Stop cut requests.")
		return &CutError{running: running}
	}
	ho.log.Info("Host stopped.")
	return nil
}

// Snapshot returns the configuration in force.
func (ho *Host) Snapshot() *configuration.Snapshot { return ho.control.Keeper.Snapshot() }
