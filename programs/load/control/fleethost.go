package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/host"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/membership"
	"github.com/bergamotway/bergamotway/internal/peer"
	"github.com/bergamotway/bergamotway/internal/slot"
)

// startHost starts the control plane of host i.
func (fl *fleet) startHost(ctx context.Context, i int, seeds []string) (*fleetHost, error) {
	fh := &fleetHost{fl: fl, done: make(chan struct{})}
	fh.server = peer.NewServer(nil, fh)
	if fl.hostCount <= maxTCPHosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "control: listen on a loopback port")
		}
		fh.listener, fh.pool = ln, peer.NewPool(nil, fh)
	} else {
		fh.listener = fl.pipes.listen(fmt.Sprintf("127.2.%d.%d:70", i/250, 1+i%250))
		fh.pool = peer.NewPoolWithDialFunc(fl.pipes.dial, nil, fh)
	}
	ln := fh.listener
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	lg.SetLevel(logrus.PanicLevel)
	clk := clock.System()
	fh.controlPlane = host.NewControlPlane(host.ControlPlaneOptions{
		Self: membership.Member{
			Name: fmt.Sprintf("entry-%d", i), Address: ln.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%zoneCount),
			Incarnation: uint64(clk.Now().UnixMilli()),
		},
		Clock:       clk,
		Platform:    &hostPlatform{fh: fh},
		HasHostList: true,
		Caller:      fh.pool,
		Engines:     fakeReporter{started: clk.Now().Add(-time.Hour)},
		Seeds:       seeds,
		Log:         lg,
	})
	fh.controlPlane.Register(fh.server)
	ctx, fh.cancel = context.WithCancel(ctx)
	go func() { _ = fh.server.Serve(ctx, ln) }()
	go func() {
		defer close(fh.done)
		_ = fh.controlPlane.Run(ctx)
	}()
	return fh, nil
}

// generateRequests requests slots from the owners of endpoints at the request rate of one host.
func (fh *fleetHost) generateRequests(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		wait := time.Duration(rand.ExpFloat64() / requestRatePerHost * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		go fh.requestSlot(ctx, i)
	}
}

// requestSlot acquires a slot at a random endpoint and releases it after 3 s.
func (fh *fleetHost) requestSlot(ctx context.Context, i int) {
	name := fmt.Sprintf("engine-%d", rand.IntN(fh.fl.hostCount*endpointsPerHost))
	root := slot.ShortRoot(fmt.Sprintf("%032x", i))
	fh.fl.slotRequests.Add(1)
	res, err := fh.controlPlane.SlotBroker.Acquire(ctx, slot.AcquireRequest{
		Endpoint: name, Host: fh.controlPlane.Self.Name, Root: root, Tokens: 16000,
	})
	if err != nil || res.GrantID == "" {
		return
	}
	fh.fl.slotGrants.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
	fh.controlPlane.SlotBroker.Release(ctx, slot.ReleaseRequest{Endpoint: name, GrantID: res.GrantID, Root: root, Resident: 16000, StartID: res.StartID})
}

func (fh *fleetHost) stop() {
	fh.cancel()
	_ = fh.listener.Close()
	fh.server.Close()
	fh.pool.Close()
	<-fh.done
}

// AddControlBytes adds to the count of control traffic.
func (fh *fleetHost) AddControlBytes(sent, received int) { fh.controlBytes.Add(int64(sent + received)) }

// Get reads an entry and counts the read.
func (hp *hostPlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	hp.fh.fl.reads.Add(1)
	return hp.fh.fl.kv.Get(ctx, purpose, key)
}

// List reads entries and counts the read.
func (hp *hostPlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	hp.fh.fl.reads.Add(1)
	return hp.fh.fl.kv.List(ctx, purpose, prefix)
}

// Watch waits for a change and counts the read. With silent watches it reports no change and fails when the timeout
// expires or ctx ends.
func (hp *hostPlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, timeout time.Duration) (keyvalue.Entry, error) {
	hp.fh.fl.reads.Add(1)
	if !hp.fh.hasSilentWatches.Load() {
		return hp.fh.fl.kv.Watch(ctx, purpose, key, after, timeout)
	}
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch", context.DeadlineExceeded)
}

// CompareAndSwap writes an entry and counts the write.
func (hp *hostPlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	hp.fh.fl.writes.Add(1)
	return hp.fh.fl.kv.CompareAndSwap(ctx, purpose, wr)
}

// Hosts returns an empty host list. The list belongs to another service, but its reads are counted, too.
func (hp *hostPlatform) Hosts(context.Context) ([]keyvalue.ListedHost, error) {
	hp.fh.fl.reads.Add(1)
	return nil, nil
}

// FetchLoad returns the load report of a warm endpoint.
func (fr fakeReporter) FetchLoad(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{StartID: "start", Version: "v1", UptimeMs: time.Since(fr.started).Milliseconds()}, nil
}

// LoadWeights does nothing.
func (fr fakeReporter) LoadWeights(context.Context, string, string, string, uint64) error { return nil }
