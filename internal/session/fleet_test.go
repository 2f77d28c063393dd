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
	// fleet runs several hosts in one process, with fakes for the network, the platform and the
	// back ends. It records a transcript and counters that golden files are compared with.
	fleet struct {
		t         *testing.T
		platform  *fakePlatform
		engines   map[string]*fakeEngine
		stores    map[string]*fakeStore
		service   *fakeService
		nodes     map[string]*node
		hostNames []string
		counters  map[string]int

		mu         sync.Mutex
		startTime  time.Time
		transcript []string
	}

	// node is one entry host: its real controller and filter chains, and its faults.
	node struct {
		fleet        *fleet
		name         string
		address      string
		controlPlane *host.ControlPlane
		chatChain    entry.Handler
		serviceChain entry.Handler
		handlers     map[string]peer.Handler
		cancel       context.CancelFunc
		done         chan struct{}

		mu       sync.Mutex
		isDown   bool
		isFrozen bool
		// cutFrom holds the names of the hosts that the host can't reach, and "platform" if it can't
		// reach the platform.
		cutFrom map[string]bool
	}

	// nodeCaller is the peer.Caller of one host. It delivers calls to the other nodes of the
	// fleet and applies the faults of both ends.
	nodeCaller struct {
		from *node
	}
)

const (
	tokenHartlebury = "token-hartlebury"
	tokenCascade    = "token-cascade"
	callTimeout     = time.Second
)

var errUnreachable = errors.New("unreachable")

// runScenario runs a scenario on a new fleet in a synctest bubble, which has its own fake clock.
func runScenario(t *testing.T, scenario func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t)
		defer fl.close()
		scenario(fl)
	})
}

func newFleet(t *testing.T) *fleet {
	fl := &fleet{
		t:         t,
		engines:   make(map[string]*fakeEngine),
		stores:    make(map[string]*fakeStore),
		nodes:     make(map[string]*node),
		counters:  make(map[string]int),
		startTime: time.Now(),
	}
	fl.platform = newFakePlatform(fl)
	fl.service = &fakeService{fleet: fl, record: plain.New()}
	return fl
}

// close kills all hosts and waits until their goroutines are blocked or done.
func (fl *fleet) close() {
	for _, nd := range fl.nodes {
		nd.kill()
	}
	synctest.Wait()
}

// logf adds a line to the transcript, prefixed with the time since the start of the scenario.
func (fl *fleet) logf(format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.transcript = append(fl.transcript, fmt.Sprintf("%8.3fs  %s", time.Since(fl.startTime).Seconds(), fmt.Sprintf(format, args...)))
}

func (fl *fleet) incrementCounter(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.counters[name]++
}

func (fl *fleet) counter(name string) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.counters[name]
}

// assertGolden compares the transcript, sorted by time, and the counters with the golden file of the
// test.
func (fl *fleet) assertGolden() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	slices.SortStableFunc(fl.transcript, func(a, b string) int { return strings.Compare(a, b) })
	var sb strings.Builder
	for _, line := range fl.transcript {
		sb.WriteString(line + "\n")
	}
	sb.WriteString("\ncounters\n")
	var names []string
	for name := range fl.counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&sb, "  %s %d\n", name, fl.counters[name])
	}
	goldie.New(fl.t).Assert(fl.t, fl.t.Name(), []byte(sb.String()))
}

// newDocument returns a configuration with one endpoint for each element of zones, which may repeat a
// zone, and with two classes, two teams, a service and a store host.
func newDocument(zones ...string) configuration.Document {
	doc := configuration.Document{
		Models: []configuration.Model{{
			Name: "assistant", Version: "v1", PrefillRate: 20_000, ColdRequestLimit: 2,
			ColdStartTime: settings.Duration(10 * time.Second),
		}},
		Classes: []configuration.Class{
			{Name: "crew", Model: "assistant", FirstTokenTarget: settings.Duration(550 * time.Millisecond)},
			{Name: "draft", Model: "assistant", FirstTokenTarget: settings.Duration(10 * time.Second), Priority: 5},
		},
		Teams: []configuration.Team{
			{Name: "hartlebury", TokenHashes: []string{configuration.HashToken(tokenHartlebury)}},
			{Name: "cascade", TokenHashes: []string{configuration.HashToken(tokenCascade)}},
		},
		Services:   []configuration.Service{{Name: "desk", Addresses: []string{"10.0.9.1:80"}, IdempotentPrefixes: []string{"/stock"}}},
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

// start publishes the document, starts its back ends and the given hosts, and waits until all hosts
// are ready. The engines count as running for an hour, so that none is in its cold start. The
// transcript and its clock begin after that.
func (fl *fleet) start(doc configuration.Document, names ...string) {
	for _, ep := range doc.Endpoints {
		fl.engines[ep.Address] = newFakeEngine(fl, ep.Name, time.Hour)
	}
	for _, sh := range doc.StoreHosts {
		fl.stores[sh.Address] = newFakeStore(fl, sh.Name)
	}
	_, err := fl.changeConfiguration("operator", func(old *configuration.Document) error {
		*old = doc
		return nil
	})
	require.NoError(fl.t, err)
	for i, name := range names {
		fl.startNode(name, fmt.Sprintf("10.0.1.%d:70", i+1))
	}
	time.Sleep(8 * time.Second)
	for _, name := range names {
		require.NoError(fl.t, fl.nodes[name].controlPlane.Ready(), name)
	}
	fl.startTime = time.Now()
	fl.mu.Lock()
	fl.transcript = nil
	fl.mu.Unlock()
}

// changeConfiguration edits the configuration through the same editor as an operator's tool.
func (fl *fleet) changeConfiguration(author string, edit func(*configuration.Document) error) (uint64, error) {
	return configuration.NewEditor(fl.platform, author).Change(context.Background(), edit)
}

// startNode starts a host in the availability zone mid-a, with all earlier hosts as its seeds. A host
// with the name of an earlier one replaces it.
func (fl *fleet) startNode(name, address string) *node {
	nd := &node{
		fleet: fl, name: name, address: address, handlers: make(map[string]peer.Handler), cutFrom: make(map[string]bool),
		done: make(chan struct{}),
	}
	var seeds []string
	for _, other := range fl.hostNames {
		seeds = append(seeds, fl.nodes[other].address)
	}
	clk := clock.System()
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	seed := uint64(len(name)) + uint64(name[len(name)-1])
	nd.controlPlane = host.NewControlPlane(host.ControlPlaneOptions{
		Self:        membership.Member{Name: name, Address: address, Zone: "mid-a", Incarnation: uint64(time.Now().UnixMilli())},
		Clock:       clk,
		Platform:    &nodePlatform{node: nd},
		HasHostList: true,
		Caller:      &nodeCaller{from: nd},
		Engines:     &nodeEngines{node: nd},
		Seeds:       seeds,
		Log:         lg,
		Rand:        rand.New(rand.NewPCG(seed, 1)),
	})
	nd.controlPlane.Register(nd)
	nd.buildChains(clk, lg, seed)
	ctx, cancel := context.WithCancel(context.Background())
	nd.cancel = cancel
	fl.mu.Lock()
	if _, ok := fl.nodes[name]; !ok {
		fl.hostNames = append(fl.hostNames, name)
	}
	fl.nodes[name] = nd
	fl.mu.Unlock()
	go func() {
		defer close(nd.done)
		_ = nd.controlPlane.Run(ctx)
	}()
	return nd
}

// buildChains builds the filter chains for chat and services as an entry host does.
func (nd *node) buildChains(clk clock.Clock, lg *logrus.Logger, seed uint64) {
	budget := &retry.Budget{}
	runner := dispatch.New(dispatch.Dependencies{
		Host:          nd.name,
		Clock:         clk,
		Snapshot:      nd.controlPlane.Configuration.Snapshot,
		Engines:       &nodeEngines{node: nd},
		Stores:        &nodeStores{node: nd},
		Slots:         nd.controlPlane.SlotBroker,
		LinkScheduler: nd.controlPlane.LinkBroker,
		Registry:      nd.controlPlane.Endpoints,
		Quarantine:    nd.controlPlane.Quarantine,
		RetryBudget:   budget,
		Announcer:     nd.controlPlane,
		Meter:         nd,
		Log:           lg,
		Rand:          rand.New(rand.NewPCG(seed, 2)),
	})
	limiter := admission.NewLimiter(clk, 64)
	nd.chatChain = entry.ChatChain(nd.controlPlane, nd.controlPlane.Configuration.Snapshot, nd.controlPlane.Quarantine, limiter, runner)
	nd.serviceChain = entry.ServiceChain(nd.controlPlane, nd.controlPlane.Configuration.Snapshot, entry.ServiceOptions{
		Clock: clk, Ledger: nd.controlPlane.BookingRouter, Services: nd.fleet.service.forNode(nd), Budget: budget, Meter: nd,
	})
}

// kill makes a host unreachable and ends its controller without a planned leave.
func (nd *node) kill() {
	nd.withLock(func() { nd.isDown = true })
	nd.cancel()
	<-nd.done
}

// withLock runs f while holding the lock that guards the faults.
func (nd *node) withLock(f func()) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	f()
}

// Register registers the handler of a method that other hosts call.
func (nd *node) Register(method string, h peer.Handler) { nd.handlers[method] = h }

// Call calls a method of another host. While either host is frozen the call waits, at most
// callTimeout. If the hosts can't reach each other after the handler has run, the response is lost.
func (nc *nodeCaller) Call(ctx context.Context, address, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := nc.from.fleet.nodeAt(address)
	if target == nil || !nc.from.canReach(target) {
		return peer.NewUnreachableError(address, errUnreachable)
	}
	for target.isFrozenNow() || nc.from.isFrozenNow() {
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
	response, err := target.handlers[method](ctx, data)
	if err != nil {
		return peer.NewUnreachableError(address, err)
	}
	if !nc.from.canReach(target) {
		return peer.NewUnreachableError(address, errUnreachable)
	}
	data, err = json.Marshal(response)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Notify calls a method of another host and discards its response.
func (nc *nodeCaller) Notify(ctx context.Context, address, method string, params any) error {
	return nc.Call(ctx, address, method, params, nil)
}

// nodeAt returns the host with a peer address, or nil.
func (fl *fleet) nodeAt(address string) *node {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, nd := range fl.nodes {
		if nd.address == address {
			return nd
		}
	}
	return nil
}

// canReach reports whether both hosts are up and neither is cut from the other.
func (nd *node) canReach(other *node) bool {
	nd.mu.Lock()
	ok := !nd.isDown && !nd.cutFrom[other.name]
	nd.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return ok && !other.isDown && !other.cutFrom[nd.name]
}

// isFrozenNow returns isFrozen under the lock.
func (nd *node) isFrozenNow() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.isFrozen
}

// sendChat sends a chat request through the real filter chain. It returns the text received and, if
// the request failed, the refusal.
func (nd *node) sendChat(id, token, class, prompt string) (string, error) {
	body, err := json.Marshal(map[string]any{
		"model": class, "messages": []engine.Message{{Role: "user", Content: prompt}},
	})
	require.NoError(nd.fleet.t, err)
	receivedAt := time.Now()
	answer, firstTokenAt, err := nd.collectAnswer(&entry.Request{
		ID: id, Token: token, Received: receivedAt, Call: service.Request{Method: "POST", Body: body},
	})
	var re *refusal.Error
	if errors.As(err, &re) {
		nd.fleet.incrementCounter("refusals." + re.Code().String())
		nd.fleet.logf("%s answers %s: refused %s, %s", nd.name, id, re.Code(), re.Execution())
		return answer, err
	}
	nd.fleet.logf("%s answers %s: %q, first token after %v", nd.name, id, answer, firstTokenAt.Sub(receivedAt).Round(time.Millisecond))
	return answer, err
}

func (nd *node) collectAnswer(rq *entry.Request) (answer string, firstTokenAt time.Time, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rp, err := nd.chatChain(ctx, rq)
	if err != nil {
		return "", firstTokenAt, err
	}
	defer rp.Close()
	firstTokenAt = time.Now()
	for {
		tok, err := rp.Answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			return answer, firstTokenAt, nil
		}
		if err != nil {
			return answer, firstTokenAt, err
		}
		answer += tok.Text
	}
}

// sendBooking sends a booking through the real filter chain and returns the service's receipt or the
// refusal.
func (nd *node) sendBooking(token, key, body string) (string, error) {
	rp, err := nd.serviceChain(context.Background(), &entry.Request{
		ID: "book-" + key, Token: token, Received: time.Now(),
		Call: service.Request{Method: "POST", Path: "/services/desk/book", IdempotencyKey: key, Body: []byte(body)},
	})
	if err != nil {
		re := refusal.FromError(err, refusal.MayHaveRun)
		nd.fleet.incrementCounter("refusals." + re.Code().String())
		nd.fleet.logf("%s books %s: refused %s, %s", nd.name, key, re.Code(), re.Execution())
		return "", re
	}
	defer rp.Close()
	replay := ""
	if rp.IsReplay {
		replay = ", replayed"
	}
	nd.fleet.logf("%s books %s: %s%s", nd.name, key, rp.ServiceResponse.Body, replay)
	return string(rp.ServiceResponse.Body), nil
}

// Dispatched counts an attempt of a class.
func (nd *node) Dispatched(class string) { nd.fleet.incrementCounter("dispatches." + class) }

// Retried counts a retry by its reason.
func (nd *node) Retried(reason, _ string) { nd.fleet.incrementCounter("retries." + reason) }

// AddHistoryTokens counts prompt tokens by source: reused, imported or recomputed.
func (nd *node) AddHistoryTokens(source telemetry.TokenSource, n int) {
	nd.fleet.mu.Lock()
	defer nd.fleet.mu.Unlock()
	nd.fleet.counters["tokens."+string(source)] += n
}

// ObserveFirstToken does nothing: the transcript has the time to the first token of each answer.
func (nd *node) ObserveFirstToken(string, time.Duration) {}

// AddAcceleratorTime does nothing: accelerator time is not compared.
func (nd *node) AddAcceleratorTime(string, float64) {}

// AddLinkBytes counts the transfers of at least one byte by their direction.
func (nd *node) AddLinkBytes(direction string, bytes int64) {
	if bytes > 0 {
		nd.fleet.incrementCounter("moves." + direction)
	}
}

// codeOf returns the code of a refusal.
func codeOf(err error) refusal.Code { return refusal.FromError(err, refusal.NotRun).Code() }

// runStateOf returns whether the refused call may have run.
func runStateOf(err error) refusal.ExecutionState {
	return refusal.FromError(err, refusal.NotRun).Execution()
}

var _ host.Platform = (*nodePlatform)(nil)

var _ keyvalue.Store = (*fakePlatform)(nil)
