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

func (fl *fleet) start(ctx context.Context, i int, seeds []string) (*member, error) {
	me := &member{fl: fl, done: make(chan struct{})}
	me.server = peer.NewServer(nil, me)
	if fl.n <= tcpLimit {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "control: listen")
		}
		me.listener, me.pool = ln, peer.NewPool(nil, me)
	} else {
		me.listener = fl.pipes.listen(fmt.Sprintf("127.2.%d.%d:70", i/250, 1+i%250))
		me.pool = peer.NewPoolOver(fl.pipes.dial, nil, me)
	}
	ln := me.listener
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	lg.SetLevel(logrus.PanicLevel)
	clk := clock.System()
	me.control = host.NewControl(host.ControlParts{
		Self: membership.Member{
			Name: fmt.Sprintf("entry-%d", i), Address: ln.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%zones),
			Incarnation: uint64(clk.Now().UnixMilli()),
		},
		Clock:    clk,
		Platform: &memberPlatform{me: me},
		HasList:  true,
		Caller:   me.pool,
		Reporter: fakeReporter{started: clk.Now().Add(-time.Hour)},
		Seeds:    seeds,
		Log:      lg,
	})
	me.control.Register(me.server)
	ctx, me.cancel = context.WithCancel(ctx)
	go func() { _ = me.server.Serve(ctx, ln) }()
	go func() {
		defer close(me.done)
		_ = me.control.Run(ctx)
	}()
	return me, nil
}

// traffic asks the owners of endpoints for places as the requests of one host do.
func (me *member) traffic(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		wait := time.Duration(rand.ExpFloat64() / requestsPerHost * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		go me.request(ctx, i)
	}
}

func (me *member) request(ctx context.Context, i int) {
	name := fmt.Sprintf("engine-%d", rand.IntN(me.fl.n*workersPerHost))
	root := slot.ShortRoot(fmt.Sprintf("%032x", i))
	me.fl.asked.Add(1)
	ans, err := me.control.Desk.Take(ctx, slot.Ask{
		Endpoint: name, Host: me.control.Self.Name, Root: root, Tokens: 16000,
	})
	if err != nil || ans.Grant == "" {
		return
	}
	me.fl.answered.Add(1)
	select {
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
	me.control.Desk.Release(ctx, slot.Release{Endpoint: name, Grant: ans.Grant, Root: root, Resident: 16000, StartID: ans.StartID})
}

func (me *member) stop() {
	me.cancel()
	_ = me.listener.Close()
	me.server.Close()
	me.pool.Close()
	<-me.done
}

// ControlBytes counts control traffic.
func (me *member) ControlBytes(sent, received int) { me.bytes.Add(int64(sent + received)) }

// Get reads an entry.
func (mp *memberPlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	mp.me.fl.reads.Add(1)
	return mp.me.fl.kv.Get(ctx, purpose, key)
}

// List reads entries.
func (mp *memberPlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	mp.me.fl.reads.Add(1)
	return mp.me.fl.kv.List(ctx, purpose, prefix)
}

// Watch waits for a change; on a host whose watches are silent it shows none.
func (mp *memberPlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	mp.me.fl.reads.Add(1)
	if !mp.me.isSilent.Load() {
		return mp.me.fl.kv.Watch(ctx, purpose, key, after, bound)
	}
	select {
	case <-ctx.Done():
	case <-time.After(bound):
	}
	return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch", context.DeadlineExceeded)
}

// CompareAndSwap writes.
func (mp *memberPlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	mp.me.fl.write.Add(1)
	return mp.me.fl.kv.CompareAndSwap(ctx, purpose, wr)
}

// Hosts returns an empty list. It is another service, but its reads are counted all the same.
func (mp *memberPlatform) Hosts(context.Context) ([]keyvalue.ListedHost, error) {
	mp.me.fl.reads.Add(1)
	return nil, nil
}

// Load returns the report of a warm endpoint.
func (fr fakeReporter) Load(context.Context, string) (engine.Load, error) {
	return engine.Load{StartID: "start", Version: "v1", UptimeMs: time.Since(fr.started).Milliseconds()}, nil
}

// LoadWeights does nothing.
func (fr fakeReporter) LoadWeights(context.Context, string, string, string, uint64) error { return nil }
