package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	settingsEnv  = "BERGAMOTWAY_SETTINGS"
	streamEvents = 8
	routeTimeout = 4 * time.Second
	leaseMs      = 1500
	pollInterval = 10 * time.Millisecond
)

type (
	// testbed holds the stand-ins, the proxies in front of them and the host processes.
	testbed struct {
		opts            Options
		store           *site.Store
		engines         []*site.Endpoint
		services        []*site.Endpoint
		endpointProxies []*proxy
		hosts           []*process
		// configurationMu is held while a configuration is written.
		configurationMu      sync.Mutex
		configurationVersion int
		weightChanges        int
		faultCounts          faultCounts
		addressMu            sync.Mutex
		usedAddresses        map[string]bool
		// workers are the endpoints that run as processes, and release is the number of their software's newest version.
		workers   []*workerProcess
		release   atomic.Int64
		neighbors neighborhood
		// storeFault is the fault of the metadata store that is in force.
		storeFault atomic.Int32
		leavers    leavers
		teams      teams
		// backup is a copy of the store from which it may be restored; nil if there is none yet.
		backup *site.Backup
		// addFinding records a violation.
		addFinding func(format string, args ...any)
	}
)

func newTestbed(ctx context.Context, opts Options, dir string) (*testbed, error) {
	tb := &testbed{opts: opts, usedAddresses: make(map[string]bool)}
	if err := tb.build(ctx, dir); err != nil {
		// Hosts that have already started would keep running and call whichever process gets the store's
		// address next.
		tb.close()
		return nil, err
	}
	return tb, nil
}

// softwareVersions are the versions of the engines' software; half of the engines have each.
var softwareVersions = [2]string{"v1", "v2"}

// build starts the stand-ins, the proxies and the hosts, and waits until the hosts are ready.
func (tb *testbed) build(ctx context.Context, dir string) error {
	var err error
	if tb.store, err = site.NewStore(); err != nil {
		return err
	}
	if err = tb.addEngines(); err != nil {
		return err
	}
	for i := range 3 {
		if err = tb.addEndpoint(&tb.services, site.EndpointOptions{ID: fmt.Sprint("plain-", i), Service: "desk", Zone: "here"}); err != nil {
			return err
		}
	}
	tb.teams = newTeams(tb.opts)
	if err = tb.writeConfiguration(); err != nil {
		return err
	}
	if tb.opts.hasWorkers() {
		if err = tb.neighbors.serveStore(tb.store); err != nil {
			return err
		}
	}
	for i := range tb.opts.Hosts {
		ho := &process{testbed: tb, name: fmt.Sprint("host-", i)}
		if tb.opts.OldProgram != "" && (!tb.opts.StaysMixed || i%2 == 0) {
			ho.setProgram(tb.opts.OldProgram)
		}
		if ho.storeProxy, err = newProxy(tb.neighbors.storeAddress(tb.store.Address())); err != nil {
			return err
		}
		tb.hosts = append(tb.hosts, ho)
		if err = ho.prepare(dir); err != nil {
			return err
		}
		if err = ho.supervise(ctx); err != nil {
			return err
		}
	}
	return tb.awaitReady(ctx, 15*time.Second)
}

// addEngines starts the engines, and the desk workers that run as processes.
func (tb *testbed) addEngines() error {
	if !tb.opts.hasWorkers() {
		for i := range 4 {
			if err := tb.addEndpoint(&tb.engines, site.EndpointOptions{
				ID: fmt.Sprint("engine-", i), Service: "engines", Zone: "here", Model: site.Model, SoftwareVersion: softwareVersions[i%2], EventCount: streamEvents, EventInterval: 20 * time.Millisecond,
			}); err != nil {
				return err
			}
		}
		return nil
	}
	for i := range tb.opts.Engines {
		if err := tb.addWorker(workerOptions{
			ID: fmt.Sprint("engine-", i), Service: "engines", Model: site.Model, WeightVersion: 1, Software: softwareVersion(0),
			EventCount: workerEvents, Pause: workerPause, UndelimitedPercent: undelimitedPercent, SloppyPercent: tb.opts.SloppyPercent,
		}); err != nil {
			return err
		}
	}
	for i := range tb.opts.Desks {
		if err := tb.addWorker(workerOptions{
			ID: fmt.Sprint("desk-", i), Service: "desk", Software: softwareVersion(0), Pause: deskPause, UndelimitedPercent: deskUndelimitedPercent,
		}); err != nil {
			return err
		}
	}
	return nil
}

// addEndpoint starts an endpoint behind a proxy, appends it to list, and registers it at the proxy's address.
func (tb *testbed) addEndpoint(list *[]*site.Endpoint, opts site.EndpointOptions) error {
	var pr *proxy
	opts.PublicAddress = func(string) string { return pr.address() }
	ep, err := site.NewEndpoint(opts)
	if err != nil {
		return err
	}
	if pr, err = newProxy(ep.Address()); err != nil {
		return err
	}
	tb.endpointProxies = append(tb.endpointProxies, pr)
	*list = append(*list, ep)
	return tb.registerEndpoint(ep, "ready")
}

// registerEndpoint writes the endpoint's entry to the metadata store.
func (tb *testbed) registerEndpoint(ep *site.Endpoint, state string) error {
	key, value := ep.Entry(state)
	_, err := tb.store.Put(key, value)
	return err
}

// writeConfiguration writes the operator's configuration under the next version.
func (tb *testbed) writeConfiguration() error {
	tb.configurationMu.Lock()
	defer tb.configurationMu.Unlock()
	return tb.writeVersion()
}

// writeVersion is writeConfiguration for callers that hold configurationMu.
func (tb *testbed) writeVersion() error {
	tb.configurationVersion++
	tb.store.SetTeams(tb.teams.settings()...)
	defer tb.teams.begin()()
	return tb.store.Configure(tb.configurationVersion, "",
		site.Route{Name: "pay", Kind: "non_idempotent", Service: "desk", MaxAttempts: 2, Timeout: routeTimeout},
		site.Route{Name: "look", Kind: "idempotent", Service: "desk", MaxAttempts: 2, Timeout: routeTimeout},
		site.Route{Name: "note", Kind: "streaming", Service: "engines", MaxAttempts: 2, Timeout: routeTimeout},
		site.Route{Name: "query", Kind: "streaming", Service: "engines", MaxAttempts: 2, Resumable: true, Timeout: routeTimeout},
	)
}

// injectFaults injects random faults for opts.Length.
func (tb *testbed) injectFaults(ctx context.Context, rd *rand.Rand) {
	deadline := time.Now().Add(tb.opts.Length)
	// A source of its own leaves the other faults of a seed as they were.
	statements := rand.New(rand.NewSource(^tb.opts.Seed))
	pause := time.Duration(1)
	if tb.opts.hasWorkers() {
		pause = workerFaultPause
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if !tb.opts.WithoutFaults {
			tb.injectFault(rd)
			tb.injectStatementFault(statements)
		}
		time.Sleep(pause * (minFaultInterval + time.Duration(rd.Int63n(int64(maxFaultInterval-minFaultInterval)))))
	}
}

// injectFault injects one random fault. Faults with a duration are undone in the background.
func (tb *testbed) injectFault(rd *rand.Rand) {
	ho := tb.hosts[rd.Intn(len(tb.hosts))]
	endpoints := append(slices.Clone(tb.engines), tb.services...)
	idx := rd.Intn(len(endpoints))
	duration := time.Duration(rd.Int63n(int64(maxFaultDuration)))
	undoLater := func(undo func()) {
		time.AfterFunc(duration, undo)
	}
	isLeaving := tb.leavers.contains(endpoints[idx])
	faults := []struct {
		name string
		do   func()
	}{
		{"kill", func() { ho.signal(syscall.SIGKILL) }},
		{"stop", func() { ho.signal(syscall.SIGTERM) }},
		{"reload", func() { ho.signal(syscall.SIGHUP) }},
		{"pause", func() { ho.signal(syscall.SIGSTOP); undoLater(func() { ho.signal(syscall.SIGCONT) }) }},
		{"store-proxy", func() {
			ho.storeProxy.setMode([]proxyMode{modeSlow, modeBlackhole, modeDropResponses, modeRefuse}[rd.Intn(4)])
			undoLater(func() { ho.storeProxy.setMode(modePass); ho.storeProxy.resetAll() })
		}},
		{"store", func() {
			tb.setStoreFault([]site.StoreFault{site.StoreUnavailable, site.StoreUnresponsive, site.StoreLosesResponses}[rd.Intn(3)])
			undoLater(func() { tb.setStoreFault(site.NoStoreFault) })
		}},
		{"store-forgets", tb.store.CompactHistory},
		{"endpoint-proxy", func() {
			tb.endpointProxies[idx].setMode([]proxyMode{modeSlow, modeBlackhole, modeDropResponses, modeRefuse}[rd.Intn(4)])
			undoLater(func() { tb.endpointProxies[idx].setMode(modePass) })
		}},
		{"endpoint-reset", tb.endpointProxies[idx].resetAll},
		{"flaw", func() {
			for range 1 + rd.Intn(6) {
				endpoints[idx].InjectFaults(site.EndpointFault(1 + rd.Intn(int(site.CloseDelimited))))
			}
		}},
		{"configuration", func() { tb.printError(tb.writeConfiguration()) }},
		{"weights", func() {
			tb.weightChanges++
			tb.printError(tb.store.SetWeightVersion(1 + tb.weightChanges))
		}},
		{"lapse", func() {
			key, _ := endpoints[idx].Entry("ready")
			tb.store.Remove(key)
			undoLater(func() { tb.printError(tb.registerEndpoint(endpoints[idx], "ready")) })
		}},
	}
	fa := faults[rd.Intn(len(faults))]
	if isLeaving && slices.Contains([]string{"endpoint-proxy", "endpoint-reset", "flaw", "lapse"}, fa.name) {
		return
	}
	tb.faultCounts.add(fa.name)
	fa.do()
}

// setStoreFault sets the fault of the metadata store. A later fault replaces one that is in force.
func (tb *testbed) setStoreFault(fa site.StoreFault) {
	tb.storeFault.Store(int32(fa))
	tb.store.SetFault(fa)
}

// isStoreAway reports whether the metadata store takes no entries.
func (tb *testbed) isStoreAway() bool {
	return site.StoreFault(tb.storeFault.Load()) != site.NoStoreFault
}

// printError prints an error of the soak test itself, if there is one.
func (tb *testbed) printError(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(tb.opts.Out, "soak:", err)
	}
}

// clearFaults waits until the last fault has ended, and restores the stand-ins, the proxies and the paused processes.
func (tb *testbed) clearFaults() {
	time.Sleep(leavingSettleTime + maxFaultDuration)
	tb.setStoreFault(site.NoStoreFault)
	tb.neighbors.joinAll()
	for _, pr := range tb.endpointProxies {
		pr.setMode(modePass)
	}
	for _, ep := range append(slices.Clone(tb.engines), tb.services...) {
		ep.ClearFaults()
		tb.printError(tb.registerEndpoint(ep, "ready"))
	}
	for _, wp := range tb.workers {
		tb.printError(wp.start(wp.options().ID, wp.options().Software))
		tb.printError(wp.register("ready"))
	}
	for _, ho := range tb.hosts {
		ho.storeProxy.setMode(modePass)
		ho.signal(syscall.SIGCONT)
	}
}

// awaitReady waits until all hosts report that they are ready.
func (tb *testbed) awaitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, ho := range tb.hosts {
		for !ho.isReady(ctx) {
			if time.Now().After(deadline) {
				return errors.Errorf("soak: %s is not ready after %v", ho.name, timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (tb *testbed) close() {
	for _, ho := range tb.hosts {
		ho.kill()
		ho.storeProxy.close()
	}
	for _, ep := range append(slices.Clone(tb.engines), tb.services...) {
		ep.Close()
	}
	for _, wp := range tb.workers {
		wp.kill()
	}
	for _, pr := range tb.endpointProxies {
		pr.close()
	}
	tb.neighbors.close()
	if tb.store != nil {
		tb.store.Close()
	}
}
