package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is a host that runs as a process and is restarted whenever it exits.
type process struct {
	testbed       *testbed
	name          string
	listenAddress string
	readyAddress  string
	settingsPath  string
	storeProxy    *proxy
	// frontProxy is in the way of clients, if it is not nil.
	frontProxy     *proxy
	stopRestarting func()
	logFile        *os.File

	// neighbor is in the way of other hosts, if it is not nil.
	neighbor *neighbor

	mu      sync.Mutex
	cmd     *exec.Cmd
	program string
}

// processLoopbackIP returns a loopback address derived from the process ID, so that concurrent soak runs use
// different ones. A host that exits frees its ports; on a shared address, another process could bind them before the
// host restarts.
func processLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127)
}

// prepare chooses the addresses of the host, writes its settings file and opens its log file.
func (ho *process) prepare(dir string) error {
	addresses := make([]string, 3)
	for i := range addresses {
		var err error
		if addresses[i], err = ho.testbed.freeAddress(); err != nil {
			return err
		}
	}
	ho.listenAddress, ho.readyAddress = addresses[0], addresses[1]
	if err := ho.addProxies(addresses[2]); err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"host": ho.name, "availability-zone": "here", "listen": ho.listenAddress, "ready-listen": ho.readyAddress, "peer-listen": addresses[2],
		"metadata-store": ho.storeProxy.address(),
		"bounds": map[string]any{
			"stop-ms": 8000, "lease-ms": leaseMs, "weights-ms": 15000, "repeat-ratio": 0.2, "repeat-window-s": 10, "repeat-slack": 50,
		},
	})
	if err != nil {
		return errors.Wrap(err, "soak: settings")
	}
	ho.settingsPath = filepath.Join(dir, ho.name+".json")
	if ho.testbed.opts.LogDir != "" {
		name := filepath.Join(ho.testbed.opts.LogDir, fmt.Sprintf("seed-%d-%s.log", ho.testbed.opts.Seed, ho.name))
		if ho.logFile, err = os.Create(name); err != nil {
			return errors.Wrap(err, "soak: log")
		}
	}
	return errors.Wrap(os.WriteFile(ho.settingsPath, data, 0o600), "soak: settings")
}

// addProxies puts proxies in the way of clients and of other hosts.
func (ho *process) addProxies(peerAddress string) error {
	if !ho.testbed.opts.hasWorkers() {
		return nil
	}
	var err error
	if ho.frontProxy, err = newProxy(ho.listenAddress); err != nil {
		return err
	}
	return ho.testbed.neighbors.add(ho, peerAddress)
}

// clientAddress returns the address to which clients connect.
func (ho *process) clientAddress() string {
	if ho.frontProxy != nil {
		return ho.frontProxy.address()
	}
	return ho.listenAddress
}

// currentProgram returns the program that the next start of the host runs.
func (ho *process) currentProgram() string {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return cmp.Or(ho.program, filepath.Join(ho.testbed.opts.BinDir, "bergamotway"))
}

// setProgram sets the program of the next start; empty means that of the current build.
func (ho *process) setProgram(program string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.program = program
}

// isOld reports whether the host runs the old build, or has been told to end while it ran it.
func (ho *process) isOld() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return ho.cmd != nil && ho.testbed.opts.OldProgram != "" && ho.cmd.Path == ho.testbed.opts.OldProgram
}

// pid returns the identifier of the current process, or 0.
func (ho *process) pid() int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.cmd == nil {
		return 0
	}
	return ho.cmd.Process.Pid
}

// supervise starts the process and restarts it whenever it exits, until ctx is done or stopRestarting is called. It
// returns the error of the first start.
func (ho *process) supervise(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	started := make(chan error, 1)
	ended := make(chan struct{})
	ho.stopRestarting = func() { cancel(); <-ended }
	go func() {
		defer close(ended)
		for n := 0; ctx.Err() == nil; n++ {
			cmd := exec.Command(ho.currentProgram(), "gateway")
			cmd.Env = append(os.Environ(), settingsEnv+"="+ho.settingsPath)
			if ho.logFile != nil {
				cmd.Stdout, cmd.Stderr = ho.logFile, ho.logFile
			}
			err := cmd.Start()
			if n == 0 {
				started <- err
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
			// The exit status is ignored: killing the process is one of the faults.
			_ = cmd.Wait()
			ho.mu.Lock()
			ho.cmd = nil
			ho.mu.Unlock()
		}
	}()
	return <-started
}

// signal sends sig to the current process, if there is one.
func (ho *process) signal(sig os.Signal) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	if ho.cmd != nil {
		// The error is ignored: a process that has just exited is restarted anyway.
		_ = ho.cmd.Process.Signal(sig)
	}
}

// kill ends the process for good. It repeats SIGKILL, since a restart may be in progress when it begins.
func (ho *process) kill() {
	if ho.stopRestarting == nil {
		return
	}
	go func() {
		for range 50 {
			ho.signal(syscall.SIGCONT)
			ho.signal(syscall.SIGKILL)
			time.Sleep(pollInterval)
		}
	}()
	ho.stopRestarting()
	if ho.frontProxy != nil {
		ho.frontProxy.close()
	}
	if ho.logFile != nil {
		_ = ho.logFile.Close()
	}
}

func (ho *process) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ho.readyAddress+"/readyz", nil)
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
