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
		st       Settings
		log      logrus.FieldLogger
		control  *Control
		meter    *telemetry.Meter
		gate     *admission.Gate
		server   *entry.Server
		operator *operatorServer
		peers    *peer.Server
		pool     *peer.Pool

		callerListener   net.Listener
		operatorListener net.Listener
		peerListener     net.Listener
	}

	// CutError reports a planned stop that had to cut requests.
	CutError struct {
		open int
	}

	engines struct {
		*engine.Client
	}
)

// Error says what was cut.
func (e *CutError) Error() string {
	return "host: the stop was cut short; some requests on open connections have not ended"
}

// Open returns how many connections were open.
func (e *CutError) Open() int { return e.open }

// Open starts a run.
func (en engines) Open(ctx context.Context, address string, rn engine.Run) (dispatch.Stream, error) {
	st, err := en.Client.Open(ctx, address, rn)
	if err != nil {
		return nil, err
	}
	return st, nil
}

// New returns a host that listens at its addresses and is ready to Run.
func New(st Settings, lg *logrus.Logger) (*Host, error) {
	ho := &Host{st: st, log: logs.For(lg, logs.Host)}
	callerTLS, err := serverTLS(st.CallerTLS)
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
	ho.peers = peer.NewServer(peerTLS, ho.meter)
	ho.pool = peer.NewPool(peerTLS, ho.meter)
	ho.assemble(lg, callerTLS)
	if err = ho.listen(); err != nil {
		return nil, err
	}
	return ho, nil
}

func (ho *Host) assemble(lg *logrus.Logger, callerTLS *tls.Config) {
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
		Caller:   ho.pool,
		Reporter: client,
		Seeds:    st.Peers,
		Log:      lg,
	})
	ho.control.Register(ho.peers)
	budget := &retry.Budget{}
	runner := dispatch.New(dispatch.Parts{
		Host:      st.Name,
		Clock:     clk,
		Snapshot:  ho.control.Keeper.Snapshot,
		Engines:   engines{client},
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
		concurrent = defaultConcurrent
	}
	ho.gate = admission.NewGate(clk, concurrent)
	ho.server = entry.NewServer(entry.ServerOptions{
		Chat: entry.ChatChain(ho.control, ho.control.Keeper.Snapshot, ho.control.Board, ho.gate, runner),
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
		TLS:         callerTLS,
	})
	ho.operator = newOperatorServer(ho, callerTLS)
}

func (ho *Host) listen() error {
	var err error
	if ho.callerListener, err = listen(ho.st.Listen); err != nil {
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

// Run serves until stop ends, then finishes every request and hands over what the host owns. When
// cut ends, or the stop deadline passes, it closes what is left and returns a *CutError.
func (ho *Host) Run(stop, cut context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var eg errgroup.Group
	eg.Go(func() error { return ho.control.Run(ctx) })
	eg.Go(func() error { return ho.peers.Serve(ctx, ho.peerListener) })
	eg.Go(func() error { return ho.operator.serve(ho.operatorListener) })
	eg.Go(func() error { return ho.server.Serve(ho.callerListener) })
	ho.log.WithField("listen", ho.st.Listen).Info("Host serves.")
	<-stop.Done()
	err := ho.stop(cut)
	cancel()
	ho.operator.shutdown()
	_ = ho.peerListener.Close()
	ho.peers.Close()
	ho.pool.Close()
	if waitErr := eg.Wait(); err == nil {
		err = waitErr
	}
	return err
}

func (ho *Host) stop(cut context.Context) error {
	ho.log.Info("Host leaves.")
	ho.control.StartLeaving()
	deadline := ho.st.StopDeadline.Of()
	if deadline == 0 {
		deadline = defaultStopDeadline
	}
	ctx, cancel := context.WithTimeout(cut, deadline)
	defer cancel()
	err := ho.server.Shutdown(ctx)
	open := ho.gate.Running()
	leaveCtx, leaveCancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer leaveCancel()
	ho.control.Leave(leaveCtx)
	if err != nil {
		ho.log.WithField("open", open).Warn("Stop cut requests.")
		return &CutError{open: open}
	}
	ho.log.Info("Host has stopped.")
	return nil
}

// Snapshot returns the configuration in force.
func (ho *Host) Snapshot() *configuration.Snapshot { return ho.control.Keeper.Snapshot() }
