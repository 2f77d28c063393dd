package session_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/admission"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/entry"
	"github.com/bergamotway/bergamotway/internal/host"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/membership"
	"github.com/bergamotway/bergamotway/internal/peer"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/service"
	"github.com/bergamotway/bergamotway/internal/settings"
	"github.com/bergamotway/bergamotway/internal/standin/plain"
	"github.com/bergamotway/bergamotway/internal/telemetry"
)

type (
	// world is a fleet in one process, with fakes at its interfaces.
	world struct {
		t        *testing.T
		kv       *fakePlatform
		engines  map[string]*fakeEngine
		stores   map[string]*fakeStore
		desk     *fakeService
		nodes    map[string]*node
		names    []string
		counters map[string]int

		mu    sync.Mutex
		begin time.Time
		lines []string
	}

	// node is one entry host.
	node struct {
		w        *world
		name     string
		address  string
		control  *host.Control
		chat     entry.Handler
		service  entry.Handler
		handlers map[string]peer.Handler
		cancel   context.CancelFunc
		done     chan struct{}

		mu       sync.Mutex
		isDown   bool
		isFrozen bool
		cut      map[string]bool
	}

	// nodeCaller is the network as one host sees it.
	nodeCaller struct {
		from *node
	}
)

const (
	tokenHartlebury = "token-hartlebury"
	tokenCascade    = "token-cascade"
	callLimit       = time.Second
)

var errUnreachable = errors.New("unreachable")

// run runs a session in a bubble with a clock of its own.
func run(t *testing.T, session func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		session(w)
	})
}

func newWorld(t *testing.T) *world {
	w := &world{
		t:        t,
		engines:  make(map[string]*fakeEngine),
		stores:   make(map[string]*fakeStore),
		nodes:    make(map[string]*node),
		counters: make(map[string]int),
		begin:    time.Now(),
	}
	w.kv = newFakePlatform(w)
	w.desk = &fakeService{w: w, plain: plain.New()}
	return w
}

func (w *world) close() {
	for _, nd := range w.nodes {
		nd.stop()
	}
	synctest.Wait()
}

// logf adds a line to the transcript.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3fs  %s", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...)))
}

func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters[name]++
}

func (w *world) counted(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters[name]
}

// golden compares the transcript and the counters with the golden file of the test.
func (w *world) golden() {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.lines, func(a, b string) int { return strings.Compare(a, b) })
	var sb strings.Builder
	for _, line := range w.lines {
		sb.WriteString(line + "\n")
	}
	sb.WriteString("\ncounters\n")
	var names []string
	for name := range w.counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&sb, "  %s %d\n", name, w.counters[name])
	}
	goldie.New(w.t).Assert(w.t, w.t.Name(), []byte(sb.String()))
}

// document returns a configuration with the given endpoints per availability zone.
func document(zones ...string) configuration.Document {
	doc := configuration.Document{
		Models: []configuration.Model{{
			Name: "assistant", Version: "v1", PrefillRate: 20_000, ColdLimit: 2,
			ColdTime: settings.Duration(10 * time.Second),
		}},
		Classes: []configuration.Class{
			{Name: "crew", Model: "assistant", FirstToken: settings.Duration(550 * time.Millisecond)},
			{Name: "draft", Model: "assistant", FirstToken: settings.Duration(10 * time.Second), Priority: 5},
		},
		Teams: []configuration.Team{
			{Name: "hartlebury", TokenHashes: []string{configuration.HashToken(tokenHartlebury)}},
			{Name: "cascade", TokenHashes: []string{configuration.HashToken(tokenCascade)}},
		},
		Services:   []configuration.Service{{Name: "desk", Addresses: []string{"10.0.9.1:80"}, Repeatable: []string{"/stock"}}},
		StoreHosts: []configuration.StoreHost{{Name: "store-1", Address: "10.0.8.1:80", Zone: zones[0]}},
	}
	for i, zone := range zones {
		if !slices.ContainsFunc(doc.Zones, func(z configuration.Zone) bool { return z.Name == zone }) {
			doc.Zones = append(doc.Zones, configuration.Zone{Name: zone})
		}
		doc.Endpoints = append(doc.Endpoints, configuration.Endpoint{
			Name: fmt.Sprintf("engine-%d", i+1), Address: fmt.Sprintf("10.0.7.%d:80", i+1), Zone: zone, Model: "assistant",
		})
	}
	return doc
}

// start publishes the document, starts its back ends warm and the given hosts, and waits until
// all are ready.
func (w *world) start(doc configuration.Document, hosts ...string) {
	for _, ep := range doc.Endpoints {
		w.engines[ep.Address] = newFakeEngine(w, ep.Name, time.Hour)
	}
	for _, sh := range doc.StoreHosts {
		w.stores[sh.Address] = newFakeStore(w, sh.Name)
	}
	_, err := w.change("operator", func(old *configuration.Document) error {
		*old = doc
		return nil
	})
	require.NoError(w.t, err)
	for i, name := range hosts {
		w.startNode(name, fmt.Sprintf("10.0.1.%d:70", i+1))
	}
	time.Sleep(8 * time.Second)
	for _, name := range hosts {
		require.NoError(w.t, w.nodes[name].control.Ready(), name)
	}
	w.begin = time.Now()
	w.mu.Lock()
	w.lines = nil
	w.mu.Unlock()
}

// change changes the configuration as an operator does.
func (w *world) change(author string, edit func(*configuration.Document) error) (uint64, error) {
	return configuration.NewEditor(w.kv, author).Change(context.Background(), edit)
}

func (w *world) startNode(name, address string) *node {
	nd := &node{
		w: w, name: name, address: address, handlers: make(map[string]peer.Handler), cut: make(map[string]bool),
		done: make(chan struct{}),
	}
	var seeds []string
	for _, other := range w.names {
		seeds = append(seeds, w.nodes[other].address)
	}
	clk := clock.System()
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	seed := uint64(len(name)) + uint64(name[len(name)-1])
	nd.control = host.NewControl(host.ControlParts{
		Self:     membership.Member{Name: name, Address: address, Zone: "mid-a", Incarnation: uint64(time.Now().UnixMilli())},
		Clock:    clk,
		Platform: &nodePlatform{nd: nd},
		HasList:  true,
		Caller:   &nodeCaller{from: nd},
		Reporter: &nodeEngines{nd: nd},
		Seeds:    seeds,
		Log:      lg,
		Rand:     rand.New(rand.NewPCG(seed, 1)),
	})
	nd.control.Register(nd)
	nd.assemble(clk, lg, seed)
	ctx, cancel := context.WithCancel(context.Background())
	nd.cancel = cancel
	w.mu.Lock()
	if _, ok := w.nodes[name]; !ok {
		w.names = append(w.names, name)
	}
	w.nodes[name] = nd
	w.mu.Unlock()
	go func() {
		defer close(nd.done)
		_ = nd.control.Run(ctx)
	}()
	return nd
}

func (nd *node) assemble(clk clock.Clock, lg *logrus.Logger, seed uint64) {
	budget := &retry.Budget{}
	runner := dispatch.New(dispatch.Parts{
		Host:      nd.name,
		Clock:     clk,
		Snapshot:  nd.control.Keeper.Snapshot,
		Engines:   &nodeEngines{nd: nd},
		Stores:    &nodeStores{nd: nd},
		Slots:     nd.control.Desk,
		Turns:     nd.control.Turns,
		Registry:  nd.control.Registry,
		Board:     nd.control.Board,
		Budget:    budget,
		Announcer: nd.control,
		Meter:     nd,
		Log:       lg,
		Rand:      rand.New(rand.NewPCG(seed, 2)),
	})
	gate := admission.NewGate(clk, 64)
	nd.chat = entry.ChatChain(nd.control, nd.control.Keeper.Snapshot, nd.control.Board, gate, runner)
	nd.service = entry.ServiceChain(nd.control, nd.control.Keeper.Snapshot, entry.BookOptions{
		Clock: clk, Ledger: nd.control.Bookings, Services: nd.w.desk.as(nd), Budget: budget, Meter: nd,
	})
}

// stop ends a host at once, as a kill does.
func (nd *node) stop() {
	nd.set(func() { nd.isDown = true })
	nd.cancel()
	<-nd.done
}

func (nd *node) set(f func()) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	f()
}

// Register takes a method that other hosts call.
func (nd *node) Register(method string, h peer.Handler) { nd.handlers[method] = h }

// Call calls a method of another host through the fake network.
func (nc *nodeCaller) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	target := nc.from.w.at(address)
	if target == nil || !nc.from.reaches(target) {
		return peer.NewUnreachableError(address, errUnreachable)
	}
	for target.frozen() || nc.from.frozen() {
		select {
		case <-ctx.Done():
			return peer.NewUnreachableError(address, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(200 * time.Microsecond)
	out, err := target.handlers[method](ctx, data)
	if err != nil {
		return peer.NewUnreachableError(address, err)
	}
	if !nc.from.reaches(target) {
		return peer.NewUnreachableError(address, errUnreachable)
	}
	data, err = json.Marshal(out)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify calls a method of another host; the answer does not matter.
func (nc *nodeCaller) Notify(ctx context.Context, address, method string, params any) error {
	return nc.Call(ctx, address, method, params, nil)
}

func (w *world) at(address string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, nd := range w.nodes {
		if nd.address == address {
			return nd
		}
	}
	return nil
}

func (nd *node) reaches(other *node) bool {
	nd.mu.Lock()
	ok := !nd.isDown && !nd.cut[other.name]
	nd.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return ok && !other.isDown && !other.cut[nd.name]
}

func (nd *node) frozen() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.isFrozen
}

// ask sends a chat request through the real chain and returns the whole text, or the refusal.
func (nd *node) ask(id, token, class, text string) (string, error) {
	body, err := json.Marshal(map[string]any{
		"model": class, "messages": []engine.Message{{Role: "user", Content: text}},
	})
	require.NoError(nd.w.t, err)
	began := time.Now()
	answer, first, err := nd.collect(&entry.Request{
		ID: id, Token: token, Received: began, Call: service.Call{Method: "POST", Body: body},
	})
	var re *refusal.Error
	if errors.As(err, &re) {
		nd.w.count("refusals." + re.Code().String())
		nd.w.logf("%s answers %s: refused %s, %s", nd.name, id, re.Code(), re.Run())
		return answer, err
	}
	nd.w.logf("%s answers %s: %q, first token after %v", nd.name, id, answer, first.Sub(began).Round(time.Millisecond))
	return answer, err
}

func (nd *node) collect(rq *entry.Request) (answer string, first time.Time, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rp, err := nd.chat(ctx, rq)
	if err != nil {
		return "", first, err
	}
	defer rp.Close()
	first = time.Now()
	for {
		tok, err := rp.Answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			return answer, first, nil
		}
		if err != nil {
			return answer, first, err
		}
		answer += tok.Text
	}
}

// book sends a booking through the real chain and returns the service's receipt, or the refusal.
func (nd *node) book(token, key, body string) (string, error) {
	rp, err := nd.service(context.Background(), &entry.Request{
		ID: "book-" + key, Token: token, Received: time.Now(),
		Call: service.Call{Method: "POST", Path: "/services/desk/book", Key: key, Body: []byte(body)},
	})
	if err != nil {
		re := refusal.From(err, refusal.MayHaveRun)
		nd.w.count("refusals." + re.Code().String())
		nd.w.logf("%s books %s: refused %s, %s", nd.name, key, re.Code(), re.Run())
		return "", re
	}
	defer rp.Close()
	replay := ""
	if rp.IsReplay {
		replay = ", replayed"
	}
	nd.w.logf("%s books %s: %s%s", nd.name, key, rp.Service.Body, replay)
	return string(rp.Service.Body), nil
}

// Dispatched counts an attempt.
func (nd *node) Dispatched(class string) { nd.w.count("dispatches." + class) }

// Retried counts a retry.
func (nd *node) Retried(reason, _ string) { nd.w.count("retries." + reason) }

// Tokens counts tokens by their source.
func (nd *node) Tokens(source telemetry.TokenSource, n int) {
	nd.w.mu.Lock()
	defer nd.w.mu.Unlock()
	nd.w.counters["tokens."+string(source)] += n
}

// FirstToken is not part of a transcript.
func (nd *node) FirstToken(string, time.Duration) {}

// Spent is not part of a transcript.
func (nd *node) Spent(string, float64) {}

// Moved counts bytes on links.
func (nd *node) Moved(direction string, bytes int64) {
	if bytes > 0 {
		nd.w.count("moves." + direction)
	}
}

func codeOf(err error) refusal.Code { return refusal.From(err, refusal.NotRun).Code() }

func runOf(err error) refusal.Run { return refusal.From(err, refusal.NotRun).Run() }

var _ host.Platform = (*nodePlatform)(nil)

var _ keyvalue.Store = (*fakePlatform)(nil)
