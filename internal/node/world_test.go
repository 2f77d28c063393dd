package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/internal/telemetry"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	model    = site.Model
	timeout  = 3 * time.Second
	patience = 8 * time.Second
	tick     = 5 * time.Millisecond
)

type (
	// world is a metadata store with endpoints, and hosts in this process.
	world struct {
		t       *testing.T
		store   *site.Store
		engines []*site.Endpoint
		plain   []*site.Endpoint
		cache   *site.Endpoint
		version int
		number  atomic.Int64
	}

	// result is what a client got.
	result struct {
		status   int
		header   http.Header
		body     string
		complete bool
		err      error
	}
)

func newWorld(t *testing.T, engines, plain int) *world {
	st, err := site.NewStore()
	require.NoError(t, err)
	t.Cleanup(st.Close)
	wo := &world{t: t, store: st, version: 1}
	for i := range engines {
		wo.engines = append(wo.engines, wo.endpoint(site.EndpointOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: "here", Model: model, Events: 8, Pause: 2 * time.Millisecond,
		}))
	}
	for i := range plain {
		wo.plain = append(wo.plain, wo.endpoint(site.EndpointOptions{ID: fmt.Sprintf("plain-%d", i), Service: "desk", Zone: "here"}))
	}
	wo.cache = wo.endpoint(site.EndpointOptions{ID: "cache", Cache: true})
	return wo
}

func (wo *world) endpoint(opts site.EndpointOptions) *site.Endpoint {
	ep, err := site.NewEndpoint(opts)
	require.NoError(wo.t, err)
	wo.t.Cleanup(ep.Close)
	if !opts.Cache {
		wo.enter(ep, "ready")
	}
	return ep
}

func (wo *world) enter(ep *site.Endpoint, state string) {
	name, value := ep.Entry(state)
	_, err := wo.store.Put(name, value)
	require.NoError(wo.t, err)
}

// configure writes the operator's configuration with more routes than the usual ones.
func (wo *world) configure(more ...site.Route) {
	wo.version++
	routes := append([]site.Route{
		{Name: "pay", Kind: "non_idempotent", Service: "desk", Attempts: 3, Timeout: timeout},
		{Name: "look", Kind: "idempotent", Service: "desk", Attempts: 2, Timeout: timeout},
		{Name: "note", Kind: "streaming", Service: "engines", Attempts: 2, Timeout: timeout},
		{Name: "query", Kind: "streaming", Service: "engines", Attempts: 2, Resumable: true, Timeout: timeout},
	}, more...)
	require.NoError(wo.t, wo.store.Configure(wo.version, wo.cache.Address(), routes...))
}

// host starts a host and returns it with what stops it.
func (wo *world) host(name string) (*node.Node, context.CancelFunc) {
	meter, err := telemetry.New()
	require.NoError(wo.t, err)
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	engines := platform.NewEngines()
	no, err := node.New(node.Settings{
		Name: name, Zone: "here", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Store: wo.store.Address(),
		Bounds: node.Bounds{
			StopMs: 6000, ApplyMs: 2000, LeaseMs: 1200, WeightsMs: 15000, RepeatRatio: 0.2, RepeatWindowS: 10, RepeatSlack: 50,
		},
	}, node.World{
		Store: platform.NewStore(wo.store.Address(), nil), Decoder: platform.Decoder{}, Codec: platform.Codec{},
		Caches: engines, Engines: engines, Meter: meter,
	}, lg)
	require.NoError(wo.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = no.Run(ctx)
	}()
	wo.t.Cleanup(func() {
		cancel()
		<-done
	})
	return no, cancel
}

// ready starts a host and waits until it is ready and knows all endpoints.
func (wo *world) ready(name string) *node.Node {
	no, _ := wo.host(name)
	wo.await(no, true)
	return no
}

func (wo *world) await(no *node.Node, ready bool) {
	require.Eventually(wo.t, func() bool { return wo.isReady(no) == ready }, patience, tick)
}

func (wo *world) isReady(no *node.Node) bool {
	rsp, err := http.Get("http://" + no.ReadyAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = rsp.Body.Close() }()
	return rsp.StatusCode == http.StatusOK
}

// id returns an identifier for a request.
func (wo *world) id() string { return fmt.Sprintf("request-%d", wo.number.Add(1)) }

// send sends a request on a connection of its own and reads the answer to its end.
func (wo *world) send(no *node.Node, method, uri, id, body string, hd map[string]string) result {
	return wo.sendContext(context.Background(), no, method, uri, id, body, hd)
}

func (wo *world) sendContext(ctx context.Context, no *node.Node, method, uri, id, body string, hd map[string]string) result {
	tr := &http.Transport{DisableKeepAlives: true}
	re := site.Send(ctx, tr, no.Address(), site.Request{
		ID: id, Method: method, URI: uri, Body: []byte(body), Limit: timeout, Header: hd,
	})
	return result{status: re.Status, header: re.Header, body: re.Body, complete: re.Complete, err: re.Err}
}

// prompt returns the headers of a request to an engine.
func prompt() map[string]string {
	return map[string]string{"X-Model": model, "X-Token-Usage": "900,20", "X-Prompt-Prefix": "aa01:300,bb02:400,cc03:200"}
}

// ran returns the runs of a request at all endpoints.
func (wo *world) ran(id string) []site.Run {
	var out []site.Run
	for _, ep := range append(append([]*site.Endpoint(nil), wo.engines...), wo.plain...) {
		for _, ru := range ep.Runs() {
			if ru.ID == id {
				out = append(out, ru)
			}
		}
	}
	return out
}
