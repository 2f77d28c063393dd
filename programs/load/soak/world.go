package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	settingsVariable = "BERGAMOTWAY_SETTINGS"
	events           = 8
	routeTimeout     = 4 * time.Second
	leaseMs          = 1500
	pollPeriod       = 10 * time.Millisecond
)

type (
	// world is the stand-ins, the proxies and the processes.
	world struct {
		op      options
		store   *site.Store
		engines []*site.Endpoint
		plain   []*site.Endpoint
		behind  []*proxy
		hosts   []*process
		version int
		weights int
		names   map[string]int
		given   map[string]bool
	}

	// process is one host, started again whenever it ends.
	process struct {
		world  *world
		name   string
		listen string
		ready  string
		path   string
		store  *proxy
		stop   func()
		log    *os.File

		mu  sync.Mutex
		cmd *exec.Cmd
	}
)

func newWorld(ctx context.Context, op options, dir string) (*world, error) {
	wo := &world{op: op, names: make(map[string]int), given: make(map[string]bool)}
	if err := wo.build(ctx, dir); err != nil {
		// Hosts that have started would go on, and call whoever gets the store's address next.
		wo.close()
		return nil, err
	}
	return wo, nil
}

func (wo *world) build(ctx context.Context, dir string) error {
	var err error
	if wo.store, err = site.NewStore(); err != nil {
		return err
	}
	for i := range 4 {
		if err = wo.endpoint(&wo.engines, site.EndpointOptions{
			ID: fmt.Sprint("engine-", i), Service: "engines", Zone: "here", Model: site.Model, Events: events, Pause: 20 * time.Millisecond,
		}); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err = wo.endpoint(&wo.plain, site.EndpointOptions{ID: fmt.Sprint("plain-", i), Service: "desk", Zone: "here"}); err != nil {
			return err
		}
	}
	if err = wo.configure(); err != nil {
		return err
	}
	for i := range wo.op.hosts {
		ho := &process{world: wo, name: fmt.Sprint("host-", i)}
		if ho.store, err = newProxy(wo.store.Address()); err != nil {
			return err
		}
		wo.hosts = append(wo.hosts, ho)
		if err = ho.prepare(dir); err != nil {
			return err
		}
		if err = ho.start(ctx); err != nil {
			return err
		}
	}
	return wo.await(ctx, 15*time.Second)
}

func (wo *world) endpoint(list *[]*site.Endpoint, opts site.EndpointOptions) error {
	var pr *proxy
	opts.Public = func(string) string { return pr.address() }
	ep, err := site.NewEndpoint(opts)
	if err != nil {
		return err
	}
	if pr, err = newProxy(ep.Address()); err != nil {
		return err
	}
	wo.behind = append(wo.behind, pr)
	*list = append(*list, ep)
	return wo.enter(ep, "ready")
}

func (wo *world) enter(ep *site.Endpoint, state string) error {
	key, value := ep.Entry(state)
	_, err := wo.store.Put(key, value)
	return err
}

func (wo *world) configure() error {
	wo.version++
	return wo.store.Configure(wo.version, "",
		site.Route{Name: "pay", Kind: "non_idempotent", Service: "desk", Attempts: 2, Timeout: routeTimeout},
		site.Route{Name: "look", Kind: "idempotent", Service: "desk", Attempts: 2, Timeout: routeTimeout},
		site.Route{Name: "note", Kind: "streaming", Service: "engines", Attempts: 2, Timeout: routeTimeout},
		site.Route{Name: "query", Kind: "streaming", Service: "engines", Attempts: 2, Resumable: true, Timeout: routeTimeout},
	)
}

// harm injects faults until the length is over, and returns how many of each kind.
func (wo *world) harm(ctx context.Context, rd *rand.Rand) string {
	deadline := time.Now().Add(wo.op.length)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		wo.fault(rd)
		time.Sleep(faultLeast + time.Duration(rd.Int63n(int64(faultMost-faultLeast))))
	}
	var out []string
	for name, n := range wo.names {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

func (wo *world) fault(rd *rand.Rand) {
	ho := wo.hosts[rd.Intn(len(wo.hosts))]
	all := append(slices.Clone(wo.engines), wo.plain...)
	ep := rd.Intn(len(all))
	during := time.Duration(rd.Int63n(int64(faultFor)))
	later := func(undo func()) {
		time.AfterFunc(during, undo)
	}
	choices := []struct {
		name string
		do   func()
	}{
		{"kill", func() { ho.signal(syscall.SIGKILL) }},
		{"stop", func() { ho.signal(syscall.SIGTERM) }},
		{"reload", func() { ho.signal(syscall.SIGHUP) }},
		{"pause", func() { ho.signal(syscall.SIGSTOP); later(func() { ho.signal(syscall.SIGCONT) }) }},
		{"store-proxy", func() {
			ho.store.set([]mode{slow, silent, oneWay, refuse}[rd.Intn(4)])
			later(func() { ho.store.set(pass); ho.store.reset() })
		}},
		{"store", func() {
			wo.store.Break([]site.Fault{site.Busy, site.Silent, site.Forgetful}[rd.Intn(3)])
			later(func() { wo.store.Break(site.Sound) })
		}},
		{"store-forgets", wo.store.Forget},
		{"endpoint-proxy", func() {
			wo.behind[ep].set([]mode{slow, silent, oneWay, refuse}[rd.Intn(4)])
			later(func() { wo.behind[ep].set(pass) })
		}},
		{"endpoint-reset", wo.behind[ep].reset},
		{"flaw", func() {
			for range 1 + rd.Intn(6) {
				all[ep].Spoil(site.Flaw(1 + rd.Intn(int(site.Unframed))))
			}
		}},
		{"configuration", func() { wo.report(wo.configure()) }},
		{"weights", func() {
			wo.weights++
			wo.report(wo.store.NameWeights(1 + wo.weights))
		}},
		{"lapse", func() {
			key, _ := all[ep].Entry("ready")
			wo.store.Remove(key)
			later(func() { wo.report(wo.enter(all[ep], "ready")) })
		}},
	}
	ch := choices[rd.Intn(len(choices))]
	wo.names[ch.name]++
	ch.do()
}

func (wo *world) report(err error) {
	if err != nil {
		_, _ = fmt.Fprintln(wo.op.out, "soak:", err)
	}
}

// mend ends all faults.
func (wo *world) mend() {
	time.Sleep(faultFor)
	wo.store.Break(site.Sound)
	for _, pr := range wo.behind {
		pr.set(pass)
	}
	for _, ep := range append(slices.Clone(wo.engines), wo.plain...) {
		ep.Mend()
		wo.report(wo.enter(ep, "ready"))
	}
	for _, ho := range wo.hosts {
		ho.store.set(pass)
		ho.signal(syscall.SIGCONT)
	}
}

// await waits until all hosts are ready.
func (wo *world) await(ctx context.Context, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, ho := range wo.hosts {
		for !ho.isReady(ctx) {
			if time.Now().After(deadline) {
				return errors.Errorf("soak: %s is not ready after %v", ho.name, limit)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

func (wo *world) close() {
	for _, ho := range wo.hosts {
		ho.end()
		ho.store.close()
	}
	for _, ep := range append(slices.Clone(wo.engines), wo.plain...) {
		ep.Close()
	}
	for _, pr := range wo.behind {
		pr.close()
	}
	if wo.store != nil {
		wo.store.Close()
	}
}

// ownLoopback returns a loopback address that no other process of this kind uses. A host that ends
// frees its ports; on an address shared with others, somebody else could take them meanwhile.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
}

func (ho *process) prepare(dir string) error {
	addresses := make([]string, 3)
	for i := range addresses {
		// A port that was free a moment ago may be given out again, to another host of this world.
		for addresses[i] == "" || ho.world.given[addresses[i]] {
			ln, err := net.Listen("tcp", net.JoinHostPort(ownLoopback(), "0"))
			if err != nil {
				return errors.Wrap(err, "soak: address")
			}
			addresses[i] = ln.Addr().String()
			_ = ln.Close()
		}
		ho.world.given[addresses[i]] = true
	}
	ho.listen, ho.ready = addresses[0], addresses[1]
	data, err := json.Marshal(map[string]any{
		"host": ho.name, "availability-zone": "here", "listen": ho.listen, "ready-listen": ho.ready, "peer-listen": addresses[2],
		"metadata-store": ho.store.address(),
		"bounds": map[string]any{
			"stop-ms": 8000, "lease-ms": leaseMs, "weights-ms": 15000, "repeat-ratio": 0.2, "repeat-window-s": 10, "repeat-slack": 50,
		},
	})
	if err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	ho.path = filepath.Join(dir, ho.name+".json")
	if ho.world.op.logs != "" {
		name := filepath.Join(ho.world.op.logs, fmt.Sprintf("seed-%d-%s.log", ho.world.op.seed, ho.name))
		if ho.log, err = os.Create(name); err != nil {
			return errors.Wrap(err, "soak: log")
		}
	}
	return errors.Wrap(os.WriteFile(ho.path, data, 0o600), "soak: settings")
}

// start starts the process, and again whenever it ends, until ctx ends.
func (ho *process) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	first := make(chan error, 1)
	ends := make(chan struct{})
	ho.stop = func() { cancel(); <-ends }
	go func() {
		defer close(ends)
		for n := 0; ctx.Err() == nil; n++ {
			cmd := exec.Command(filepath.Join(ho.world.op.bin, "bergamotway"), "gateway")
			cmd.Env = append(os.Environ(), settingsVariable+"="+ho.path)
			if ho.log != nil {
				cmd.Stdout, cmd.Stderr = ho.log, ho.log
			}
			err := cmd.Start()
			if n == 0 {
				first <- err
			}
			if err != nil {
				return
			}
			ho.mu.Lock()
			ho.cmd = cmd
			ho.mu.Unlock()
			if ctx.Err() != nil {
				_ = cmd.Process.Kill()
			}
			// How a process ends is part of the faults.
			_ = cmd.Wait()
			ho.mu.Lock()
			ho.cmd = nil
			ho.mu.Unlock()
		}
	}()
	return <-first
}

// signal signals the process that runs now, if one does.
func (ho *process) signal(sg os.Signal) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.cmd != nil {
		// A process that has just ended is started again.
		_ = ho.cmd.Process.Signal(sg)
	}
}

func (ho *process) end() {
	if ho.stop == nil {
		return
	}
	go func() {
		for range 50 {
			ho.signal(syscall.SIGCONT)
			ho.signal(syscall.SIGKILL)
			time.Sleep(pollPeriod)
		}
	}()
	ho.stop()
	if ho.log != nil {
		_ = ho.log.Close()
	}
}

func (ho *process) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ho.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	defer func() { _ = rsp.Body.Close() }()
	return rsp.StatusCode == http.StatusOK
}
