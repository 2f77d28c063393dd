package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	loopback = "127.0.0.1"
	zone     = "redditch"
	// hostCount is the number of hosts of most drills.
	hostCount = 2
	// readyTimeout bounds the start of a host.
	readyTimeout = 15 * time.Second
)

type (
	// recorder writes lines with the time since its start.
	recorder struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}

	// testbed holds the stand-in of the metadata store, the hosts and the endpoints.
	testbed struct {
		record   *recorder
		dir      string
		gateway  string
		template string
		store    *site.Store
		hosts    []*hostProcess
		// streamTimeout is the timeout of the route with streams; zero means 4 s.
		streamTimeout time.Duration
		// closeOnce makes close idempotent.
		closeOnce sync.Once

		mu        sync.Mutex
		endpoints []*endpointProcess
		usedPorts map[string]bool
	}

	// hostProcess is a host that runs as a process.
	hostProcess struct {
		name, front, ready, settingsPath string
		cmd                              *exec.Cmd
		exited                           chan struct{}
	}

	// endpointProcess is a start of an endpoint that runs as a process.
	endpointProcess struct {
		opts   endpointOptions
		cmd    *exec.Cmd
		exited chan struct{}

		mu   sync.Mutex
		runs []endpointRun
	}
)

func (re *recorder) printf(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f %s\n", time.Since(re.start).Seconds(), fmt.Sprintf(format, args...))
}

func newTestbed(gateway, template, recordPath string) (*testbed, error) {
	if _, err := os.Stat(gateway); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bergamotway-review")
	if err != nil {
		return nil, err
	}
	bed := &testbed{
		record: &recorder{file: file, start: time.Now()}, dir: dir, gateway: gateway, template: string(text),
		usedPorts: make(map[string]bool),
	}
	if bed.store, err = site.NewStore(); err != nil {
		return nil, err
	}
	return bed, nil
}

// close ends all processes that the testbed started. Further calls do nothing.
func (bed *testbed) close() { bed.closeOnce.Do(bed.closeAll) }

func (bed *testbed) closeAll() {
	bed.mu.Lock()
	endpoints := bed.endpoints
	bed.mu.Unlock()
	for _, ep := range endpoints {
		ep.kill()
	}
	for _, ho := range bed.hosts {
		_ = ho.cmd.Process.Kill()
		<-ho.exited
	}
	bed.store.Close()
	_ = os.RemoveAll(bed.dir)
	_ = bed.record.file.Close()
}

// freeAddress returns a loopback address with a free port that the testbed has not returned before.
func (bed *testbed) freeAddress() (string, error) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for range 100 {
		ln, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		_ = ln.Close()
		if !bed.usedPorts[address] {
			bed.usedPorts[address] = true
			return address, nil
		}
	}
	return "", errors.New("there is no free port")
}

// startHosts starts a number of hosts with the command of the deploy file, and waits until they are ready.
func (bed *testbed) startHosts(ctx context.Context, count int) error {
	for i := range count {
		ho, err := bed.startHost(fmt.Sprint("edge-redditch-", i+1))
		if err != nil {
			return err
		}
		bed.hosts = append(bed.hosts, ho)
	}
	if err := bed.awaitReady(ctx); err != nil {
		return err
	}
	// The hosts learn of each other.
	time.Sleep(time.Second)
	return nil
}

// awaitReady waits until all hosts are ready.
func (bed *testbed) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, ho := range bed.hosts {
		for !ho.isReady(ctx) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", ho.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	bed.record.printf("%d hosts are ready", len(bed.hosts))
	return nil
}

func (bed *testbed) startHost(name string) (*hostProcess, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = bed.freeAddress(); err != nil {
			return nil, err
		}
	}
	port := func(address string) string {
		_, text, _ := net.SplitHostPort(address)
		return text
	}
	settings := fillTemplate(bed.template, map[string]string{
		"node": name, "zone": zone, "ip": loopback, "listen.front": addresses[0], "listen.ready": addresses[1],
		"internalPorts.0": port(addresses[2]), "internalPorts.1": port(addresses[3]), "platform.address": bed.store.Address(),
		"limits.cpuShare": "0.4", "limits.linkMbps": "1000", "limits.memoryMb": "284",
		"bounds.graceS": "8", "bounds.configApplyMs": "2000", "bounds.leaseMs": "3000", "bounds.versionMs": "15000",
		"bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "52",
	})
	path := filepath.Join(bed.dir, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	ho := &hostProcess{name: name, front: addresses[0], ready: addresses[1], settingsPath: path}
	return ho, ho.start(bed.gateway)
}

// start starts the process of a host. It logs to a file beside its settings.
func (ho *hostProcess) start(gateway string) error {
	logFile, err := os.OpenFile(ho.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(gateway, "gateway")
	cmd.Env = []string{"BERGAMOTWAY_SETTINGS=" + ho.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	ho.cmd, ho.exited = cmd, exited
	go func() {
		// The state of the process says how it ended.
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// fillTemplate replaces the placeholders of a settings template by values, as JSON where the placeholder asks for that.
func fillTemplate(template string, values map[string]string) string {
	for name, value := range values {
		quoted := strconv.Quote(value)
		if _, err := strconv.ParseFloat(value, 64); err == nil {
			quoted = value
		}
		template = strings.ReplaceAll(template, "{{"+name+"|json}}", quoted)
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

func (ho *hostProcess) isReady(ctx context.Context) bool {
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
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// startEndpoint starts an endpoint and waits until it listens. It does not write its entry.
func (bed *testbed) startEndpoint(opts endpointOptions) (*endpointProcess, error) {
	if opts.Address == "" {
		var err error
		if opts.Address, err = bed.freeAddress(); err != nil {
			return nil, err
		}
	}
	if opts.BornMs == 0 {
		opts.BornMs = time.Now().UnixMilli()
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(opts)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, "endpoint", string(data))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	ep := &endpointProcess{opts: opts, cmd: cmd, exited: make(chan struct{})}
	listening := make(chan struct{})
	go func() {
		sc := bufio.NewScanner(out)
		for first := true; sc.Scan(); first = false {
			if first {
				close(listening)
				continue
			}
			var er endpointRun
			if json.Unmarshal(sc.Bytes(), &er) == nil {
				ep.mu.Lock()
				ep.runs = append(ep.runs, er)
				ep.mu.Unlock()
				bed.record.printf("endpoint %s (%s, %s) %s %s", opts.ID, opts.Service, opts.Software, er.What, er)
			}
		}
		_ = cmd.Wait()
		close(ep.exited)
	}()
	bed.mu.Lock()
	bed.endpoints = append(bed.endpoints, ep)
	bed.mu.Unlock()
	select {
	case <-listening:
	case <-ep.exited:
		return nil, fmt.Errorf("endpoint %s ended", opts.ID)
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("endpoint %s does not listen", opts.ID)
	}
	bed.record.printf("endpoint %s starts at %s, service %s, software %s", opts.ID, opts.Address, opts.Service, opts.Software)
	return ep, nil
}

// register writes the entry of an endpoint into the metadata store, as the endpoint does.
func (bed *testbed) register(ep *endpointProcess) error {
	_, err := bed.store.Put("servers/"+ep.opts.ID, ep.opts.entry())
	return err
}

// unregister removes the entry of an endpoint.
func (bed *testbed) unregister(ep *endpointProcess) { bed.store.Remove("servers/" + ep.opts.ID) }

// kill ends the process of an endpoint at once, as a crash does.
func (ep *endpointProcess) kill() {
	select {
	case <-ep.exited:
		return
	default:
	}
	_ = ep.cmd.Process.Kill()
	<-ep.exited
}

// allRuns returns what all endpoints have reported.
func (bed *testbed) allRuns() []endpointRun {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	var out []endpointRun
	for _, ep := range bed.endpoints {
		ep.mu.Lock()
		out = append(out, ep.runs...)
		ep.mu.Unlock()
	}
	return out
}
